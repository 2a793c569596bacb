//! What waits, in which order and for how long.
//!
//! Answers long work among short, a few callers that take most of the load, and saturation.
//! Without it an emergency stands behind routine chatter, a short program stands behind long ones
//! on each of its turns, and one caller's flood delays everybody.
//!
//! The order has three levels:
//! 1. Urgent before routine, always.
//! 2. Within a class, fair between callers: start-time fair queueing over the expected service.
//!    It holds for urgent work too, so that one caller's flood of it can't delay another's.
//! 3. Within a caller, least attained service of the *program*, as only whole-program latency
//!    counts and a program's length isn't known beforehand. A call's rank is its arrival plus the
//!    program's attained service, the latter up to [`AGEING_BOUND`]: a call is overtaken only by
//!    calls that come less than that later, so none starves. Ranks don't change with time, so the
//!    lists stay sorted without being gone through again.
//!
//! The second level decides what small callers get beside large ones; the third changes little while
//! [`crate::admit`] keeps the queue short (docs/LOAD.md).

use wire::clock::Millis;
use wire::id;

use crate::class::Class;

/// The most that a program's attained service sets its calls back.
///
/// Half of [`ROUTINE_WAIT`]: a call of the longest program still gets to the front before its
/// wait ends, where the caller's share of the drain allows it at all.
pub const AGEING_BOUND: Millis = Millis::new(30_000);
/// The longest that a routine call waits; interactive callers have given up by then.
pub const ROUTINE_WAIT: Millis = Millis::new(60_000);
/// The longest that an urgent call waits. Shorter than [`ROUTINE_WAIT`]: who waits with an
/// emergency must learn soon that no endpoint takes it, and act otherwise.
pub const URGENT_WAIT: Millis = Millis::new(10_000);

/// How much may wait, in calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Calls of both classes together.
    pub all: usize,
    /// Room within `all` that routine calls can't take.
    pub reserved: usize,
}

impl Limits {
    /// Yields how many calls of a class may wait, whatever waits of the other.
    #[must_use]
    pub const fn room(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.all,
            Class::Routine => self.all.saturating_sub(self.reserved),
        }
    }
}

impl Default for Limits {
    /// Yields the limits of a VM with 64 MB of state: 10,000 waiting calls of a few hundred bytes
    /// each, a tenth of them reserved.
    fn default() -> Self {
        Self {
            all: 10_000,
            reserved: 1_000,
        }
    }
}

/// A call that waits.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// What the owner needs to go on with it.
    pub item: T,
    /// Its class.
    pub class: Class,
    /// Who asked.
    pub caller: id::Caller,
    /// Service that the program has had so far, in time at an endpoint.
    pub attained: Millis,
    /// Service that the call is expected to take, in time at an endpoint.
    pub cost: Millis,
    /// When it came; a call that was displaced keeps the time of its first arrival.
    pub arrived: Millis,
    /// When it is given up; see [`expiry`].
    pub expires: Millis,
}

/// Yields when a call that comes now is given up: at the end of its class's wait, or when it could
/// no longer be done by its deadline, whichever is first.
#[must_use]
pub fn expiry(now: Millis, class: Class, deadline: Option<Millis>, run: Millis) -> Millis {
    let wait = match class {
        Class::Urgent => URGENT_WAIT,
        Class::Routine => ROUTINE_WAIT,
    };
    let latest = deadline.map_or(Millis::new(u64::MAX), |at| at.since(run));
    now.plus(wait).min(latest)
}

/// The calls that wait at one VM.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    limits: Limits,
    urgent: Band<T>,
    routine: Band<T>,
    /// No entry expires before this.
    earliest: Millis,
}

/// The calls of one class, sorted by caller.
#[derive(Clone, Debug)]
struct Band<T> {
    lanes: Vec<Lane<T>>,
    len: usize,
    /// The virtual time: the start tag of the call taken last.
    clock: u64,
}

/// One caller's calls, the one to take first at the end.
#[derive(Clone, Debug)]
struct Lane<T> {
    caller: id::Caller,
    /// The virtual time up to which the caller has had its share.
    served: u64,
    waiting: Vec<Entry<T>>,
}

impl<T> Queue<T> {
    /// Builds an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            urgent: Band::new(),
            routine: Band::new(),
            earliest: Millis::new(u64::MAX),
        }
    }

    /// Yields how many calls wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len + self.routine.len
    }

    /// Tells whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Yields the limits.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Yields how many calls of a class wait.
    #[must_use]
    pub fn waiting(&self, class: Class) -> usize {
        self.band(class).len
    }

    /// Yields how many calls of a class are served before one that a caller adds now: under the
    /// fairness between callers no more of each other's than it has of its own, and one.
    #[must_use]
    pub fn ahead_of(&self, class: Class, caller: &id::Caller) -> usize {
        let most = self.waiting_of(class, caller) + 1;
        let lanes = self.band(class).lanes.iter();
        lanes.map(|lane| lane.waiting.len().min(most)).sum()
    }

    /// Yields how many calls of a class one caller has waiting.
    #[must_use]
    pub fn waiting_of(&self, class: Class, caller: &id::Caller) -> usize {
        let lanes = &self.band(class).lanes;
        match lanes.binary_search_by(|lane| lane.caller.cmp(caller)) {
            Ok(at) => lanes[at].waiting.len(),
            Err(_) => 0,
        }
    }

    /// Puts a call in.
    ///
    /// # Errors
    ///
    /// Gives the call back where its class has no room left.
    pub fn push(&mut self, entry: Entry<T>) -> Result<(), Entry<T>> {
        let room = self.limits.room(entry.class);
        let used = match entry.class {
            Class::Urgent => self.len(),
            Class::Routine => self.routine.len,
        };
        if used >= room || self.len() >= self.limits.all {
            return Err(entry);
        }
        self.earliest = self.earliest.min(entry.expires);
        self.band_mut(entry.class).push(entry);
        Ok(())
    }

    /// Takes the call that is next.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        self.pop_where(|_| true)
    }

    /// Takes the first call in order that fits; tries at most [`LOOKAHEAD`] of each class.
    ///
    /// A call whose endpoints are all busy would else hold up those behind it that could start.
    pub fn pop_where(&mut self, mut fits: impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        let urgent = self.urgent.pop_where(&mut fits);
        urgent.or_else(|| self.routine.pop_where(&mut fits))
    }

    /// Takes out the calls whose time is over, for their refusal.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Entry<T>> {
        if now < self.earliest {
            return Vec::new();
        }
        let mut gone = Vec::new();
        let mut earliest = Millis::new(u64::MAX);
        for band in [&mut self.urgent, &mut self.routine] {
            band.extract(|entry| entry.expires <= now, &mut gone);
            let first = band.lanes.iter().flat_map(|lane| &lane.waiting);
            earliest = first.map(|entry| entry.expires).fold(earliest, Millis::min);
        }
        self.earliest = earliest;
        gone
    }

    /// Takes out the calls that match, for programs that end and shards that move.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<Entry<T>> {
        let mut gone = Vec::new();
        for band in [&mut self.urgent, &mut self.routine] {
            band.extract(|entry| matches(&entry.item), &mut gone);
        }
        gone
    }

    fn band(&self, class: Class) -> &Band<T> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    fn band_mut(&mut self, class: Class) -> &mut Band<T> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Routine => &mut self.routine,
        }
    }
}

/// How many calls of a class [`Queue::pop_where`] tries. Bounds the cost of a decision while
/// nothing fits: 32 placements over 600 endpoints stay within a few hundred microseconds.
pub const LOOKAHEAD: usize = 32;

impl<T> Band<T> {
    const fn new() -> Self {
        Self {
            lanes: Vec::new(),
            len: 0,
            clock: 0,
        }
    }

    fn push(&mut self, entry: Entry<T>) {
        let clock = self.clock;
        let found = self
            .lanes
            .binary_search_by(|lane| lane.caller.cmp(&entry.caller));
        let at = found.unwrap_or_else(|at| {
            let lane = Lane {
                caller: entry.caller.clone(),
                served: clock,
                waiting: Vec::new(),
            };
            self.lanes.insert(at, lane);
            at
        });
        self.lanes[at].push(entry, clock);
        self.len += 1;
    }

    fn pop_where(&mut self, fits: &mut impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        if self.len == 0 {
            return None;
        }
        let (lane, at) = self.first_fitting(fits)?;
        let found = &mut self.lanes[lane];
        let entry = found.waiting.remove(at);
        self.clock = self.clock.max(found.served);
        found.served = found.served.max(self.clock) + entry.cost.as_u64().max(1);
        self.len -= 1;
        self.forget_served();
        Some(entry)
    }

    /// Finds the first call that fits, as its lane and its place there: the best call of each
    /// lane in the lanes' order, then the second best, and so on.
    fn first_fitting(&self, fits: &mut impl FnMut(&Entry<T>) -> bool) -> Option<(usize, usize)> {
        let busy = self.lanes.iter().enumerate();
        let busy = busy.filter(|(_, lane)| !lane.waiting.is_empty());
        let first = busy.clone().min_by_key(|(_, lane)| lane.served)?.0;
        let last = self.lanes[first].waiting.len() - 1;
        if fits(&self.lanes[first].waiting[last]) {
            return Some((first, last));
        }
        let mut order: Vec<usize> = busy.map(|(at, _)| at).collect();
        order.sort_by_key(|at| self.lanes[*at].served);
        let mut tried = 1;
        let mut depth = 0;
        while tried < LOOKAHEAD {
            let before = tried;
            for lane in &order {
                let waiting = &self.lanes[*lane].waiting;
                if depth >= waiting.len() || (depth == 0 && *lane == first) {
                    continue;
                }
                let at = waiting.len() - 1 - depth;
                if fits(&waiting[at]) {
                    return Some((*lane, at));
                }
                tried += 1;
                if tried >= LOOKAHEAD {
                    return None;
                }
            }
            if depth > 0 && tried == before {
                return None;
            }
            depth += 1;
        }
        None
    }

    /// Drops callers that wait for nothing and have no more than their share; one that has more
    /// is kept, so that it can't shed what it was served by letting its lane run empty.
    fn forget_served(&mut self) {
        let clock = self.clock;
        self.lanes
            .retain(|lane| !lane.waiting.is_empty() || lane.served > clock);
    }

    fn extract(&mut self, mut goes: impl FnMut(&Entry<T>) -> bool, gone: &mut Vec<Entry<T>>) {
        for lane in &mut self.lanes {
            gone.extend(lane.waiting.extract_if(.., |entry| goes(entry)));
        }
        self.len = self.lanes.iter().map(|lane| lane.waiting.len()).sum();
        self.forget_served();
    }
}

impl<T> Lane<T> {
    fn push(&mut self, entry: Entry<T>, clock: u64) {
        if self.waiting.is_empty() {
            self.served = self.served.max(clock);
        }
        let key = rank(&entry);
        let at = self.waiting.partition_point(|other| rank(other) > key);
        self.waiting.insert(at, entry);
    }
}

/// Yields a call's place in its lane; the lowest is taken first.
fn rank<T>(entry: &Entry<T>) -> Millis {
    entry.arrived.plus(entry.attained.min(AGEING_BOUND))
}

#[cfg(test)]
mod tests;
