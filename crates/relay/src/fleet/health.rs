//! Which runners answer, and which are used less or tried again as they don't.

use policy::eject;
use policy::eject::Detector;
use policy::eject::Sample;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::runner::Runner;
use crate::fleet::runner::Target;

/// A runner that hasn't answered for this long is tried where others of its data centre don't
/// answer: some times the pause between two answers of a busy runner.
const QUIET: Millis = Millis::new(300);
/// How long a runner gets nothing after a request to it broke and no other was answered since: for
/// the first one, then doubled up to [`HOLD_MOST`]. A runner that goes down and up again accepts
/// connections while it is down, so that a connection tells nothing.
const HOLD: Millis = Millis::new(250);
/// The longest: about the time that a runner takes to be back.
const HOLD_MOST: Millis = Millis::new(1_000);

impl Fleet {
    /// Ejects failing runners and takes them back, by service. To be called about once a second.
    pub fn judge(&mut self, now: Millis) -> Vec<(String, eject::Kind)> {
        let mut services: Vec<String> = Vec::new();
        for runner in &self.runners {
            if !services.contains(&runner.entry.service) {
                services.push(runner.entry.service.clone());
            }
        }
        let mut changes = Vec::new();
        for service in services {
            let mut pool: Vec<&mut Runner> = self
                .runners
                .iter_mut()
                .filter(|runner| runner.entry.service == service)
                .collect();
            let mut detectors: Vec<Detector> = pool.iter().map(|runner| runner.detector).collect();
            for change in eject::sweep(&mut detectors, now) {
                changes.push((pool[change.index].id.clone(), change.kind));
            }
            for (runner, detector) in pool.iter_mut().zip(detectors) {
                runner.detector = detector;
            }
        }
        changes
    }

    /// Notes that a connection to a runner broke or could not be made; yields where to try it again
    /// if that is news. It gets nothing until a new connection was made: beside a partition each
    /// request sent there would wait in vain.
    pub fn lose(&mut self, id: &str, now: Millis) -> Option<Target> {
        let runner = self.runner(id)?;
        let doubled = HOLD.as_u64() << runner.broken.min(8);
        runner.held_until = now.plus(Millis::new(doubled).min(HOLD_MOST));
        runner.broken += 1;
        runner.detector.note(Sample::Failed);
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
    /// [`QUIET`].
    #[must_use]
    pub fn unheard(&self, centre: &str, now: Millis) -> Vec<Target> {
        let around = self.runners.iter().filter(|runner| {
            runner.entry.centre == centre && !runner.unreachable && now.since(runner.heard) >= QUIET
        });
        around.map(Runner::target).collect()
    }
}
