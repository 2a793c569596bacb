//! What a process that stops refuses, so that its end cuts no request off that another VM could serve.

use std::future::Future;

use policy::stop;
use policy::stop::Stop;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::node::Node;

/// Refuses a request that may be under way until after the process's end: it would be cut off, and
/// another VM can serve it. `ends` is when the request is over at the latest.
///
/// # Errors
///
/// Refuses where the process stops and ends before the request.
pub fn admit(node: &Node, ends: Instant) -> Result<(), Refusal> {
    match node.stop() {
        Some(stop) if outlasts(node, stop, ends) => Err(refusal(node, stop, ends)),
        _ => Ok(()),
    }
}

/// Tells whether a request that no runner has may still be passed on. One that came before the stop
/// and may outlast the process isn't from the last call on.
///
/// # Errors
///
/// Refuses where it may not.
pub fn pass_on(node: &Node, ends: Instant) -> Result<(), Refusal> {
    match node.stop() {
        Some(stop) if node.clock.now() >= stop.last_call() => admit(node, ends),
        _ => Ok(()),
    }
}

/// Waits for `work` that a request needs before a runner has it, at most until the last call where the
/// process stops and the request may outlast it. Cut off by the process's end, its caller couldn't
/// know that it has not run.
///
/// # Errors
///
/// Refuses at the last call.
pub async fn before<T>(
    node: &Node,
    ends: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        done = work => Ok(done),
        refusal = last_call(node, ends) => Err(refusal),
    }
}

/// Waits for the last call, and for ever where the request is over before the process is.
async fn last_call(node: &Node, ends: Instant) -> Refusal {
    let stop = node.stopping().await;
    if !outlasts(node, stop, ends) {
        return std::future::pending().await;
    }
    let left = stop.last_call().since(node.clock.now());
    sleep(left.as_duration()).await;
    refusal(node, stop, ends)
}

fn outlasts(node: &Node, stop: Stop, ends: Instant) -> bool {
    !stop.takes(Some(node.clock.now().plus(needed(ends))))
}

fn needed(ends: Instant) -> Millis {
    Millis::from(ends.saturating_duration_since(Instant::now()))
}

fn refusal(node: &Node, stop: Stop, ends: Instant) -> Refusal {
    let now = node.clock.now();
    let detail = format!(
        "stopping for {}, ends in {}, may need {}",
        now.since(stop.begun()),
        stop.left(now),
        needed(ends)
    );
    Refusal::new(Code::ShuttingDown, &detail).retry_after(stop::RETRY)
}

#[cfg(test)]
mod tests;
