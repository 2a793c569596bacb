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

use crate::node::Node;

/// A runner to be tried.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its id.
    pub id: String,
    /// Where it answers.
    pub address: SocketAddr,
    /// Its data centre.
    pub centre: String,
}

/// Notes that a connection to a runner broke or could not be made, and tries it again. Others that
/// are kept to it may hang in the same way, so they are dropped.
pub fn note_broken(node: &Arc<Node>, id: &str, address: SocketAddr) {
    node.runners.forget(address);
    let now = node.clock.now();
    let Some(target) = node.fleet().lose(id, now) else {
        return;
    };
    log::info!(
        "event=E{} text=\"{}\" runner={id} centre={}",
        Event::EndpointUnreachable.number(),
        Event::EndpointUnreachable.text(),
        target.centre
    );
    tokio::spawn(first(node.clone(), target));
}

/// Tries the runners that are known to be unreachable once more.
pub fn retry(node: &Arc<Node>) {
    let targets = node.fleet().unreachable();
    for target in targets {
        let node = node.clone();
        tokio::spawn(async move { connect(&node, &target).await });
    }
}

/// Tries a runner whose connection broke; where nothing answers there, those around it as well.
async fn first(node: Arc<Node>, target: Target) {
    if connect(&node, &target).await != Outcome::Silent {
        return;
    }
    let now = node.clock.now();
    let around = node.fleet().unheard(&target.centre, now);
    log::info!(
        "event=E{} text=\"{}\" runner={} centre={} tried={}",
        Event::EndpointUnreachable.number(),
        Event::EndpointUnreachable.text(),
        target.id,
        target.centre,
        around.len()
    );
    for target in around {
        let node = node.clone();
        tokio::spawn(async move {
            if connect(&node, &target).await == Outcome::Silent {
                node.runners.forget(target.address);
                let now = node.clock.now();
                node.fleet().lose(&target.id, now);
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

async fn connect(node: &Node, target: &Target) -> Outcome {
    match node.runners.probe(target.address).await {
        Ok(()) => {
            let now = node.clock.now();
            let news = {
                let mut fleet = node.fleet();
                let runner = fleet.runner(&target.id);
                runner.is_some_and(|runner| runner.note_reachable(now))
            };
            if news {
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
