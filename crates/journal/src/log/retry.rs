//! How long to wait before trying the platform again.
//!
//! Prevents the failure "the platform comes back and all owners call it at once": the waits double
//! and differ between owners.

use wire::clock::Millis;
use wire::id::Digest;

/// The wait after the first failure. A lost packet or a leader change in the platform is over after
/// tens of milliseconds, and callers are waiting.
const FIRST_WAIT_MS: u64 = 40;
/// The longest wait. A shard is available again within a second of the platform, and a thousand
/// shards send at most a thousand calls per second to a platform that is down, below its normal
/// reads and writes taken together.
pub(crate) const MAX_WAIT: Millis = Millis::new(1_000);
/// The number of consecutive failures without a response that count as an outage. The first may be
/// one lost packet; given the platform timeout of half a second, callers have waited for a second
/// by the second failure.
const OUTAGE_AFTER_FAILURES: u32 = 2;

/// Returns the wait after `tries` consecutive failures: doubled each time, with jitter from `seed`
/// over the upper half.
pub(crate) fn backoff(tries: u32, seed: u64) -> Millis {
    let doubled = FIRST_WAIT_MS << tries.saturating_sub(1).min(10);
    let full = doubled.min(MAX_WAIT.as_u64());
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    bytes[8..].copy_from_slice(&tries.to_be_bytes());
    let jitter = Digest::of(&bytes).0 % (full / 2 + 1);
    Millis::new(full / 2 + jitter)
}

/// Returns whether this many consecutive calls without a response are an outage.
pub(crate) fn is_outage(tries: u32) -> bool {
    tries >= OUTAGE_AFTER_FAILURES
}

#[cfg(test)]
mod tests;
