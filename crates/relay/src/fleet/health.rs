//! Tracks which runners answer, and which are held off or probed because they don't.

use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::runner::Runner;
use crate::fleet::runner::Target;

/// A runner without an answer for this long is probed when another one in its data centre doesn't
/// answer. Several times the pause between two answers of a busy runner.
const QUIET_AFTER: Millis = Millis::new(300);
/// How long a runner is held off after a request to it broke, or avoided after it failed a request.
/// Doubles up to [`MAX_HOLD_OFF`] with each further request that breaks before one is answered, or
/// fails before one succeeds. An answer ends a hold-off. A successful connection doesn't, because a
/// flapping runner accepts connections while it is down.
const FIRST_HOLD_OFF: Millis = Millis::new(250);
/// The longest hold-off: about the time that a runner takes to come back.
const MAX_HOLD_OFF: Millis = Millis::new(1_000);

/// Returns how long a runner is held off or avoided after a failure. `earlier_failures` counts the
/// failures before it since the last answer or success.
pub(super) fn hold_off_span(earlier_failures: u32) -> Millis {
    let doubled = FIRST_HOLD_OFF.as_u64() << earlier_failures.min(8);
    Millis::new(doubled).min(MAX_HOLD_OFF)
}

impl Fleet {
    /// Records that a connection to a runner failed or broke. Returns where to probe the runner if
    /// it counted as reachable before. The runner gets no requests until a new connection is made:
    /// in a partition, each request sent there would wait in vain.
    pub fn note_unreachable(&mut self, id: &str, now: Millis) -> Option<Target> {
        let runner = self.runner(id)?;
        runner.held_off_until = now.plus(hold_off_span(runner.broken_requests));
        runner.broken_requests += 1;
        if std::mem::replace(&mut runner.unreachable, true) {
            return None;
        }
        Some(runner.target())
    }

    /// Returns the runners that are marked unreachable, to be probed again.
    #[must_use]
    pub fn unreachable(&self) -> Vec<Target> {
        let unreachable = self.runners.iter().filter(|runner| runner.unreachable);
        unreachable.map(Runner::target).collect()
    }

    /// Returns the runners of a data centre that count as reachable but haven't answered for
    /// `QUIET_AFTER`, to be probed now. Until these probes end, they get requests only if there are no
    /// others.
    pub fn probe_quiet(&mut self, centre: &str, now: Millis) -> Vec<Target> {
        let quiet = self.runners.iter_mut().filter(|runner| {
            runner.entry.centre == centre
                && !runner.unreachable
                && now.since(runner.last_contact) >= QUIET_AFTER
        });
        let probed = quiet.map(|runner| {
            runner.note_attempt(now);
            runner.target()
        });
        probed.collect()
    }
}
