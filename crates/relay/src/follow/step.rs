//! Which call of the key-value service comes next for a subject, and after which pause.

use std::sync::Arc;
use std::time::Duration;

use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::Update;
use platform::edge;

use crate::follow::away::Away;
use crate::metrics::Counter;
use crate::node::Node;
use crate::subject::Source;
use crate::subject::Subject;
use crate::take;

/// The pause between two watches of the runners. Their entries change at each heartbeat, so that a
/// watch returns at once; the pause gathers changes, and keeps a leaving runner from being used
/// for longer than a fifth of the time that is allowed.
const PAUSE: Duration = Duration::from_millis(400);
/// By how many VMs the pause between two watches of the system's own keys grows by [`PAUSE`]. Each
/// VM that starts writes a key, which every other VM's watch returns for, so that a restart of all
/// costs calls by the square of their number. What these keys tell isn't urgent, as members with a
/// disk tell a new list themselves.
const OWN_SPREAD: u32 = 8;

/// How far the knowledge of a subject is.
#[derive(Debug)]
pub struct Follower {
    subject: Subject,
    away: Away,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    /// Where to learn is to be decided.
    Decide,
    /// All entries are asked for.
    List(Source),
    /// Changes after a revision are to be asked for.
    Watch(u64),
    /// Changes up to a revision have been taken in.
    Watched(u64),
    /// A watch broke off.
    Broken,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait.
    Pause(Duration),
    /// Ask for all entries.
    List(Freshness),
    /// Ask for the changes after a revision.
    Watch(u64),
}

impl Follower {
    /// Makes one that knows nothing yet.
    #[must_use]
    pub fn new(subject: Subject) -> Self {
        Self {
            subject,
            away: Away::default(),
            phase: Phase::Decide,
        }
    }

    /// Yields what is followed.
    #[must_use]
    pub const fn subject(&self) -> Subject {
        self.subject
    }

    /// Yields what is to be done next.
    pub fn step(&mut self, node: &Node) -> Step {
        match self.phase {
            Phase::Decide => self.decide(node),
            Phase::List(source) => Step::List(source.freshness()),
            Phase::Watch(revision) => Step::Watch(revision),
            Phase::Watched(revision) if node.source(self.subject) == Source::Store => {
                self.phase = Phase::Watch(revision);
                Step::Watch(revision)
            }
            Phase::Watched(_) | Phase::Broken => {
                self.phase = Phase::Decide;
                Step::Pause(self.away.pause(self.subject, node))
            }
        }
    }

    fn decide(&mut self, node: &Node) -> Step {
        let source = node.source(self.subject);
        if source == Source::Peers {
            return Step::Pause(PAUSE);
        }
        self.phase = Phase::List(source);
        Step::List(source.freshness())
    }

    /// Takes the answer to [`Step::List`] in; yields how long to wait before the next step.
    pub fn listed(&mut self, node: &Arc<Node>, listed: edge::Result<Listing>) -> Duration {
        let Phase::List(source) = self.phase else {
            return Duration::ZERO;
        };
        self.phase = Phase::Decide;
        match listed {
            Ok(listing) => {
                self.answered(node);
                let revision = listing.revision;
                take::listing(node, self.subject, listing);
                match source {
                    Source::Copy => own_pause(node) + self.away.pause(self.subject, node),
                    Source::Store | Source::Peers => {
                        self.phase = Phase::Watch(revision);
                        Duration::ZERO
                    }
                }
            }
            Err(fault) => self.failed(node, &fault),
        }
    }

    /// Takes the answer to [`Step::Watch`] in; yields how long to wait before the next step.
    pub fn watched(&mut self, node: &Arc<Node>, news: edge::Result<Update>) -> Duration {
        let Phase::Watch(revision) = self.phase else {
            return Duration::ZERO;
        };
        match news {
            Ok(Update::Changes {
                changes,
                revision: next,
            }) => {
                self.answered(node);
                self.phase = Phase::Watched(next.max(revision));
                for change in changes {
                    take::change(node, self.subject, change);
                }
                self.pause_between(node)
            }
            Ok(Update::HistoryDropped) => {
                self.phase = Phase::Broken;
                Duration::ZERO
            }
            Err(fault) => {
                let pause = self.failed(node, &fault);
                // What is listed tells more than a watch that may have been cut for long.
                if self.away.since_failures() {
                    self.phase = Phase::Broken;
                }
                pause
            }
        }
    }

    /// Yields the pause between two watches, of which the first has been answered.
    fn pause_between(&self, node: &Node) -> Duration {
        match self.subject {
            Subject::Runners => {
                node.set_runners_at(node.clock.now());
                PAUSE
            }
            Subject::Own => own_pause(node),
            Subject::Config => Duration::ZERO,
        }
    }

    /// Notes that the service has answered, and that what is known is current.
    fn answered(&mut self, node: &Node) {
        self.away.answered(self.subject);
        match self.subject {
            Subject::Config => node.set_config_at(node.clock.now()),
            // A list of the runners may be older than what others told.
            Subject::Runners | Subject::Own => {}
        }
    }

    fn failed(&mut self, node: &Node, fault: &edge::Fault) -> Duration {
        node.metrics.count(Counter::StoreFailures);
        self.away.failed(self.subject, fault);
        self.away.pause(self.subject, node)
    }
}

/// Yields the pause between two reads of the system's own keys.
fn own_pause(node: &Node) -> Duration {
    let vms = u32::try_from(node.peers().count()).unwrap_or(u32::MAX);
    PAUSE * (1 + vms / OWN_SPREAD)
}
