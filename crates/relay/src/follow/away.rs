//! Whether the key-value service answers: for the log, and for the pause before the next call.

use std::time::Duration;

use platform::edge;
use wire::event::Event;

use crate::node::Node;
use crate::subject::Subject;

/// The longest pause after failed calls for the system's own keys, and for VMs that read the runners
/// only as the one that does it for them doesn't; so many at once would keep the service busy with
/// refusals.
const AGAIN_MOST: Duration = Duration::from_millis(1_200);
/// The longest pause after failed calls for the configuration: under a third of the time in which
/// one has to be in force, and long enough that VMs which the service turns away don't keep it busy.
const AGAIN_CONFIG: Duration = Duration::from_millis(600);
/// The pause after a failed call, below a tenth of the time in which a configuration has to be in
/// force.
const AGAIN: Duration = Duration::from_millis(150);

/// The calls that have failed since one was answered.
#[derive(Debug, Default)]
pub(super) struct Away {
    failures: u32,
}

impl Away {
    pub(super) fn answered(&mut self, subject: Subject) {
        if self.failures > 0 {
            log::info!(
                "event=E{} text=\"{}\" subject={subject:?} failures={}",
                Event::OutageEnded.number(),
                Event::OutageEnded.text(),
                self.failures
            );
        }
        self.failures = 0;
    }

    pub(super) fn failed(&mut self, subject: Subject, fault: &edge::Fault) {
        if self.failures == 0 {
            log::warn!(
                "event=E{} text=\"{}\" subject={subject:?} fault=\"{fault}\"",
                Event::OutageBegan.number(),
                Event::OutageBegan.text()
            );
        }
        self.failures += 1;
    }

    /// Yields how long to wait before the next call.
    pub(super) fn pause(&self, subject: Subject, node: &Node) -> Duration {
        let now = node.clock.now();
        let reads = node.peers().is_reader(&node.settings.vm, now);
        let most = match subject {
            Subject::Config => AGAIN_CONFIG,
            Subject::Runners if reads => AGAIN,
            Subject::Runners | Subject::Own => AGAIN_MOST,
        };
        let doublings = self.failures.saturating_sub(1).min(4);
        (AGAIN * 2_u32.pow(doublings)).min(most)
    }

    pub(super) const fn since_failures(&self) -> bool {
        self.failures > 2
    }
}
