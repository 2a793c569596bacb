//! Which requests a process that stops still takes.
//!
//! The balancer goes on sending for a while after the VM has said that it isn't ready, and where
//! fewer than half of a data centre's VMs are ready it sends to all of them until they are gone. A
//! request that is taken late is cut off when the process ends: its caller loses the answer, and a
//! call that may run once has an unknown outcome. So once the balancer has had time to notice, only
//! what ends in any case before the process does is taken; the rest is refused, which promises that
//! it has not run, and another VM serves it.

use std::time::Duration;

use tokio::time::Instant;
use wire::clock::Millis;

/// How long after SIGTERM every request is taken: the balancer asks each second and stops sending
/// after two refusals, so most of what comes until then would only be sent away for nothing.
const FREELY: Duration = Duration::from_millis(2_500);
/// What is left of the time before SIGKILL when the process ends in any case.
const MARGIN: Duration = Duration::from_millis(400);
/// When a refused request may come again: at once, as another VM can serve it.
pub const RETRY: Millis = Millis::new(10);

/// The stop of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// When SIGTERM came.
    pub begun: Instant,
    /// When the process ends, whatever is under way.
    pub last: Instant,
}

impl Stop {
    /// Plans the stop of a process that is killed `grace` after `begun`.
    #[must_use]
    pub fn new(begun: Instant, grace: Duration) -> Self {
        Self {
            begun,
            last: begun + grace.saturating_sub(MARGIN),
        }
    }

    /// Tells whether a request that arrived then, and has its answer by `until` at the latest, is
    /// taken.
    #[must_use]
    pub fn takes(&self, arrived: Instant, until: Instant) -> bool {
        arrived < self.begun + FREELY || until <= self.last
    }

    /// Tells in words what decided over such a request.
    #[must_use]
    pub fn told(&self, arrived: Instant, until: Instant) -> String {
        format!(
            "stopping for {} ms, ends in {} ms, may need {} ms",
            arrived.saturating_duration_since(self.begun).as_millis(),
            self.last.saturating_duration_since(arrived).as_millis(),
            until.saturating_duration_since(arrived).as_millis()
        )
    }
}

#[cfg(test)]
mod tests;
