//! Decides which requests a stopping process refuses, so that its end doesn't cut off requests that
//! another VM could serve.
//!
//! Two moments of a stop matter here. From the send deadline on, no runner gets a request that may
//! outlast the process. At the answer deadline, the last answers have to go out.

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

/// Refuses a new request that may outlast the process: it would be cut off, and another VM can
/// serve it. `ends` is when the request is over at the latest.
///
/// # Errors
///
/// Fails if the process is stopping and ends before the request.
pub fn admit(node: &Node, ends: Instant) -> Result<(), Refusal> {
    match node.stop() {
        Some(stop) if outlasts(node, stop, ends) => Err(refusal(node, stop, ends)),
        _ => Ok(()),
    }
}

/// Checks whether a request that no runner has may still be sent to a runner. From the send
/// deadline on, a request that was accepted before the stop isn't sent any more if it may outlast
/// the process.
///
/// # Errors
///
/// Fails if the request may not be sent.
pub fn allow_send(node: &Node, ends: Instant) -> Result<(), Refusal> {
    match node.stop() {
        Some(stop) if node.clock.now() >= stop.unassigned_deadline() => admit(node, ends),
        _ => Ok(()),
    }
}

/// Checks whether a request that a runner may have run may be sent to another one, under the
/// condition of [`allow_send`].
///
/// # Errors
///
/// Fails if it may not be sent. The code isn't [`Code::ShuttingDown`], whose status promises that
/// nothing has run.
pub fn allow_retry(node: &Node, ends: Instant) -> Result<(), Refusal> {
    allow_send(node, ends)
        .map_err(|refusal| Refusal::new(Code::EndpointFailed, &refusal.message).ran(Ran::Unknown))
}

/// Waits for `work` that a request needs before a runner gets it. If the process is stopping, waits
/// at most until the send deadline if the request may outlast the process, and until the answer
/// deadline otherwise. If the process's end cut the request off, its caller couldn't know that it
/// has not run.
///
/// # Errors
///
/// Fails at that deadline.
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

/// Waits for `work` that a runner may have, at most until the answer deadline. If the process's end
/// cut the request off, its caller would see a closed connection without any result code.
///
/// # Errors
///
/// Fails at the answer deadline. The code isn't [`Code::ShuttingDown`], whose status promises that
/// nothing has run.
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

/// Waits for the answer deadline and returns the refusal of a request that may have run.
async fn wait_for_answer_deadline(node: &Node) -> Refusal {
    let stop = node.stopping().await;
    let left = stop.deadline().since(node.clock.now());
    sleep(left.as_duration()).await;
    Refusal::new(Code::OutcomeUnknown, "the VM is shutting down").ran(Ran::Unknown)
}

/// Waits for the send deadline, or for the answer deadline if the request should be over before the
/// process ends. Returns the refusal of a request that has not run.
async fn wait_for_send_deadline(node: &Node, ends: Instant) -> Refusal {
    let stop = node.stopping().await;
    let deadline = if outlasts(node, stop, ends) {
        stop.unassigned_deadline()
    } else {
        stop.deadline()
    };
    let left = deadline.since(node.clock.now());
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
        "the VM has been stopping for {}, ends in {}, and the request may need {}",
        now.since(stop.begun()),
        stop.left(now),
        time_needed(ends)
    );
    Refusal::new(Code::ShuttingDown, &detail).retry_after(stop::RETRY)
}

#[cfg(test)]
mod tests;
