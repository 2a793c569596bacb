//! Decides which call of the key-value service comes next for a subject, and after which pause.

use std::sync::Arc;
use std::time::Duration;

use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::Update;
use platform::edge;
use wire::clock::Millis;

use crate::document;
use crate::follow::outage::Outage;
use crate::ingest;
use crate::node::Node;
use crate::peers::Access;
use crate::subject::Source;
use crate::subject::Subject;

/// The pause between two watches of the runners. Their entries change at each heartbeat, so a watch
/// returns at once. The pause batches changes, and is short enough to delay the news of a leaving
/// runner by at most a fifth of the two seconds within which it has to stop getting new calls.
const WATCH_PAUSE: Duration = Duration::from_millis(400);
/// The pause of a process that has just started and waits for the directory or for other VMs, or that waits
/// for others to send it the configuration.
const START_PAUSE: Duration = Duration::from_millis(20);
/// Number of VMs by which the pause between two watches of the system's own keys grows by another
/// [`WATCH_PAUSE`]. Each VM that starts writes a key, for which the watches of all other VMs
/// return, so a restart of all VMs costs calls by the square of their number. These keys aren't
/// urgent, because VMs with a disk announce a new list of members themselves.
const VMS_PER_OWN_PAUSE: u32 = 8;

/// Follows one subject as a state machine, without making the calls.
#[derive(Debug)]
pub struct Follower {
    subject: Subject,
    outage: Outage,
    phase: Phase,
    /// When the last call was sent.
    asked_at: Millis,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// It isn't decided yet where to learn of the subject.
    Decide,
    /// All entries are being requested.
    List(Source),
    /// Changes after a revision are to be requested.
    Watch(u64),
    /// Changes up to a revision have been applied.
    Watched(u64),
}

/// The next action of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait.
    Pause(Duration),
    /// Request all entries.
    List(Freshness),
    /// Request the changes after a revision.
    Watch(u64),
}

impl Follower {
    /// Creates a follower that knows nothing yet.
    #[must_use]
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            outage: Outage::default(),
            phase: Phase::Decide,
            asked_at: Millis::ZERO,
        }
    }

    /// Returns the followed subject.
    #[must_use]
    pub const fn subject(&self) -> Subject {
        self.subject
    }

    /// Returns the next action.
    pub fn step(&mut self, node: &Node) -> Step {
        self.asked_at = node.clock.now();
        match self.phase {
            Phase::Decide => self.decide(node),
            Phase::List(source) => Step::List(source.freshness()),
            Phase::Watch(revision) => Step::Watch(revision),
            Phase::Watched(revision) if node.source(self.subject) == Source::Store => {
                self.phase = Phase::Watch(revision);
                Step::Watch(revision)
            }
            Phase::Watched(_) => {
                self.phase = Phase::Decide;
                Step::Pause(self.outage.pause(self.subject, node))
            }
        }
    }

    fn decide(&mut self, node: &Node) -> Step {
        let source = node.source(self.subject);
        if source == Source::Peers {
            let is_behind = self.subject == Subject::Proof && document::is_behind(node);
            let pause = if node.is_starting() || is_behind {
                START_PAUSE
            } else {
                WATCH_PAUSE
            };
            return Step::Pause(pause);
        }
        self.phase = Phase::List(source);
        Step::List(source.freshness())
    }

    /// Applies the answer to [`Step::List`]. Returns how long to wait before the next step.
    pub fn listed(&mut self, node: &Arc<Node>, listed: edge::Result<Listing>) -> Duration {
        let Phase::List(source) = self.phase else {
            return Duration::ZERO;
        };
        self.phase = Phase::Decide;
        match listed {
            Ok(listing) => {
                self.answered(node);
                let revision = listing.revision;
                ingest::listing(node, self.subject, listing);
                self.note_config_current(node);
                if self.subject == Subject::Own {
                    node.note_directory_listed(source.freshness());
                }
                match source {
                    Source::Copy => own_pause(node) + self.outage.pause(self.subject, node),
                    Source::Store | Source::Peers => {
                        self.phase = Phase::Watch(revision);
                        Duration::ZERO
                    }
                }
            }
            Err(fault) => self.failed(node, &fault),
        }
    }

    /// Applies the answer to [`Step::Watch`]. Returns how long to wait before the next step.
    pub fn watched(&mut self, node: &Arc<Node>, update: edge::Result<Update>) -> Duration {
        let Phase::Watch(revision) = self.phase else {
            return Duration::ZERO;
        };
        match update {
            Ok(Update::Changes {
                changes,
                revision: next,
            }) => {
                self.answered(node);
                self.phase = Phase::Watched(next.max(revision));
                ingest::changes(node, self.subject, changes);
                self.note_config_current(node);
                self.watch_pause(node)
            }
            Ok(Update::HistoryDropped) => {
                self.phase = Phase::Decide;
                self.outage.pause(self.subject, node)
            }
            Err(fault) => {
                // The next call mustn't wait for a change: sent into an outage, it would be noticed
                // as lost only when that wait is over.
                self.phase = Phase::Decide;
                self.failed(node, &fault)
            }
        }
    }

    /// Returns the pause after a watch that was answered.
    fn watch_pause(&self, node: &Node) -> Duration {
        match self.subject {
            Subject::Runners => {
                node.note_runners_current(node.clock.now());
                WATCH_PAUSE
            }
            Subject::Own => own_pause(node),
            Subject::Config => Duration::ZERO,
            Subject::Proof => node.proof_interval().as_duration(),
        }
    }

    /// Records that the service answered.
    fn answered(&mut self, node: &Node) {
        node.note_access(Access::Answered);
        self.outage.answered(self.subject);
    }

    /// Records, if the configuration was read, that it is current: as of the time at which the call
    /// was sent, because a change that was acknowledged later may not be in the answer.
    fn note_config_current(&self, node: &Node) {
        if matches!(self.subject, Subject::Config | Subject::Proof) {
            node.note_config_current(node.table().version, self.asked_at);
        }
    }

    fn failed(&mut self, node: &Node, fault: &edge::Fault) -> Duration {
        node.note_access(Access::Failing);
        self.outage.failed(self.subject, fault);
        self.outage.pause(self.subject, node)
    }
}

/// Returns the pause between two reads of the system's own keys.
fn own_pause(node: &Node) -> Duration {
    let vms = u32::try_from(node.peers().listed()).unwrap_or(u32::MAX);
    WATCH_PAUSE * (1 + vms / VMS_PER_OWN_PAUSE)
}

#[cfg(test)]
mod tests;
