//! A VM's rate budget for platform calls: decides which calls may be sent now and which wait.
//!
//! **Load pattern.** Turns commit in bursts, while snapshots, sweeps and lease renewals go on at a
//! steady rate. The platform accepts a few hundred writes a second from the whole fleet.
//!
//! **Without it.** A burst of snapshots uses up the platform's rate, and the commits that callers
//! wait for are refused. Or a burst of commits delays the lease renewals for longer than a lease
//! lasts, so that the VM loses every shard at its busiest moment.
//!
//! **Thresholds.** A token bucket holds one second of its rate because the platform counts by the
//! second; a deeper one would let a VM that was idle exceed the fleet's limit. Lower priorities
//! must leave a part of the bucket to higher ones ([`FLOORS`]): background work half of it, so that
//! a commit finds half a second of the rate at any time; claims a quarter; configuration changes an
//! eighth. A tenth of the rate ([`CLAIM_SHARE`]) is reserved for claims, so that commits never
//! delay renewals by more than ten times the interval between writes: a third of a second at 30
//! writes/s, far below a lease of seconds.

use wire::clock::Millis;

use crate::edge::Priority;

/// The cost of a call, in thousandths of a call. At a rate of n calls a second, a bucket gains n
/// thousandths each millisecond.
const CALL_COST: u64 = 1000;
/// One in this many writes is reserved for claims.
const CLAIM_SHARE: u32 = 10;
/// The smallest depth of a bucket, in calls. In a smaller one the floors would leave no room for a
/// whole call.
const MIN_DEPTH: u64 = 8;
/// What each priority must leave in the bucket for higher ones, in eighths of the depth.
const FLOORS: [(Priority, u64); 4] = [
    (Priority::Commit, 0),
    (Priority::Change, 1),
    (Priority::Claim, 2),
    (Priority::Background, 4),
];

/// The calls that a VM may send per second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Reads. A watch counts as one when it begins.
    pub reads: u32,
    /// Writes.
    pub writes: u32,
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The call may be sent, and has been counted.
    Go,
    /// The call may be sent after this span at the earliest, if no other call takes its place.
    Wait(Millis),
}

/// The rate budget of a VM.
#[derive(Clone, Debug)]
pub struct Budget {
    reads: Bucket,
    writes: Bucket,
    claims: Bucket,
}

impl Budget {
    /// Creates a budget with full buckets.
    #[must_use]
    pub fn new(rate: Rate, now: Millis) -> Self {
        let claims = (rate.writes / CLAIM_SHARE).max(1);
        let writes = rate.writes.saturating_sub(claims).max(1);
        Self {
            reads: Bucket::new(rate.reads.max(1), now),
            writes: Bucket::new(writes, now),
            claims: Bucket::new(claims, now),
        }
    }

    /// Decides on a read.
    pub fn read(&mut self, now: Millis) -> Verdict {
        self.reads.take(0, now)
    }

    /// Decides on a write without counting it.
    pub fn probe(&mut self, priority: Priority, now: Millis) -> Verdict {
        self.writes.probe(self.floor(priority), now)
    }

    fn floor(&self, priority: Priority) -> u64 {
        let eighths = FLOORS
            .iter()
            .find(|(other, _)| *other == priority)
            .map_or(0, |(_, floor)| *floor);
        self.writes.depth * eighths / 8
    }

    /// Decides on a write. A claim that doesn't fit the common budget may use the reserved one.
    pub fn write(&mut self, priority: Priority, now: Millis) -> Verdict {
        let floor = self.floor(priority);
        let common = self.writes.take(floor, now);
        let (Verdict::Wait(span), Priority::Claim) = (common, priority) else {
            return common;
        };
        match self.claims.take(0, now) {
            Verdict::Go => Verdict::Go,
            Verdict::Wait(reserved) => Verdict::Wait(reserved.min(span)),
        }
    }
}

/// A token bucket. Depth and level are in thousandths of a call.
#[derive(Clone, Debug)]
struct Bucket {
    /// Calls per second.
    rate: u64,
    depth: u64,
    level: u64,
    /// When the bucket was last refilled.
    refilled_at: Millis,
}

impl Bucket {
    fn new(rate: u32, now: Millis) -> Self {
        let depth = u64::from(rate).max(MIN_DEPTH) * CALL_COST;
        Self {
            rate: u64::from(rate),
            depth,
            level: depth,
            refilled_at: now,
        }
    }

    fn take(&mut self, floor: u64, now: Millis) -> Verdict {
        let verdict = self.probe(floor, now);
        if verdict == Verdict::Go {
            self.level -= CALL_COST;
        }
        verdict
    }

    fn probe(&mut self, floor: u64, now: Millis) -> Verdict {
        let gained = now
            .since(self.refilled_at)
            .as_u64()
            .saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
        let needed = floor + CALL_COST;
        if self.level < needed {
            return Verdict::Wait(Millis::new((needed - self.level).div_ceil(self.rate)));
        }
        Verdict::Go
    }
}

#[cfg(test)]
mod tests;
