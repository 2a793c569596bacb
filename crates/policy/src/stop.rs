//! What a process that stops still takes.
//!
//! Callers go on sending for a while after the process has said that it isn't ready. A request that
//! is taken then and outlasts the process is cut off when the process ends: its caller loses the
//! answer, and what may run once has an unknown outcome. So only a request is taken that is over
//! before the process is, whatever becomes of it; the rest is refused at once and another VM serves
//! it. That suffices as the process doesn't end before [`Stop::deadline`] while a request is under way.

use wire::clock::Millis;

use crate::balancer;

/// What is kept of the time that a stopping process has, for the last bytes of its last answers and
/// for its own end.
const MARGIN: Millis = Millis::new(400);
/// The part of a short time that the margin takes at most: one in so many.
const MARGIN_PART: u64 = 4;
/// The part of the margin in which the last bytes go out: one in so many.
const LAST_BYTES_PART: u64 = 4;
/// How long before [`Stop::deadline`] a request is given up that no endpoint has: time to read what is on its
/// way of its body, and to answer. An endpoint that got it then would hardly be done in time.
const LAST_CALL: Millis = Millis::new(500);
/// How long a process that has nothing under way lives on: until the balancer sends elsewhere, with a
/// margin for its last look. Where it doesn't, as too few other VMs are ready, living on only keeps
/// the next process from serving.
const LINGER: Millis = balancer::DETECTION_TIME.plus(Millis::new(300));
/// When a refused request may come again: at once, as another VM can serve it.
pub const RETRY: Millis = Millis::new(10);

/// Whether a process has anything under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Requests are under way, or connections are open.
    Busy,
    /// Nothing is.
    Idle,
}

/// The stop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    begun: Millis,
    deadline: Millis,
    killed: Millis,
}

impl Stop {
    /// Plans the stop of a process that was told to end at `begun` and is killed `grace` later.
    #[must_use]
    pub fn new(begun: Millis, grace: Millis) -> Self {
        let part = Millis::new(grace.as_u64() / MARGIN_PART);
        Self {
            begun,
            deadline: begun.plus(grace.since(MARGIN.min(part))),
            killed: begun.plus(grace),
        }
    }

    /// Yields when the process was told to end.
    #[must_use]
    pub const fn begun(&self) -> Millis {
        self.begun
    }

    /// Yields by when all that was taken is over.
    #[must_use]
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Yields when requests that may outlast the process are given up where no endpoint has them.
    #[must_use]
    pub fn unassigned_deadline(&self) -> Millis {
        let grace = self.killed.since(self.begun);
        let part = Millis::new(grace.as_u64() / MARGIN_PART);
        Millis::new(self.deadline.as_u64() - LAST_CALL.min(part).as_u64())
    }

    /// Yields when the process is killed where it hasn't ended.
    #[must_use]
    pub const fn killed(&self) -> Millis {
        self.killed
    }

    /// Yields when a process ends that is busy until then: a little after [`Self::deadline`], so that the
    /// last bytes of the last answers go out.
    #[must_use]
    pub fn exit_at(&self) -> Millis {
        let margin = self.killed.since(self.deadline);
        self.deadline
            .plus(Millis::new(margin.as_u64() / LAST_BYTES_PART))
    }

    /// Tells whether the process ends now: when the balancer has had time to notice and nothing is
    /// under way, and at the last moment in any case.
    #[must_use]
    pub fn is_over(&self, now: Millis, activity: Activity) -> bool {
        match activity {
            Activity::Busy => now >= self.exit_at(),
            Activity::Idle => now >= self.deadline.min(self.begun.plus(LINGER)),
        }
    }

    /// Tells whether the listener for callers closes now, `requests` being whether any are under way:
    /// with the process's end, but at [`Self::deadline`] at the latest. What waits to be accepted then
    /// has the time up to [`Self::exit_at`] to be answered.
    #[must_use]
    pub fn closes_listener(&self, now: Millis, requests: Activity) -> bool {
        match requests {
            Activity::Busy => now >= self.deadline,
            Activity::Idle => self.is_over(now, Activity::Idle),
        }
    }

    /// Yields the time that is left for what is under way.
    #[must_use]
    pub const fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Tells whether a request that is over at `until` at the latest is taken. A request without
    /// such a time may outlast the process, and isn't.
    #[must_use]
    pub fn takes(&self, until: Option<Millis>) -> bool {
        until.is_some_and(|until| until <= self.deadline)
    }

    /// Tells whether a request that no endpoint has, and that is over at `until` at the latest, is given
    /// up now.
    #[must_use]
    pub fn gives_up(&self, now: Millis, until: Option<Millis>) -> bool {
        now >= self.unassigned_deadline() && !self.takes(until)
    }
}

#[cfg(test)]
mod tests;
