//! How fast load moves to an endpoint.
//!
//! Answers an endpoint that is new or taken back. Without it every VM sees the idle endpoint at the
//! same moment and fills it before its first report, with a cold cache.
//!
//! The calls of an endpoint that failed need no limit of their own: [`crate::place`] counts each
//! call that is sent and draws among equals, so they spread over the rest by its free slots; a
//! test of that module shows it for VMs that all act on one old report.

use wire::clock::Millis;

/// The share of its slots that a new or returned endpoint may use at first.
///
/// About one call for an endpoint of eight slots: enough to see whether it works.
pub const INITIAL_SHARE: f64 = 0.125;
/// The time in which the share grows to the whole. Several times the lag of the load reports (up
/// to 2 s) and of the mean call, so that each step shows in a report before the next.
pub const DURATION: Millis = Millis::new(10_000);
/// Yields the share of an endpoint's slots that may be used, for one that came at `since`.
#[must_use]
pub fn share(since: Millis, now: Millis) -> f64 {
    let span = now.since(since);
    if span >= DURATION {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "both are under 2^52")]
    let part = span.as_u64() as f64 / DURATION.as_u64() as f64;
    INITIAL_SHARE + (1.0 - INITIAL_SHARE) * part
}

#[cfg(test)]
mod tests;
