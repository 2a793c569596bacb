//! Slow start: limits how fast load moves to a new or restored endpoint.
//!
//! Without it, every VM sees the idle endpoint at the same moment and fills it, with its cold
//! cache, before it has sent its first load report.
//!
//! The calls of an endpoint that failed need no limit of their own. [`crate::place`] counts each
//! call that it sends and chooses at random between equal endpoints, so these calls spread over the
//! remaining endpoints by their free slots. A test in that module shows it for VMs that all act on
//! the same outdated report.

use wire::clock::Millis;

/// Share of its slots that a new or restored endpoint may use at first.
///
/// About one call for an endpoint with eight slots, which is enough to see whether it works.
pub const INITIAL_SHARE: f64 = 0.125;
/// Time in which the share grows to 1. Several times the lag of the load reports (up to 2 s) and
/// the mean duration of a call, so that the effect of each step shows in a report before the next
/// step.
pub const DURATION: Millis = Millis::new(10_000);
/// Returns the usable share of the slots of an endpoint that was added or restored at `since`.
#[must_use]
pub fn share(since: Millis, now: Millis) -> f64 {
    let elapsed = now.since(since);
    if elapsed >= DURATION {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "both are under 2^52")]
    let progress = elapsed.as_u64() as f64 / DURATION.as_u64() as f64;
    INITIAL_SHARE + (1.0 - INITIAL_SHARE) * progress
}

#[cfg(test)]
mod tests;
