//! Whether runners can be reached, tried beside the traffic.
//!
//! In a partition each request that meets an unreachable runner loses the time of a connection, and
//! one on a kept connection its outcome. So a runner to which a connection broke is tried again
//! here, not by requests; and where it doesn't answer at all, the other runners of its data centre
//! are tried at once, as the cause is often common to them.

use std::net::SocketAddr;
use std::sync::Arc;

use link::client::Fault;
use wire::event::Event;

use crate::fleet::runner::Target;
use crate::node::Node;

/// Notes that a connection to a runner broke or could not be made, and tries it again. Others that
/// are kept to it may hang in the same way, so they are dropped.
pub fn note_broken(node: &Arc<Node>, id: &str, address: SocketAddr) {
    if let Some(target) = mark_unreachable(node, id, address) {
        tokio::spawn(probe_and_neighbours(node.clone(), target));
    }
}

/// Marks a runner as one that can't be reached; yields where to try it again if that is news, which
/// is logged.
fn mark_unreachable(node: &Node, id: &str, address: SocketAddr) -> Option<Target> {
    node.runner_client.forget(address);
    let now = node.clock.now();
    let target = node.fleet().note_unreachable(id, now)?;
    log::info!(
        "event=E{} text=\"{}\" runner={id} centre={}",
        Event::EndpointUnreachable.number(),
        Event::EndpointUnreachable.text(),
        target.centre
    );
    Some(target)
}

/// Tries the runners that are known to be unreachable once more.
pub fn retry(node: &Arc<Node>) {
    let targets = node.fleet().unreachable();
    for target in targets {
        let node = node.clone();
        tokio::spawn(async move { probe(&node, &target).await });
    }
}

/// Tries a runner whose connection broke; where nothing answers there, those around it as well.
async fn probe_and_neighbours(node: Arc<Node>, target: Target) {
    if probe(&node, &target).await != Outcome::Silent {
        return;
    }
    let now = node.clock.now();
    let neighbours = node.fleet().quiet_runners(&target.centre, now);
    log::info!(
        "event=E{} text=\"{}\" runner={} centre={} tried={}",
        Event::EndpointSilent.number(),
        Event::EndpointSilent.text(),
        target.id,
        target.centre,
        neighbours.len()
    );
    for target in neighbours {
        let node = node.clone();
        tokio::spawn(async move {
            if probe(&node, &target).await == Outcome::Silent {
                mark_unreachable(&node, &target.id, target.address);
            }
        });
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Connected,
    /// Something answered that there is nobody.
    Refused,
    /// Nothing answered.
    Silent,
}

async fn probe(node: &Node, target: &Target) -> Outcome {
    match node.runner_client.probe(target.address).await {
        Ok(()) => {
            let now = node.clock.now();
            let was_unreachable = {
                let mut fleet = node.fleet();
                let runner = fleet.runner(&target.id);
                runner.is_some_and(|runner| runner.note_reachable(now))
            };
            if was_unreachable {
                log::info!(
                    "event=E{} text=\"{}\" runner={} centre={}",
                    Event::EndpointReachable.number(),
                    Event::EndpointReachable.text(),
                    target.id,
                    target.centre
                );
            }
            Outcome::Connected
        }
        Err(fault) => {
            log::debug!("runner {}: {fault}", target.id);
            match fault {
                Fault::Silent(_) => Outcome::Silent,
                Fault::NotSent(_) | Fault::Broken(_) => Outcome::Refused,
            }
        }
    }
}
