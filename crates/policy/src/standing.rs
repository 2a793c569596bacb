//! The standing of a turn: whether its program can still finish in time, and with what priority the
//! engines serve it.
//!
//! The load is a service whose callers ask for more than its engines can do, for seconds at a time.
//! Served in the order of arrival, all programs become late together. A late program is worth little
//! to its caller, so its turns yield to those of programs that can still finish in time.
//!
//! Turns yield within their rank and to the next rank, never to a later one: work of a rank that is two
//! below waits as it does without this module. A late turn is served as soon as the turns that it
//! yields to are, and nothing that is late goes before it unless it is more urgent.

use wire::clock::Millis;

/// Engine priorities between two ranks that follow each other.
const RANK_STEP: u8 = 2;
/// The rank from which on all ranks share an engine priority.
const LAST_RANK: u8 = 3;
/// How much a late turn is set back: behind the turns of the next rank that are in time.
const LATE_STEP: u8 = 3;
/// The least urgent priority of an engine.
const MAX_PRIORITY: u8 = 9;
/// A program whose time is below this multiple of what its turn needs is at risk. A turn that has to
/// wait in a full queue takes about twice as long as one that is served at once.
const RISK_MULTIPLE: u64 = 2;

/// Whether a turn's program can finish in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The program has time to spare, or states no time.
    InTime,
    /// The program is late unless this turn is served soon.
    AtRisk,
    /// The program is late, or will be even if this turn is served at once.
    Late,
}

impl Standing {
    /// Tells the standing of a turn from what is left of its program's time, if the program states it,
    /// and the time that this turn takes if it is served at once; `Millis::ZERO` if that isn't known.
    #[must_use]
    pub fn of(left: Option<Millis>, needed: Millis) -> Self {
        let Some(left) = left else {
            return Self::InTime;
        };
        if left == Millis::ZERO || left < needed {
            Self::Late
        } else if left.as_u64() < needed.as_u64().saturating_mul(RISK_MULTIPLE) {
            Self::AtRisk
        } else {
            Self::InTime
        }
    }

    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::InTime => "in_time",
            Self::AtRisk => "at_risk",
            Self::Late => "late",
        }
    }

    /// Returns the engine priority of a turn whose kind has a rank, 0 being the most urgent of both.
    #[must_use]
    pub const fn priority(self, rank: u8) -> u8 {
        let base = of_rank(rank);
        let priority = match self {
            Self::InTime => base,
            Self::AtRisk => base - 1,
            Self::Late => base + LATE_STEP,
        };
        if priority < MAX_PRIORITY {
            priority
        } else {
            MAX_PRIORITY
        }
    }
}

/// Returns the engine priority of a rank where standings decide nothing.
#[must_use]
pub const fn of_rank(rank: u8) -> u8 {
    let rank = if rank < LAST_RANK { rank } else { LAST_RANK };
    1 + RANK_STEP * rank
}

#[cfg(test)]
mod tests;
