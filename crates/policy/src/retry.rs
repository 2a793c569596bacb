//! Decides which failed calls are retried, within a retry budget.
//!
//! The budget limits retries when endpoints fail or are saturated. Without it, every failure sends
//! the call again: when the endpoints fail because they are overloaded, retries multiply the load
//! that made them fail, and the system stays down after the cause is gone.
//!
//! A retry spends one token; a success earns [`TOKENS_PER_SUCCESS`]. So retries stay below a tenth
//! of the work that succeeds, plus [`TOKENS_PER_SECOND`], which lets an idle VM retry at all. The
//! last [`URGENT_RESERVE`] tokens are for urgent calls. A call that may run only once is retried
//! only if the endpoint itself said that it did not run.

use rand::Rng;
use rand::RngExt;
use wire::clock::Millis;
use wire::code::Ran;

use crate::class::Class;

/// Tokens that a success earns: retries add at most this share to the load.
pub const TOKENS_PER_SUCCESS: f64 = 0.1;
/// Tokens added per second without any success. One retry in ten seconds from each of nine VMs is
/// less than one call a second, which is negligible beside the work of the endpoints.
pub const TOKENS_PER_SECOND: f64 = 0.1;
/// Most tokens that the budget holds: a batch of calls that fail together (the slots of one
/// endpoint) can be retried at once, and no more.
pub const MAX_TOKENS: f64 = 32.0;
/// Tokens that only urgent calls may spend.
pub const URGENT_RESERVE: f64 = 8.0;
/// Maximum number of attempts, including the first. A call that is blamed for a second crash ends,
/// so the third attempt is for calls that met two failures of other kinds.
pub const MAX_TRIES: u32 = 3;
/// Pause before the first retry; it doubles with each further retry.
pub const FIRST_PAUSE: Millis = Millis::new(50);

/// Whether a call may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it twice does no harm.
    Safe,
    /// It may run at most once.
    Once,
}

/// A call that failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its class.
    pub class: Class,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Whether the call ran.
    pub ran: Ran,
    /// Number of attempts so far, counting from 1.
    pub tries: u32,
}

/// What to do about a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry after a pause.
    Again {
        /// The pause.
        after: Millis,
    },
    /// Report the failure: the call must not be repeated or has used all its attempts.
    Final,
    /// Report the failure: the budget is spent.
    Spent,
}

/// The retries that a VM may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
    refilled: Millis,
}

impl Budget {
    /// Builds a full budget.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            tokens: MAX_TOKENS,
            refilled: now,
        }
    }

    /// Returns the remaining tokens.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Records a call that succeeded.
    pub fn succeed(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_SUCCESS).min(MAX_TOKENS);
    }

    /// Decides what to do about a failure, and takes a token from the budget for a retry.
    pub fn decide<R: Rng>(&mut self, failure: &Failure, now: Millis, rng: &mut R) -> Verdict {
        if failure.repeat == Repeat::Once && failure.ran != Ran::No {
            return Verdict::Final;
        }
        if failure.tries >= MAX_TRIES {
            return Verdict::Final;
        }
        self.refill(now);
        let reserve = match failure.class {
            Class::Urgent => 0.0,
            Class::Routine => URGENT_RESERVE,
        };
        if self.tokens < reserve + 1.0 {
            return Verdict::Spent;
        }
        self.tokens -= 1.0;
        let pause = FIRST_PAUSE.as_u64() << failure.tries.saturating_sub(1);
        let after = Millis::new(rng.random_range(pause / 2..=pause));
        Verdict::Again { after }
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn refill(&mut self, now: Millis) {
        let seconds = now.since(self.refilled).as_u64() as f64 / 1000.0;
        self.tokens = (self.tokens + seconds * TOKENS_PER_SECOND).min(MAX_TOKENS);
        self.refilled = self.refilled.max(now);
    }
}

#[cfg(test)]
mod tests;
