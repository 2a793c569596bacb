//! The one rate budget of a VM towards the platform: what may be sent now, what waits.
//!
//! **Load pattern.** Turns commit in bursts, while snapshots, sweeps and lease renewals go on at
//! their own pace. The platform takes a few hundred writes a second of the whole fleet.
//!
//! **Without it.** A burst of snapshots uses the platform's rate up, and the commits that callers
//! wait for are refused; or a burst of commits delays the lease renewals for longer than a lease,
//! so that the VM loses every shard at its busiest moment.
//!
//! **Thresholds.** A bucket holds one second of its rate, as the platform counts by the second; a
//! deeper one would let a VM that was idle break the fleet's limit. Less important work leaves a
//! part of the bucket to what is more important ([`FLOORS`]): half for background work, so that a
//! commit finds half a second of the rate at any time; a quarter for claims, an eighth for changes.
//! Claims have a tenth of the rate ([`CLAIM_SHARE`]) to themselves: commits can then never hold
//! renewals up for more than ten times the spacing of writes, a third of a second at 30 writes/s
//! and far below a lease of seconds.

use wire::clock::Millis;

use crate::edge::Priority;

/// Thousandths of a call; a rate of n a second refills n of them in each millisecond.
const CALL: u64 = 1000;
/// The part of the write rate that only claims use: one in this many.
const CLAIM_SHARE: u32 = 10;
/// The smallest bucket in calls: below it the floors would leave no room for a whole call.
const MIN_DEPTH: u64 = 8;
/// What stays in the bucket for more important work, in eighths of its depth.
const FLOORS: [(Priority, u64); 4] = [
    (Priority::Commit, 0),
    (Priority::Change, 1),
    (Priority::Claim, 2),
    (Priority::Background, 4),
];

/// What a VM may send in a second.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Reads; a watch counts as one when it begins.
    pub reads: u32,
    /// Writes.
    pub writes: u32,
}

/// Whether a call may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It may, and has been counted.
    Go,
    /// Not before this span has passed, and then only if nothing else came first.
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
    /// Makes a full budget.
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

    /// Tells whether a write fits now, and takes nothing.
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

    /// Decides on a write.
    pub fn write(&mut self, priority: Priority, now: Millis) -> Verdict {
        let floor = self.floor(priority);
        let common = self.writes.take(floor, now);
        let (Verdict::Wait(span), Priority::Claim) = (common, priority) else {
            return common;
        };
        match self.claims.take(0, now) {
            Verdict::Go => Verdict::Go,
            Verdict::Wait(own) => Verdict::Wait(own.min(span)),
        }
    }
}

#[derive(Clone, Debug)]
struct Bucket {
    rate: u64,
    depth: u64,
    level: u64,
    at: Millis,
}

impl Bucket {
    fn new(rate: u32, now: Millis) -> Self {
        let depth = u64::from(rate).max(MIN_DEPTH) * CALL;
        Self {
            rate: u64::from(rate),
            depth,
            level: depth,
            at: now,
        }
    }

    fn take(&mut self, floor: u64, now: Millis) -> Verdict {
        let verdict = self.probe(floor, now);
        if verdict == Verdict::Go {
            self.level -= CALL;
        }
        verdict
    }

    fn probe(&mut self, floor: u64, now: Millis) -> Verdict {
        let gained = now.since(self.at).as_u64().saturating_mul(self.rate);
        self.level = self.level.saturating_add(gained).min(self.depth);
        self.at = self.at.max(now);
        let needed = floor + CALL;
        if self.level < needed {
            return Verdict::Wait(Millis::new((needed - self.level).div_ceil(self.rate)));
        }
        Verdict::Go
    }
}

#[cfg(test)]
mod tests;
