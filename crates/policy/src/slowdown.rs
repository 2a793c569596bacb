//! How long work takes at endpoints whose machines are shared with others, from what they read there
//! now.
//!
//! The load that this answers: at any moment, some endpoints take a multiple of their usual time, for
//! about the time of one or two calls, and then others do. A mean over seconds levels that out: it
//! shows no endpoint as slow while it is, and shows endpoints that were slow as slow for long after.
//! So each endpoint tells with its answers how long work takes at that moment. A reading says much of
//! a call that starts at once and is short, and ever less of one that is long, or starts later.
//!
//! A slowdown is expected to go on for [`LASTING`] from any moment at which it is seen. What a reading
//! doesn't say counts as usual: if it counted as a little slower, all VMs would send to the few endpoints
//! that were just read.

use wire::clock::Millis;

/// How long a slowdown goes on, on average, after it is read: less than it lasts, as it may have begun
/// some time before.
pub const LASTING: Millis = Millis::new(400);
/// Age from which a reading isn't used or passed on any more. What then remains of a slowdown is less
/// than costs must differ by for an endpoint to be preferred.
pub const MAX_AGE: Millis = Millis::new(1_000);
/// The usual time, in per cent.
const USUAL_PERCENT: u32 = 100;
/// Readings that differ by less from the usual one, in per cent of it, count as usual: they change no
/// choice.
const USUAL_TOLERANCE_PERCENT: u32 = 10;

/// What an endpoint told of its machine, and when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// How long work takes, in per cent of the usual time; at least 1.
    pub percent: u32,
    /// When it was read.
    pub at: Millis,
}

impl Reading {
    /// Returns whether the machine was as fast as usual.
    #[must_use]
    pub const fn is_usual(&self) -> bool {
        self.percent.abs_diff(USUAL_PERCENT) <= USUAL_TOLERANCE_PERCENT
    }

    /// Returns whether the machine was slower than usual.
    #[must_use]
    pub const fn is_slow(&self) -> bool {
        !self.is_usual() && self.percent > USUAL_PERCENT
    }

    /// Returns whether the reading is recent enough to be used.
    #[must_use]
    pub fn is_valid(&self, now: Millis) -> bool {
        now.since(self.at) < MAX_AGE
    }

    /// Returns how many times as long as usual a call is expected to take that starts now and usually
    /// takes `usual_ms` milliseconds; 1 for a reading that isn't valid any more.
    #[must_use]
    pub fn expected_factor(&self, usual_ms: f64, now: Millis) -> f64 {
        if !self.is_valid(now) {
            return 1.0;
        }
        let still = (-millis(now.since(self.at)) / millis(LASTING)).exp();
        let factor = self.factor();
        let usual_ms = usual_ms.max(1.0);
        let lost_ms = lost_share(factor) * slowed_ms(usual_ms * factor);
        1.0 + still * lost_ms / usual_ms
    }

    /// Returns how long a call that took `span`, at one end of which this was read, is expected to have
    /// taken if nothing had slowed it; at least 1 ms.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "spans are positive and far below 2^52"
    )]
    pub fn usual_span(&self, span: Millis) -> Millis {
        let span_ms = millis(span);
        let lost_ms = lost_share(self.factor()) * slowed_ms(span_ms);
        Millis::new((span_ms - lost_ms).round().max(1.0) as u64)
    }

    fn factor(&self) -> f64 {
        f64::from(self.percent.max(1)) / f64::from(USUAL_PERCENT)
    }
}

/// Returns the share of its time that a call loses while it takes `factor` times as long.
fn lost_share(factor: f64) -> f64 {
    1.0 - 1.0 / factor
}

/// Returns how much of a span is expected to be slowed if its beginning is.
fn slowed_ms(span_ms: f64) -> f64 {
    let lasting_ms = millis(LASTING);
    lasting_ms * (1.0 - (-span_ms / lasting_ms).exp())
}

#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
fn millis(span: Millis) -> f64 {
    span.as_u64() as f64
}

#[cfg(test)]
mod tests;
