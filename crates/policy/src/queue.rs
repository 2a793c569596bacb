//! The queue of waiting calls: their order and how long they may wait.
//!
//! It deals with long programs among short ones, a few callers that cause most of the load, and
//! saturation. Without it, an emergency waits behind routine calls, a short program waits behind
//! long ones on each of its turns, and one caller's flood delays everybody.
//!
//! The order has three levels:
//! 1. Urgent calls always go before routine ones.
//! 2. Within a class, callers share fairly: start-time fair queueing over the expected service
//!    time. This applies to urgent calls too, so that one caller's flood of them can't delay
//!    another's.
//! 3. Within a caller, the *program* with the least attained service goes first, because only the
//!    latency of whole programs counts and a program's length isn't known beforehand. A call's rank
//!    is its arrival time plus the program's attained service, the latter limited to
//!    [`AGEING_BOUND`]. A call is overtaken only by calls that arrive less than this bound later,
//!    so none starves. Ranks don't change with time, so the lists stay sorted without being scanned
//!    again.
//!
//! The second level decides what small callers get beside large ones; the third changes little
//! while [`crate::admit`] keeps the queue short (docs/LOAD.md).

use wire::clock::Millis;
use wire::id;

use crate::class::Class;

/// Limit on how far a program's attained service sets its calls back.
///
/// Half of [`MAX_ROUTINE_WAIT`]: a call of the longest program still reaches the front before its
/// wait ends, as far as its caller's share of the drain rate allows.
pub const AGEING_BOUND: Millis = Millis::new(30_000);
/// Longest wait of a routine call; interactive callers have given up by then.
pub const MAX_ROUTINE_WAIT: Millis = Millis::new(60_000);
/// Longest wait of an urgent call. Shorter than [`MAX_ROUTINE_WAIT`], because a caller with an
/// emergency must soon learn that no endpoint takes the call, and act otherwise.
pub const MAX_URGENT_WAIT: Millis = Millis::new(10_000);

/// How many calls may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Calls of both classes together.
    pub all: usize,
    /// Part of `all` that routine calls can't use.
    pub reserved: usize,
}

impl Limits {
    /// Returns how many calls of a class may wait, however many of the other class do.
    #[must_use]
    pub const fn capacity(&self, class: Class) -> usize {
        match class {
            Class::Urgent => self.all,
            Class::Routine => self.all.saturating_sub(self.reserved),
        }
    }
}

impl Default for Limits {
    /// Returns the limits of a VM with 64 MB of state: 10,000 waiting calls of a few hundred bytes
    /// each, a tenth of them reserved.
    fn default() -> Self {
        Self {
            all: 10_000,
            reserved: 1_000,
        }
    }
}

/// A waiting call.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry<T> {
    /// What the owner of the queue needs to continue with the call.
    pub item: T,
    /// Its class.
    pub class: Class,
    /// The caller that sent it.
    pub caller: id::Caller,
    /// Service that the program has received so far, in time at an endpoint.
    pub attained: Millis,
    /// Service that the call is expected to take, in time at an endpoint.
    pub cost: Millis,
    /// Arrival time; a preempted call keeps the time of its first arrival.
    pub arrived: Millis,
    /// When it expires; see [`expiry`].
    pub expires: Millis,
}

/// Returns when a call that arrives now expires: at the end of its class's longest wait, or when it
/// could no longer finish before its deadline, whichever is first.
#[must_use]
pub fn expiry(now: Millis, class: Class, deadline: Option<Millis>, run: Millis) -> Millis {
    let wait = match class {
        Class::Urgent => MAX_URGENT_WAIT,
        Class::Routine => MAX_ROUTINE_WAIT,
    };
    let latest = deadline.map_or(Millis::new(u64::MAX), |at| at.since(run));
    now.plus(wait).min(latest)
}

/// The calls that wait at one VM.
#[derive(Clone, Debug)]
pub struct Queue<T> {
    limits: Limits,
    urgent: ClassQueue<T>,
    routine: ClassQueue<T>,
    /// No entry expires before this time.
    earliest: Millis,
}

/// The calls of one class, grouped by caller.
#[derive(Clone, Debug)]
struct ClassQueue<T> {
    callers: Vec<CallerQueue<T>>,
    len: usize,
    /// The virtual time: the start tag of the call taken last.
    virtual_time: u64,
}

/// One caller's calls; the next one to take is the last element.
#[derive(Clone, Debug)]
struct CallerQueue<T> {
    caller: id::Caller,
    /// Start tag of the caller's next call: the virtual time up to which it has received its share.
    start_tag: u64,
    waiting: Vec<Entry<T>>,
}

impl<T> Queue<T> {
    /// Builds an empty queue.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            urgent: ClassQueue::new(),
            routine: ClassQueue::new(),
            earliest: Millis::new(u64::MAX),
        }
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn len(&self) -> usize {
        self.urgent.len + self.routine.len
    }

    /// Returns whether no call waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Returns the number of waiting calls of a class.
    #[must_use]
    pub fn waiting(&self, class: Class) -> usize {
        self.class_queue(class).len
    }

    /// Returns how many calls of a class are served before one that a caller adds now. Because
    /// callers share fairly, it counts at most as many calls of each other caller as the caller has
    /// waiting itself, plus one.
    #[must_use]
    pub fn ahead_of(&self, class: Class, caller: &id::Caller) -> usize {
        let limit = self.waiting_of(class, caller) + 1;
        let callers = self.class_queue(class).callers.iter();
        callers.map(|queue| queue.waiting.len().min(limit)).sum()
    }

    /// Returns how many calls of a class one caller has waiting.
    #[must_use]
    pub fn waiting_of(&self, class: Class, caller: &id::Caller) -> usize {
        let callers = &self.class_queue(class).callers;
        match callers.binary_search_by(|queue| queue.caller.cmp(caller)) {
            Ok(at) => callers[at].waiting.len(),
            Err(_) => 0,
        }
    }

    /// Adds a call.
    ///
    /// # Errors
    ///
    /// Returns the call if there is no capacity left for its class.
    pub fn push(&mut self, entry: Entry<T>) -> Result<(), Entry<T>> {
        let capacity = self.limits.capacity(entry.class);
        let used = match entry.class {
            Class::Urgent => self.len(),
            Class::Routine => self.routine.len,
        };
        if used >= capacity || self.len() >= self.limits.all {
            return Err(entry);
        }
        self.earliest = self.earliest.min(entry.expires);
        self.class_queue_mut(entry.class).push(entry);
        Ok(())
    }

    /// Removes and returns the next call.
    pub fn pop(&mut self) -> Option<Entry<T>> {
        self.pop_where(|_| true)
    }

    /// Removes and returns the first call in order that fits; tries at most [`LOOKAHEAD`] calls of
    /// each class.
    ///
    /// Otherwise a call whose endpoints are all busy would block calls behind it that could start.
    pub fn pop_where(&mut self, mut fits: impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        let urgent = self.urgent.pop_where(&mut fits);
        urgent.or_else(|| self.routine.pop_where(&mut fits))
    }

    /// Removes and returns the expired calls, which the owner refuses.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Entry<T>> {
        if now < self.earliest {
            return Vec::new();
        }
        let mut removed = Vec::new();
        let mut earliest = Millis::new(u64::MAX);
        for class_queue in [&mut self.urgent, &mut self.routine] {
            class_queue.extract(|entry| entry.expires <= now, &mut removed);
            let entries = class_queue.callers.iter().flat_map(|queue| &queue.waiting);
            earliest = entries
                .map(|entry| entry.expires)
                .fold(earliest, Millis::min);
        }
        self.earliest = earliest;
        removed
    }

    /// Removes and returns the matching calls, for programs that end and shards that move.
    pub fn remove(&mut self, mut matches: impl FnMut(&T) -> bool) -> Vec<Entry<T>> {
        let mut removed = Vec::new();
        for class_queue in [&mut self.urgent, &mut self.routine] {
            class_queue.extract(|entry| matches(&entry.item), &mut removed);
        }
        removed
    }

    fn class_queue(&self, class: Class) -> &ClassQueue<T> {
        match class {
            Class::Urgent => &self.urgent,
            Class::Routine => &self.routine,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue<T> {
        match class {
            Class::Urgent => &mut self.urgent,
            Class::Routine => &mut self.routine,
        }
    }
}

/// How many calls of a class [`Queue::pop_where`] tries. This bounds the cost of a decision while
/// nothing fits: 32 placements over 600 endpoints take at most a few hundred microseconds.
pub const LOOKAHEAD: usize = 32;

impl<T> ClassQueue<T> {
    const fn new() -> Self {
        Self {
            callers: Vec::new(),
            len: 0,
            virtual_time: 0,
        }
    }

    fn push(&mut self, entry: Entry<T>) {
        let virtual_time = self.virtual_time;
        let found = self
            .callers
            .binary_search_by(|queue| queue.caller.cmp(&entry.caller));
        let at = found.unwrap_or_else(|at| {
            let queue = CallerQueue {
                caller: entry.caller.clone(),
                start_tag: virtual_time,
                waiting: Vec::new(),
            };
            self.callers.insert(at, queue);
            at
        });
        self.callers[at].push(entry, virtual_time);
        self.len += 1;
    }

    fn pop_where(&mut self, fits: &mut impl FnMut(&Entry<T>) -> bool) -> Option<Entry<T>> {
        if self.len == 0 {
            return None;
        }
        let (queue, at) = self.first_fitting(fits)?;
        let found = &mut self.callers[queue];
        let entry = found.waiting.remove(at);
        self.virtual_time = self.virtual_time.max(found.start_tag);
        found.start_tag = found.start_tag.max(self.virtual_time) + entry.cost.as_u64().max(1);
        self.len -= 1;
        self.remove_idle_callers();
        Some(entry)
    }

    /// Finds the first call that fits and returns the index of its caller's queue and its index in
    /// there. Tries the best call of each caller in order of their start tags, then the second best
    /// of each, and so on.
    fn first_fitting(&self, fits: &mut impl FnMut(&Entry<T>) -> bool) -> Option<(usize, usize)> {
        let busy = self.callers.iter().enumerate();
        let busy = busy.filter(|(_, queue)| !queue.waiting.is_empty());
        let first = busy.clone().min_by_key(|(_, queue)| queue.start_tag)?.0;
        let last = self.callers[first].waiting.len() - 1;
        if fits(&self.callers[first].waiting[last]) {
            return Some((first, last));
        }
        let mut order: Vec<usize> = busy.map(|(at, _)| at).collect();
        order.sort_by_key(|at| self.callers[*at].start_tag);
        let mut tried = 1;
        let mut depth = 0;
        while tried < LOOKAHEAD {
            let before = tried;
            for queue in &order {
                let waiting = &self.callers[*queue].waiting;
                if depth >= waiting.len() || (depth == 0 && *queue == first) {
                    continue;
                }
                let at = waiting.len() - 1 - depth;
                if fits(&waiting[at]) {
                    return Some((*queue, at));
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

    /// Removes callers that have no waiting calls and have received no more than their share. A
    /// caller that has received more is kept, so that it can't reset its share by letting its queue
    /// run empty.
    fn remove_idle_callers(&mut self) {
        let virtual_time = self.virtual_time;
        self.callers
            .retain(|queue| !queue.waiting.is_empty() || queue.start_tag > virtual_time);
    }

    fn extract(
        &mut self,
        mut should_remove: impl FnMut(&Entry<T>) -> bool,
        removed: &mut Vec<Entry<T>>,
    ) {
        for queue in &mut self.callers {
            removed.extend(queue.waiting.extract_if(.., |entry| should_remove(entry)));
        }
        self.len = self.callers.iter().map(|queue| queue.waiting.len()).sum();
        self.remove_idle_callers();
    }
}

impl<T> CallerQueue<T> {
    fn push(&mut self, entry: Entry<T>, virtual_time: u64) {
        if self.waiting.is_empty() {
            self.start_tag = self.start_tag.max(virtual_time);
        }
        let own_rank = rank(&entry);
        let at = self.waiting.partition_point(|other| rank(other) > own_rank);
        self.waiting.insert(at, entry);
    }
}

/// Returns a call's rank in its caller's queue; the lowest is taken first.
fn rank<T>(entry: &Entry<T>) -> Millis {
    entry.arrived.plus(entry.attained.min(AGEING_BOUND))
}

#[cfg(test)]
mod tests;
