//! What is tried again.
//!
//! Answers a failing endpoint and saturation. Without a budget every failure sends a call again:
//! when the endpoints fail because they are overloaded, retries multiply the load that made them
//! fail, and the system stays down after the cause is gone.
//!
//! A retry spends one token; a success earns [`EARN`]. So retries stay under a tenth of the work
//! that succeeds, plus a trickle that lets an idle VM retry at all. The last [`RESERVED`] tokens
//! are for urgent calls. A call that may run only once is tried again only where the endpoint
//! itself said that it did not run.

use rand::Rng;
use rand::RngExt;
use wire::clock::Millis;
use wire::code::Ran;

use crate::class::Class;

/// Tokens that a success earns: the most that retries add to the load is this share.
pub const EARN: f64 = 0.1;
/// Tokens that come with each second without any success. One retry in ten seconds from each of
/// nine VMs is under one call a second: nothing beside the work of the endpoints.
pub const TRICKLE: f64 = 0.1;
/// The most tokens that are kept: a batch of calls that fails together (the slots of one endpoint)
/// can be tried again at once, and no more.
pub const FULL: f64 = 32.0;
/// Tokens that only urgent calls may spend.
pub const RESERVED: f64 = 8.0;
/// How often a call is tried in all. The second blame for a crash ends a call, so a third try is
/// for calls that met two failures of other kinds.
pub const MAX_TRIES: u32 = 3;
/// The pause before the first retry; each further one doubles it.
pub const PAUSE: Millis = Millis::new(50);

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
    /// Whether it ran.
    pub ran: Ran,
    /// How often it was tried so far, from 1.
    pub tries: u32,
}

/// What to do about a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try again after a pause.
    Again {
        /// The pause.
        after: Millis,
    },
    /// Report the failure; the call may not be repeated or was tried often enough.
    Final,
    /// Report the failure; the budget is spent.
    Spent,
}

/// The retries that a VM may still make.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    tokens: f64,
    at: Millis,
}

impl Budget {
    /// Builds a full budget.
    #[must_use]
    pub const fn new(now: Millis) -> Self {
        Self {
            tokens: FULL,
            at: now,
        }
    }

    /// Yields the tokens left.
    #[must_use]
    pub const fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Counts a call that succeeded.
    pub fn succeed(&mut self) {
        self.tokens = (self.tokens + EARN).min(FULL);
    }

    /// Decides about a failure and pays for the retry.
    pub fn decide<R: Rng>(&mut self, failure: &Failure, now: Millis, rng: &mut R) -> Verdict {
        if failure.repeat == Repeat::Once && failure.ran != Ran::No {
            return Verdict::Final;
        }
        if failure.tries >= MAX_TRIES {
            return Verdict::Final;
        }
        self.trickle(now);
        let kept = match failure.class {
            Class::Urgent => 0.0,
            Class::Routine => RESERVED,
        };
        if self.tokens < kept + 1.0 {
            return Verdict::Spent;
        }
        self.tokens -= 1.0;
        let pause = PAUSE.as_u64() << failure.tries.saturating_sub(1);
        let after = Millis::new(rng.random_range(pause / 2..=pause));
        Verdict::Again { after }
    }

    #[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
    fn trickle(&mut self, now: Millis) {
        let seconds = now.since(self.at).as_u64() as f64 / 1000.0;
        self.tokens = (self.tokens + seconds * TRICKLE).min(FULL);
        self.at = self.at.max(now);
    }
}

#[cfg(test)]
mod tests;
