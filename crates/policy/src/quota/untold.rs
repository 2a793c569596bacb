//! Bounds the requests of a VM that other VMs may not know of.
//!
//! A VM learns of a cut some hundred milliseconds after it began. Until then each VM would admit alone what
//! is left of the limit. How many requests callers will send in that time isn't known before: a workspace
//! may have paused. So a VM admits beyond its last news only a part of what was left then, and the parts of
//! all VMs add up to the whole. Half of it is shared by the number of VMs, as any of them may be
//! the one that callers turn to next; the other half by the requests that they got up to the news, as
//! the callers of a workspace may reach only a few VMs.

use wire::clock::Millis;

use crate::quota::Limit;
use crate::quota::PER_MILLE;

/// The part of a limit by which it may be exceeded while VMs don't know of each other's requests, as one
/// over this number.
const TOLERANCE_DIVISOR: u64 = 10;
/// The requests by which it may be exceeded in addition.
const TOLERANCE: u64 = 20;
/// The part of what is left that is shared by the number of VMs.
const BY_NUMBER_PER_MILLE: u64 = PER_MILLE / 2;

/// A VM's requests since its news of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Untold {
    /// Those that were admitted.
    pub admitted: u32,
    /// Those that this VM got in the last second before its news, admitted or not.
    pub asked: u32,
    /// Whether the news are as old as usual or older.
    pub news: News,
    /// All VMs.
    pub vms: u32,
}

/// The age of a VM's news of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// As old as usual.
    Recent,
    /// Older: the VM may have been cut off.
    Late,
}

/// What all VMs that hear each other may admit.
#[derive(Clone, Copy, Debug)]
pub struct Pool {
    /// How many requests they may have admitted.
    pub bound: u64,
    /// Those that this VM knows of.
    pub used: u64,
    /// Those that other VMs got in the last second.
    pub asked_of_others: u32,
    /// Their number.
    pub heard: u32,
    /// For how long requests have been counted, up to the window.
    pub counted_for: Millis,
}

impl Untold {
    /// Returns whether one more request is within this VM's part. `lot` is a random number below
    /// [`PER_MILLE`] that decides on a part of a request.
    #[must_use]
    pub fn has_room(&self, limit: &Limit, pool: &Pool, lot: u64) -> bool {
        if self.vms <= 1 {
            return true;
        }
        let part = self.part_per_mille(pool.left(limit, self), pool);
        let part = part / PER_MILLE + u64::from(lot < part % PER_MILLE);
        let part = match self.news {
            // A VM that never had room for a request would refuse small workspaces in a large fleet.
            News::Recent => part.max(1),
            News::Late => part,
        };
        u64::from(self.admitted) < part
    }

    fn part_per_mille(&self, left: u64, pool: &Pool) -> u64 {
        let heard = u64::from(pool.heard.max(1));
        let asked = u64::from(self.asked);
        let asked_of_all = (asked + u64::from(pool.asked_of_others)).max(1);
        let by_number = left * BY_NUMBER_PER_MILLE / heard;
        by_number + left * (PER_MILLE - BY_NUMBER_PER_MILLE) * asked / asked_of_all
    }
}

impl Pool {
    /// Returns what was left at the time of the news.
    fn left(&self, limit: &Limit, untold: &Untold) -> u64 {
        let tolerance = limit.allowance() / TOLERANCE_DIVISOR + TOLERANCE;
        let tolerance = tolerance * u64::from(self.heard) / u64::from(untold.vms.max(1));
        let known = self.used.saturating_sub(u64::from(untold.admitted));
        // The window may hold the whole limit of the time before the VMs began to count.
        let known = if self.counted_for < limit.window {
            known.max(self.bound)
        } else {
            known
        };
        (self.bound + tolerance).saturating_sub(known)
    }
}

#[cfg(test)]
mod tests;
