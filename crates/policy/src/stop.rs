//! What a process that stops still takes.
//!
//! Callers go on sending for a while after the process has said that it isn't ready. A request that
//! is taken then and outlasts the process is cut off when the process ends: its caller loses the
//! answer, and what may run once has an unknown outcome. So only a request is taken that is over
//! before the process is, whatever becomes of it; the rest is refused at once and another VM serves
//! it. That suffices as the process doesn't end before [`Stop::last`] while a request is under way.

use wire::clock::Millis;

/// What is kept of the time that a stopping process has, for the last bytes of its last answers and
/// for its own end.
const MARGIN: Millis = Millis::new(400);
/// The part of a short time that the margin takes at most: one in so many.
const MARGIN_PART: u64 = 4;
/// When a refused request may come again: at once, as another VM can serve it.
pub const RETRY: Millis = Millis::new(10);

/// The stop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    begun: Millis,
    last: Millis,
    killed: Millis,
}

impl Stop {
    /// Plans the stop of a process that was told to end at `begun` and is killed `grace` later.
    #[must_use]
    pub fn new(begun: Millis, grace: Millis) -> Self {
        let part = Millis::new(grace.as_u64() / MARGIN_PART);
        Self {
            begun,
            last: begun.plus(grace.since(MARGIN.min(part))),
            killed: begun.plus(grace),
        }
    }

    /// Yields when the process was told to end.
    #[must_use]
    pub const fn begun(&self) -> Millis {
        self.begun
    }

    /// Yields when the process ends whatever is under way; all that was taken is over by then.
    #[must_use]
    pub const fn last(&self) -> Millis {
        self.last
    }

    /// Yields when the process is killed where it hasn't ended.
    #[must_use]
    pub const fn killed(&self) -> Millis {
        self.killed
    }

    /// Yields the time that is left for what is under way.
    #[must_use]
    pub const fn left(&self, now: Millis) -> Millis {
        self.last.since(now)
    }

    /// Tells whether a request that is over at `until` at the latest is taken. A request without
    /// such a time may outlast the process, and isn't.
    #[must_use]
    pub fn takes(&self, until: Option<Millis>) -> bool {
        until.is_some_and(|until| until <= self.last)
    }
}

#[cfg(test)]
mod tests;
