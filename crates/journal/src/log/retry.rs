//! How long to wait before the platform is tried again.
//!
//! Exists for the failure "the platform comes back and all owners call it at once": waits double
//! and differ from owner to owner.

use wire::clock::Millis;
use wire::id::Digest;

/// The wait after the first failure. A lost packet or a leader change of the platform is over
/// after tens of milliseconds, and callers are waiting.
const FIRST_WAIT_MS: u64 = 40;
/// The longest wait: a shard is back within a second of the platform, and a thousand shards ask a
/// platform that is down a thousand times a second at most, under its reads and writes together.
pub(crate) const MAX_WAIT: Millis = Millis::new(1_000);
/// Failures in a row without an answer that count as an outage. The first may be one lost packet;
/// with the platform's time-out of half a second, callers have waited for a second by the second.
const OUTAGE_AFTER_FAILURES: u32 = 2;

/// Yields the wait after `tries` failures in a row: doubled for each, spread over its upper half
/// by `seed`.
pub(crate) fn backoff(tries: u32, seed: u64) -> Millis {
    let doubled = FIRST_WAIT_MS << tries.saturating_sub(1).min(10);
    let full = doubled.min(MAX_WAIT.as_u64());
    let mut bytes = [0; 12];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    bytes[8..].copy_from_slice(&tries.to_be_bytes());
    let jitter = Digest::of(&bytes).0 % (full / 2 + 1);
    Millis::new(full / 2 + jitter)
}

/// Tells whether that many calls without an answer are an outage.
pub(crate) fn is_outage(tries: u32) -> bool {
    tries >= OUTAGE_AFTER_FAILURES
}

#[cfg(test)]
mod tests;
