//! Tracks whether the key-value service answers, for the log and for the pause before the next
//! call.

use std::time::Duration;

use platform::edge;
use wire::event::Event;

use crate::node::Node;
use crate::subject::Subject;

/// The longest pause after failed calls for the system's own keys, and for VMs that read the
/// runners only because the reader doesn't. Many VMs call at once in these cases, and shorter
/// pauses would keep the service busy with refusals.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);
/// The longest pause after failed calls for the configuration. Under a third of the time in which a
/// configuration has to be in force, and long enough that VMs refused by the service don't keep it
/// busy.
const MAX_CONFIG_RETRY_PAUSE: Duration = Duration::from_millis(600);
/// The pause after the first failed call. Below a tenth of the time in which a configuration has to
/// be in force.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Number of failed calls since the last answer.
#[derive(Debug, Default)]
pub(super) struct Outage {
    failures: u32,
}

impl Outage {
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

    /// Returns how long to wait before the next call.
    pub(super) fn pause(&self, subject: Subject, node: &Node) -> Duration {
        let now = node.clock.now();
        let is_first = node.peers().is_first_of_all(&node.settings.vm, now);
        let max_pause = match subject {
            Subject::Runners | Subject::Proof if is_first => FIRST_RETRY_PAUSE,
            Subject::Config | Subject::Proof => MAX_CONFIG_RETRY_PAUSE,
            Subject::Runners | Subject::Own => MAX_RETRY_PAUSE,
        };
        let doublings = self.failures.saturating_sub(1).min(4);
        (FIRST_RETRY_PAUSE * 2_u32.pow(doublings)).min(max_pause)
    }
}
