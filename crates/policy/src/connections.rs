//! Bounds the connections of a listener: how many are open, what they may hold before their requests are
//! known, and how long they may take.
//!
//! A newcomer isn't refused while others can be let go, as a crowd that is connected would keep everyone else
//! out. A connection with a request under way is kept, unless its caller has left an answer unread for some
//! time; so is the newcomer itself.

use wire::clock::Millis;

/// What a connection takes that only waits: socket, task and buffers, in bytes.
const CONNECTION_BYTES: u64 = 12 * 1024;
/// What may wait unread while a request is under way, in bytes.
const UNREAD_BYTES: u64 = 32 * 1024;
/// What a decoded header field takes, its copy for an endpoint included, in bytes.
const FIELD_BYTES: u64 = 256;
/// How often the bytes of a head are held: the decoder's buffer doubles.
const HEAD_FACTOR: u64 = 2;
/// The share of the idle time, in percent, after which callers don't reuse a connection.
const REUSE_PERCENT: u64 = 80;
/// How long an answer may wait for its reader while others find no room.
const BLOCKED_TIME: Millis = Millis::new(3_000);

/// Identifies a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// The limits of a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The most connections.
    pub count: usize,
    /// The most bytes that they hold together.
    pub bytes: u64,
    /// How long a head may take from its first byte on.
    pub head_time: Millis,
    /// How long a connection may wait for its next request.
    pub idle_time: Millis,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No byte of the next request has come.
    Waiting,
    /// Part of a head has come.
    Head,
    /// A request is under way.
    Request,
}

/// Whether a connection has had a complete head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Record {
    None,
    Served,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Entry {
    id: Id,
    phase: Phase,
    since: Millis,
    record: Record,
    /// Since when an answer waits for its reader.
    blocked_since: Option<Millis>,
    /// The bytes counted.
    bytes: u64,
}

/// Who is let go before whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Unused,
    Unfinished,
    Fresh,
    Reusable,
    Unread,
}

/// Whether there is room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// There is; the connections that [`Table::take_ended`] returns have to be closed for it.
    Admitted,
    /// There is none, and nobody can be let go.
    Full,
}

/// The connections of a listener.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    /// Sorted by id, because ids only grow.
    entries: Vec<Entry>,
    bytes: u64,
    next: u64,
    ended: Vec<Id>,
    /// When there was last no room.
    full_at: Option<Millis>,
}

impl Table {
    /// Creates a table without connections.
    #[must_use]
    pub const fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: Vec::new(),
            bytes: 0,
            next: 0,
            ended: Vec::new(),
            full_at: None,
        }
    }

    /// Sets the limits, also for the connections that are open.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns the limits.
    #[must_use]
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns how many bytes the connections hold by this count.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Returns when there was last no room for a connection.
    #[must_use]
    pub const fn full_at(&self) -> Option<Millis> {
        self.full_at
    }

    /// Returns the connections to close since the last call.
    pub fn take_ended(&mut self) -> Vec<Id> {
        std::mem::take(&mut self.ended)
    }

    /// Takes up a connection; `None` if there is no room, and nobody can be let go.
    pub fn open(&mut self, now: Millis) -> Option<Id> {
        while self.entries.len() >= self.limits.count
            || self.bytes + CONNECTION_BYTES > self.limits.bytes
        {
            if !self.let_one_go(now) {
                self.full_at = Some(now);
                return None;
            }
        }
        let id = Id(self.next);
        self.next += 1;
        self.bytes += CONNECTION_BYTES;
        self.entries.push(Entry {
            id,
            phase: Phase::Waiting,
            since: now,
            record: Record::None,
            blocked_since: None,
            bytes: CONNECTION_BYTES,
        });
        Some(id)
    }

    /// Notes that a connection is closed.
    pub fn close(&mut self, id: Id) {
        if let Some(at) = self.find(id) {
            self.remove(at);
        }
    }

    /// Notes how many bytes of a head have come.
    pub fn note_head(&mut self, id: Id, bytes: u64, now: Millis) {
        let Some(at) = self.find(id) else {
            return;
        };
        if self.entries[at].phase != Phase::Head {
            self.enter(at, Phase::Head, now);
        }
        self.count(at, CONNECTION_BYTES + HEAD_FACTOR * bytes);
        self.make_room(now);
    }

    /// Notes a complete head of `bytes` bytes with `fields` fields. If there is no room for it, its request
    /// has to be refused.
    pub fn begin_request(&mut self, id: Id, bytes: u64, fields: u64, now: Millis) -> Verdict {
        let Some(at) = self.find(id) else {
            return Verdict::Full;
        };
        self.enter(at, Phase::Request, now);
        self.entries[at].record = Record::Served;
        let held = HEAD_FACTOR * bytes + FIELD_BYTES * fields;
        self.count(at, CONNECTION_BYTES + UNREAD_BYTES + held);
        if self.make_room(now) {
            return Verdict::Admitted;
        }
        self.full_at = Some(now);
        Verdict::Full
    }

    /// Notes that an answer is complete.
    pub fn end_request(&mut self, id: Id, now: Millis) {
        if let Some(at) = self.find(id) {
            self.enter(at, Phase::Waiting, now);
            self.count(at, CONNECTION_BYTES);
        }
    }

    /// Notes that an answer waits for its reader.
    pub fn note_blocked(&mut self, id: Id, now: Millis) {
        if let Some(at) = self.find(id) {
            self.entries[at].blocked_since = Some(now);
        }
    }

    /// Notes that the reader of an answer reads on.
    pub fn note_unblocked(&mut self, id: Id, now: Millis) {
        if let Some(at) = self.find(id) {
            let entry = &mut self.entries[at];
            entry.blocked_since = None;
            if entry.phase == Phase::Waiting {
                entry.since = now;
            }
        }
    }

    /// Lets those go whose time is up.
    pub fn expire(&mut self, now: Millis) {
        let Limits {
            head_time,
            idle_time,
            ..
        } = self.limits;
        let mut at = 0;
        while at < self.entries.len() {
            let entry = &self.entries[at];
            let age = now.since(entry.since);
            let is_over = match entry.phase {
                Phase::Waiting => age > idle_time,
                Phase::Head => age > head_time,
                Phase::Request => false,
            };
            if is_over && entry.blocked_since.is_none() {
                self.let_go(at);
            } else {
                at += 1;
            }
        }
    }

    fn enter(&mut self, at: usize, phase: Phase, now: Millis) {
        let entry = &mut self.entries[at];
        entry.phase = phase;
        entry.since = now;
    }

    fn count(&mut self, at: usize, bytes: u64) {
        let entry = &mut self.entries[at];
        self.bytes = self.bytes - entry.bytes + bytes;
        entry.bytes = bytes;
    }

    /// Lets connections go until all bytes have room. Returns whether they have.
    fn make_room(&mut self, now: Millis) -> bool {
        while self.bytes > self.limits.bytes {
            if !self.let_one_go(now) {
                return false;
            }
        }
        true
    }

    fn let_one_go(&mut self, now: Millis) -> bool {
        let ranked = self.entries.iter().enumerate().filter_map(|(at, entry)| {
            let rank = self.rank(entry, now)?;
            Some((rank, entry.since, at))
        });
        let Some((_, _, at)) = ranked.min() else {
            return false;
        };
        self.let_go(at);
        true
    }

    /// Returns when it is an entry's turn to be let go; `None` if it is kept.
    fn rank(&self, entry: &Entry, now: Millis) -> Option<Rank> {
        if let Some(since) = entry.blocked_since {
            return (now.since(since) > BLOCKED_TIME).then_some(Rank::Unread);
        }
        let age = now.since(entry.since);
        let reuse = Millis::new(self.limits.idle_time.as_u64() / 100 * REUSE_PERCENT);
        match (entry.phase, entry.record) {
            (Phase::Waiting, _) if age > reuse => Some(Rank::Unused),
            (Phase::Waiting, Record::None) => Some(Rank::Fresh),
            (Phase::Waiting, Record::Served) => Some(Rank::Reusable),
            (Phase::Head, _) => Some(Rank::Unfinished),
            (Phase::Request, _) => None,
        }
    }

    fn let_go(&mut self, at: usize) {
        let id = self.remove(at);
        self.ended.push(id);
    }

    fn remove(&mut self, at: usize) -> Id {
        let entry = self.entries.remove(at);
        self.bytes -= entry.bytes;
        entry.id
    }

    fn find(&self, id: Id) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }
}

#[cfg(test)]
mod tests;
