//! What a process that stops refuses, so that its end cuts no request off that another VM could serve.

use std::future::Future;

use policy::stop;
use policy::stop::Stop;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
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
pub fn allow_send(node: &Node, ends: Instant) -> Result<(), Refusal> {
    match node.stop() {
        Some(stop) if node.clock.now() >= stop.last_call() => admit(node, ends),
        _ => Ok(()),
    }
}

/// Tells whether a request that a runner may have run may still be passed on to another one, which it may
/// under the same condition as [`allow_send`] has.
///
/// # Errors
///
/// Fails where it may not. Not with [`Code::ShuttingDown`]: its status promises that nothing has run.
pub fn allow_retry(node: &Node, ends: Instant) -> Result<(), Refusal> {
    allow_send(node, ends)
        .map_err(|refusal| Refusal::new(Code::EndpointFailed, &refusal.message).ran(Ran::Unknown))
}

/// Waits for `work` that a request needs before a runner has it, at most until the last call where the
/// process stops and the request may outlast it, and until the last moment where it shouldn't. Cut off
/// by the process's end, its caller couldn't know that it has not run.
///
/// # Errors
///
/// Refuses when that is over.
pub async fn with_send_deadline<T>(
    node: &Node,
    ends: Instant,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        done = work => Ok(done),
        refusal = wait_for_send_deadline(node, ends) => Err(refusal),
    }
}

/// Waits for `work` that a runner may have, at most until the process's last answers have to go out. Cut
/// off by the process's end, its caller would see a closed connection and have no code to go by.
///
/// # Errors
///
/// Fails at that moment. Not with [`Code::ShuttingDown`]: its status promises that nothing has run.
pub async fn with_answer_deadline<T>(
    node: &Node,
    work: impl Future<Output = T>,
) -> Result<T, Refusal> {
    tokio::select! {
        biased;
        done = work => Ok(done),
        refusal = wait_for_answer_deadline(node) => Err(refusal),
    }
}

/// Waits until the process's last answers have to go out; yields that of a request which may have run.
async fn wait_for_answer_deadline(node: &Node) -> Refusal {
    let stop = node.stopping().await;
    let left = stop.last().since(node.clock.now());
    sleep(left.as_duration()).await;
    Refusal::new(Code::OutcomeUnknown, "the VM is shutting down").ran(Ran::Unknown)
}

/// Waits for the last call, or for the last moment where the request should be over before that.
async fn wait_for_send_deadline(node: &Node, ends: Instant) -> Refusal {
    let stop = node.stopping().await;
    let at = if outlasts(node, stop, ends) {
        stop.last_call()
    } else {
        stop.last()
    };
    let left = at.since(node.clock.now());
    sleep(left.as_duration()).await;
    refusal(node, stop, ends)
}

fn outlasts(node: &Node, stop: Stop, ends: Instant) -> bool {
    !stop.takes(Some(node.clock.now().plus(time_needed(ends))))
}

fn time_needed(ends: Instant) -> Millis {
    Millis::from(ends.saturating_duration_since(Instant::now()))
}

fn refusal(node: &Node, stop: Stop, ends: Instant) -> Refusal {
    let now = node.clock.now();
    let detail = format!(
        "stopping for {}, ends in {}, may need {}",
        now.since(stop.begun()),
        stop.left(now),
        time_needed(ends)
    );
    Refusal::new(Code::ShuttingDown, &detail).retry_after(stop::RETRY)
}

#[cfg(test)]
mod tests;
