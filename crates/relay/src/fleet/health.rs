//! Which runners answer, and which are used less or tried again as they don't.

use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::runner::Runner;
use crate::fleet::runner::Target;

/// A runner that hasn't answered for this long is tried where others of its data centre don't
/// answer: some times the pause between two answers of a busy runner.
const QUIET_AFTER: Millis = Millis::new(300);
/// How long a runner gets nothing after a request to it broke or failed and no other was answered
/// since: for the first one, then doubled up to [`MAX_HOLD_OFF`]. A runner that goes down and up again
/// accepts connections while it is down, so that a connection tells nothing.
const FIRST_HOLD_OFF: Millis = Millis::new(250);
/// The longest: about the time that a runner takes to be back.
const MAX_HOLD_OFF: Millis = Millis::new(1_000);

/// Yields how long a runner gets nothing after a failure, the others before it counted that no
/// success came between.
pub(super) fn hold_off_span(before: u32) -> Millis {
    let doubled = FIRST_HOLD_OFF.as_u64() << before.min(8);
    Millis::new(doubled).min(MAX_HOLD_OFF)
}

impl Fleet {
    /// Notes that a connection to a runner broke or could not be made; yields where to try it again
    /// if that is news. It gets nothing until a new connection was made: beside a partition each
    /// request sent there would wait in vain.
    pub fn note_unreachable(&mut self, id: &str, now: Millis) -> Option<Target> {
        let runner = self.runner(id)?;
        runner.held_off_until = now.plus(hold_off_span(runner.broken_requests));
        runner.broken_requests += 1;
        if std::mem::replace(&mut runner.unreachable, true) {
            return None;
        }
        Some(runner.target())
    }

    /// Yields the runners to which no connection could be made, to try them again.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Target> {
        let unreachable = self.runners.iter().filter(|runner| runner.unreachable);
        unreachable.map(Runner::target).collect()
    }

    /// Yields the runners of a data centre that are thought reachable, but haven't answered for
    /// [`QUIET_AFTER`].
    #[must_use]
    pub fn quiet_runners(&self, centre: &str, now: Millis) -> Vec<Target> {
        let around = self.runners.iter().filter(|runner| {
            runner.entry.centre == centre
                && !runner.unreachable
                && now.since(runner.last_contact) >= QUIET_AFTER
        });
        around.map(Runner::target).collect()
    }
}
