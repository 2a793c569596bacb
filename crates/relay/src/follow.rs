//! Follows what the operators and the runners write into the key-value service.

mod away;

use std::sync::Arc;
use std::time::Duration;

use adapter::kv::News;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::follow::away::Away;
use crate::metrics::Counter;
use crate::metrics::Span;
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

/// Yields the pause between two reads of the system's own keys.
fn own_pause(node: &Node) -> Duration {
    let vms = u32::try_from(node.peers().count()).unwrap_or(u32::MAX);
    PAUSE * (1 + vms / OWN_SPREAD)
}

/// Follows a subject for as long as it is polled.
pub async fn run(node: Arc<Node>, subject: Subject) {
    let mut away = Away::default();
    loop {
        let source = node.source(subject);
        if source == Source::Peers {
            sleep(PAUSE).await;
            continue;
        }
        let begun = Instant::now();
        let listed = node.kv.list(subject.prefix(), source.freshness()).await;
        node.metrics.count(Counter::StoreCalls);
        node.metrics
            .time(Span::StoreCall, Millis::from(begun.elapsed()));
        match listed {
            Ok(listing) => {
                away.answered(subject);
                note_current(&node, subject);
                let revision = listing.revision;
                take::listing(&node, subject, listing);
                match source {
                    Source::Copy => sleep(own_pause(&node)).await,
                    Source::Store | Source::Peers => {
                        watch(&node, subject, revision, &mut away).await;
                    }
                }
            }
            Err(fault) => {
                node.metrics.count(Counter::StoreFailures);
                away.failed(subject, &fault);
            }
        }
        sleep(away.pause(subject, &node)).await;
    }
}

/// Notes that what is known of a subject is current.
fn note_current(node: &Node, subject: Subject) {
    let now = node.clock.now();
    match subject {
        Subject::Config => node.set_config_at(now),
        // A list of the runners may be older than what others told.
        Subject::Runners | Subject::Own => {}
    }
}

/// Watches until the history has been dropped.
async fn watch(node: &Arc<Node>, subject: Subject, revision: u64, away: &mut Away) {
    let mut revision = revision;
    loop {
        let news = node
            .kv
            .changes(subject.prefix(), revision, subject.wait())
            .await;
        node.metrics.count(Counter::StoreCalls);
        match news {
            Ok(News::Changes {
                changes,
                revision: next,
            }) => {
                away.answered(subject);
                note_current(node, subject);
                revision = next.max(revision);
                for change in changes {
                    take::change(node, subject, change);
                }
                match subject {
                    Subject::Runners => {
                        node.set_runners_at(node.clock.now());
                        sleep(PAUSE).await;
                    }
                    Subject::Own => sleep(own_pause(node)).await,
                    Subject::Config => {}
                }
                if node.source(subject) != Source::Store {
                    return;
                }
            }
            Ok(News::Dropped) => return,
            Err(fault) => {
                node.metrics.count(Counter::StoreFailures);
                away.failed(subject, &fault);
                sleep(away.pause(subject, node)).await;
                // What is listed tells more than a watch that may have been cut for long.
                if away.since_failures() {
                    return;
                }
            }
        }
    }
}
