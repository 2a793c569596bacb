//! Decides what a process that is shutting down still accepts, and when it exits.
//!
//! Callers keep sending for a while after the process has reported that it isn't ready. If it
//! accepts a request that outlasts it, the request is cut off when the process exits: the caller
//! loses the answer, and the outcome of a request that may run only once is unknown. So the process
//! accepts only requests that are certain to end before it exits. It refuses all others at once,
//! and another VM serves them. This is sufficient because the process doesn't exit before
//! [`Stop::deadline`] while a request is in progress.

use wire::clock::Millis;

use crate::balancer;

/// Time reserved at the end of the grace period, for the last bytes of the last answers and for the
/// exit of the process itself.
const MARGIN: Millis = Millis::new(400);
/// Limits [`MARGIN`] and [`ANSWER_MARGIN`] to one part in this many of a short grace period.
const MARGIN_DIVISOR: u64 = 4;
/// The last bytes are sent within one part in this many of the margin.
const FLUSH_DIVISOR: u64 = 4;
/// How long before [`Stop::deadline`] a request that isn't at an endpoint is abandoned. The time
/// suffices to read the part of its body that is on its way, and to answer. An endpoint that
/// received the request then would hardly finish in time.
const ANSWER_MARGIN: Millis = Millis::new(500);
/// How long a process with nothing in progress keeps running: until the balancer sends elsewhere,
/// with a margin for its last probe. If the balancer keeps sending because too few other VMs are
/// ready, running for longer would only delay the start of the next process.
const IDLE_LINGER: Millis = balancer::DETECTION_TIME.plus(Millis::new(300));
/// When a refused request may be retried: at once, because another VM can serve it.
pub const RETRY: Millis = Millis::new(10);

/// Whether a process has anything in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// Requests are in progress, or connections are open.
    Busy,
    /// Nothing is in progress.
    Idle,
}

/// The planned shutdown of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    begun: Millis,
    deadline: Millis,
    killed: Millis,
}

impl Stop {
    /// Plans the shutdown of a process that was told to stop at `begun` and is killed `grace`
    /// later.
    #[must_use]
    pub fn new(begun: Millis, grace: Millis) -> Self {
        let fraction = Millis::new(grace.as_u64() / MARGIN_DIVISOR);
        Self {
            begun,
            deadline: begun.plus(grace.since(MARGIN.min(fraction))),
            killed: begun.plus(grace),
        }
    }

    /// Returns when the process was told to stop.
    #[must_use]
    pub const fn begun(&self) -> Millis {
        self.begun
    }

    /// Returns the time by which every accepted request has ended.
    #[must_use]
    pub const fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Returns when requests that may outlast the process are abandoned if they aren't at an
    /// endpoint.
    #[must_use]
    pub fn unassigned_deadline(&self) -> Millis {
        let grace = self.killed.since(self.begun);
        let fraction = Millis::new(grace.as_u64() / MARGIN_DIVISOR);
        Millis::new(self.deadline.as_u64() - ANSWER_MARGIN.min(fraction).as_u64())
    }

    /// Returns when the process is killed if it is still running.
    #[must_use]
    pub const fn killed(&self) -> Millis {
        self.killed
    }

    /// Returns when a process that is still busy exits: shortly after [`Self::deadline`], so that
    /// the last bytes of the last answers are sent.
    #[must_use]
    pub fn exit_at(&self) -> Millis {
        let margin = self.killed.since(self.deadline);
        self.deadline
            .plus(Millis::new(margin.as_u64() / FLUSH_DIVISOR))
    }

    /// Returns when a process that is still busy exits if its listener closed at `closed`. A process
    /// that was paused, or got no processor time, may close it late, and the connections that it
    /// accepts last still have to be answered. Where the kill leaves time, they get as much as they
    /// would have had without the delay.
    #[must_use]
    pub fn exit_after(&self, closed: Millis) -> Millis {
        let flush = self.exit_at().since(self.deadline);
        let latest = Millis::new(self.killed.as_u64() - flush.as_u64());
        closed.plus(flush).min(latest).max(self.exit_at())
    }

    /// Returns whether the process exits now: once the balancer has had time to notice and nothing
    /// is in progress, and at [`Self::exit_at`] at the latest.
    #[must_use]
    pub fn is_over(&self, now: Millis, activity: Activity) -> bool {
        match activity {
            Activity::Busy => now >= self.exit_at(),
            Activity::Idle => now >= self.deadline.min(self.begun.plus(IDLE_LINGER)),
        }
    }

    /// Returns whether the listener for callers closes now, where `requests` tells whether any
    /// requests are in progress: when the process exits, but at [`Self::deadline`] at the latest.
    /// Connections that wait to be accepted at that moment have until [`Self::exit_at`] to be
    /// answered.
    #[must_use]
    pub fn closes_listener(&self, now: Millis, requests: Activity) -> bool {
        match requests {
            Activity::Busy => now >= self.deadline,
            Activity::Idle => self.is_over(now, Activity::Idle),
        }
    }

    /// Returns the time that remains for what is in progress.
    #[must_use]
    pub const fn left(&self, now: Millis) -> Millis {
        self.deadline.since(now)
    }

    /// Returns whether a request that ends at `until` at the latest is accepted. A request without
    /// such a limit may outlast the process and isn't accepted.
    #[must_use]
    pub fn takes(&self, until: Option<Millis>) -> bool {
        until.is_some_and(|until| until <= self.deadline)
    }

    /// Returns whether a request that isn't at an endpoint, and that ends at `until` at the latest,
    /// is abandoned now.
    #[must_use]
    pub fn gives_up(&self, now: Millis, until: Option<Millis>) -> bool {
        now >= self.unassigned_deadline() && !self.takes(until)
    }
}

#[cfg(test)]
mod tests;
