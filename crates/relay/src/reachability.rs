//! Probes whether runners can be reached, independently of requests.
//!
//! In a partition, each request to an unreachable runner loses the time of a connection attempt,
//! and the outcome of a request on a kept connection stays unknown. So a runner to which a
//! connection broke is retried by probes instead of requests. If it doesn't answer at all, the
//! other runners of its data centre are probed at once, because they often share the cause.
//!
//! A runner to which a connection takes long, or that another VM found silent, is checked beside the
//! requests, which go elsewhere meanwhile; see [`policy::reachability`].

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use link::client::Connecting;
use link::client::Fault;
use link::client::Result;
use wire::clock::Millis;
use wire::event::Event;

use crate::crashes;
use crate::fleet::runner::Target;
use crate::fleet::silence::Why;
use crate::metrics::Counter;
use crate::node::Node;

/// Records that a connection to a runner failed or broke, and probes the runner. Closes the other
/// kept connections to it, because they may hang in the same way.
pub fn note_broken(node: &Arc<Node>, id: &str, address: SocketAddr) {
    if let Some(target) = mark_unreachable(node, id, address) {
        tokio::spawn(probe_and_neighbours(node.clone(), target));
    }
}

/// Takes over an attempt to connect to a runner that has been slow since `since`. Its request goes
/// elsewhere.
pub fn note_slow(node: &Arc<Node>, id: &str, since: Millis, connecting: Connecting) {
    node.metrics.count(Counter::ConnectsSlow);
    let now = node.clock.now();
    let Some(target) = node.fleet().note_slow(id, since, now) else {
        return;
    };
    log_suspected(&target, Why::Slow);
    let node = node.clone();
    tokio::spawn(async move {
        let result = connecting.finish().await;
        end_check(&node, &target, since, result);
    });
}

/// Checks a runner that other VMs found silent, or that this one has never reached, and that would have got a
/// request, unless a check is under way.
pub fn check_untrusted(node: &Arc<Node>, id: &str) {
    let since = node.clock.now();
    let Some(target) = node.fleet().begin_check(id, since) else {
        return;
    };
    node.metrics.count(Counter::RunnersChecked);
    let has_been_reached = node.fleet().has_reached(id);
    let why = if has_been_reached {
        Why::Told
    } else {
        Why::Unreached
    };
    log_suspected(&target, why);
    let node = node.clone();
    tokio::spawn(async move {
        let result = node.runner_client.probe(target.address).await;
        end_check(&node, &target, since, result);
    });
}

fn log_suspected(target: &Target, why: Why) {
    log::info!(
        "event=E{} text=\"{}\" runner={} centre={} why={}",
        Event::EndpointSuspected.number(),
        Event::EndpointSuspected.text(),
        target.id,
        target.centre,
        why.name()
    );
}

/// Ends the suspicion of a runner with the outcome of an attempt to connect that began at `since`.
fn end_check(node: &Arc<Node>, target: &Target, since: Millis, result: Result<Duration>) {
    match settle(node, target, since, result) {
        Outcome::Connected => log::info!(
            "event=E{} text=\"{}\" runner={} centre={} ms={}",
            Event::EndpointCleared.number(),
            Event::EndpointCleared.text(),
            target.id,
            target.centre,
            node.clock.now().since(since).as_u64()
        ),
        outcome @ (Outcome::Refused | Outcome::Silent) => {
            if mark_unreachable(node, &target.id, target.address).is_some() {
                probe_neighbours(node, target, outcome);
            }
        }
    }
}

/// Marks a runner as unreachable. If it was reachable before, logs that and returns the address to
/// probe.
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

/// Probes all runners that are marked unreachable.
pub fn retry(node: &Arc<Node>) {
    let targets = node.fleet().unreachable();
    for target in targets {
        let node = node.clone();
        tokio::spawn(async move { probe(&node, &target).await });
    }
}

/// Probes a runner that broke an answer off. Unless that fails, it goes on getting requests.
pub fn check(node: &Arc<Node>, id: &str) {
    let target = node.fleet().runner(id).map(|runner| runner.target());
    let Some(target) = target else {
        return;
    };
    let node = node.clone();
    tokio::spawn(async move { probe(&node, &target).await });
}

/// Probes a runner whose connection broke, and its neighbours if nothing answers.
async fn probe_and_neighbours(node: Arc<Node>, target: Target) {
    let outcome = probe(&node, &target).await;
    probe_neighbours(&node, &target, outcome);
}

/// Probes the quiet runners of the data centre of one that didn't answer an attempt to connect.
fn probe_neighbours(node: &Arc<Node>, target: &Target, outcome: Outcome) {
    match outcome {
        Outcome::Connected => return,
        Outcome::Refused => {
            log::info!(
                "event=E{} text=\"{}\" runner={} centre={}",
                Event::EndpointRefuses.number(),
                Event::EndpointRefuses.text(),
                target.id,
                target.centre
            );
            return;
        }
        Outcome::Silent => {}
    }
    let now = node.clock.now();
    let neighbours = node.fleet().probe_quiet(&target.centre, now);
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
    /// The connection was refused or broke, so something answered.
    Refused,
    /// Nothing answered.
    Silent,
}

async fn probe(node: &Arc<Node>, target: &Target) -> Outcome {
    let since = node.clock.now();
    let result = node.runner_client.probe(target.address).await;
    settle(node, target, since, result)
}

/// Records the outcome of an attempt to connect to a runner that began at `since`.
fn settle(node: &Arc<Node>, target: &Target, since: Millis, result: Result<Duration>) -> Outcome {
    match result {
        Ok(took) => {
            crashes::note_connected(node, &target.id);
            let now = node.clock.now();
            let was_unreachable = {
                let mut fleet = node.fleet();
                fleet.note_connected(&target.id, took);
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
                Fault::Silent(_) => {
                    let now = node.clock.now();
                    node.fleet().note_silent(&target.id, since, now);
                    Outcome::Silent
                }
                Fault::NotSent(_)
                | Fault::OtherProcess(_)
                | Fault::Unidentified(_)
                | Fault::Broken(_)
                | Fault::Foreign(_)
                | Fault::Late(_) => {
                    crashes::note_refused(node, &target.id);
                    Outcome::Refused
                }
            }
        }
    }
}
