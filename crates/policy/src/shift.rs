//! How fast load moves to an endpoint.
//!
//! Answers an endpoint that is new, taken back, or the neighbour of one that failed. Without it
//! every VM sees the idle endpoint at the same moment and fills it before its first report, with a
//! cold cache; and the calls of a failed endpoint all go to the next best one, which fails next.

use wire::clock::Millis;

/// The share of its slots that a new or returned endpoint may use at first.
///
/// About one call for an endpoint of eight slots: enough to see whether it works.
pub const START: f64 = 0.125;
/// The time in which the share grows to the whole. Several times the lag of the load reports (up
/// to 2 s) and of the mean call, so that each step shows in a report before the next.
pub const RAMP: Millis = Millis::new(10_000);
/// The share of an endpoint's slots that may go, within [`WINDOW`], to calls taken over from failed
/// endpoints. With four or more endpoints left, a failed endpoint's full batch is placed again
/// within one window; none of them gets more than a quarter of a batch of cold prefills at once.
pub const INTAKE: f64 = 0.25;
/// The span over which calls taken over are counted: the longest lag of a load report, after
/// which the endpoint's own figures show what was taken over.
pub const WINDOW: Millis = Millis::new(2_000);

/// Yields the share of an endpoint's slots that may be used, for one that came at `since`.
#[must_use]
pub fn ramp(since: Millis, now: Millis) -> f64 {
    let span = now.since(since);
    if span >= RAMP {
        return 1.0;
    }
    #[expect(clippy::cast_precision_loss, reason = "both are under 2^52")]
    let part = span.as_u64() as f64 / RAMP.as_u64() as f64;
    START + (1.0 - START) * part
}

/// Counts the calls that an endpoint took over from failed ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Intake {
    begun: Millis,
    taken: u32,
}

impl Intake {
    /// Tells whether an endpoint with so many slots may take over one more call now.
    #[must_use]
    pub fn has_room(&self, slots: u32, now: Millis) -> bool {
        now.since(self.begun) >= WINDOW || self.taken < most_taken_over(slots)
    }

    /// Counts a call that was taken over.
    pub fn count(&mut self, now: Millis) {
        if now.since(self.begun) >= WINDOW {
            self.begun = now;
            self.taken = 0;
        }
        self.taken += 1;
    }
}

/// Yields how many calls an endpoint may take over within [`WINDOW`].
#[must_use]
pub fn most_taken_over(slots: u32) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the product is between 0 and the slots"
    )]
    let share = (f64::from(slots) * INTAKE) as u32;
    share.max(1)
}

#[cfg(test)]
mod tests;
