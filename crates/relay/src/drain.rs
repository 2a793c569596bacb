//! Stops a process that takes callers' requests: waits until the balancer has noticed and requests
//! in progress have ended, and logs the requests that the end of the process cuts off.

use std::sync::Arc;
use std::time::Duration;

use link::listen::Connections;
use policy::stop::Activity;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::event::Event;

use crate::node::Node;
use crate::work;

/// How often the progress of the stop is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long the listener may take to close.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(60);
/// The most requests that are logged as cut off by the end of the process.
const MAX_LOGGED_CUT_OFF_REQUESTS: usize = 100;

/// Runs the stop and returns when the process may end. `listener` is the task of the callers'
/// listener.
pub async fn run(node: &Arc<Node>, connections: &Arc<Connections>, listener: JoinHandle<()>) {
    let stop = node.begin_stop();
    log::info!(
        "event=E{} text=\"{}\" under_way={} connections={}",
        Event::NodeStopping.number(),
        Event::NodeStopping.text(),
        node.work.count(),
        connections.open()
    );
    connections.stopping.cancel();
    wait_until(|| stop.is_over(node.clock.now(), Activity::Idle)).await;
    connections.draining.cancel();
    // Open connections alone don't count: with callers that connect and send nothing, or are
    // refused, the listener would stay open to the last moment and keep the next process from
    // serving.
    wait_until(|| stop.closes_listener(node.clock.now(), requests(node))).await;
    // A request that is accepted after the last check would be cut off, so no connection is
    // accepted any more by then.
    connections.closed.cancel();
    if timeout(LISTENER_CLOSE_TIMEOUT, listener).await.is_err() {
        log::warn!("text=\"the listener for callers did not close in time\"");
    }
    let exit_at = stop.exit_after(node.clock.now());
    let is_over = |now| match activity(node, connections) {
        Activity::Idle => stop.is_over(now, Activity::Idle),
        Activity::Busy => now >= exit_at,
    };
    wait_until(|| is_over(node.clock.now())).await;
    log_cut(&node.work.entries());
    log::info!(
        "event=E{} text=\"{}\" under_way={} connections={} ms={}",
        Event::NodeStopped.number(),
        Event::NodeStopped.text(),
        node.work.count(),
        connections.open(),
        node.clock.now().since(stop.begun()).as_u64()
    );
}

async fn wait_until(condition: impl Fn() -> bool) {
    while !condition() {
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns whether work for requests is in progress.
fn requests(node: &Node) -> Activity {
    match node.work.count() {
        0 => Activity::Idle,
        _ => Activity::Busy,
    }
}

/// Returns whether work for requests is in progress or callers are connected.
fn activity(node: &Node, connections: &Connections) -> Activity {
    match connections.open() {
        0 => requests(node),
        _ => Activity::Busy,
    }
}

/// Logs the work that the end of the process cuts off.
fn log_cut(entries: &[work::Entry]) {
    for entry in entries.iter().take(MAX_LOGGED_CUT_OFF_REQUESTS) {
        log::warn!(
            "event=E{} text=\"{}\" request={} what={:?} ms={}",
            Event::RequestCut.number(),
            Event::RequestCut.text(),
            entry.request,
            entry.kind,
            entry.since.elapsed().as_millis()
        );
    }
}

#[cfg(test)]
mod tests;
