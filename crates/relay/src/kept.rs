//! Keeps the texts of turns on the VMs with a disk before the ends of their streams are sent.

use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use bytes::Bytes;
use bytes::BytesMut;
use replica::record::Record;
use replica::record::Turn;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;
use wire::event::Event;

use crate::account;
use crate::account::Account;
use crate::job::Job;

/// How long the end of a stream is held back beyond the request's deadline while its text is being
/// kept. The caller has all events by then, and giving up would make it repeat the whole turn.
const KEEP_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The pause between two tries to keep a turn's text.
const KEEP_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Returns the latest time at which a request with this deadline ends: the end of a kept turn's
/// stream may be held back beyond the deadline.
#[must_use]
pub fn latest_end(route: &Route, deadline: Instant) -> Instant {
    if is_kept(route) {
        deadline + KEEP_TIMEOUT
    } else {
        deadline
    }
}

/// Returns whether a turn's text has to be on disk before the end of its stream is sent.
fn is_kept(route: &Route) -> bool {
    route.kind == Kind::Stream && route.keeps_turns
}

/// Keeps a turn's text, then settles its tokens; does nothing if the route doesn't keep turns.
/// Returns `false`, without settling, if the text has to be kept and could not be.
pub async fn keep(job: &Job, account: Option<Account>, used: u32, output: &Bytes) -> bool {
    if !is_kept(&job.route) {
        return true;
    }
    let key = job.identity.key_of(&job.call.id);
    let previous = job.call.previous.as_deref();
    let previous = previous.map(|id| job.identity.key_of(id));
    let mut text = BytesMut::with_capacity(job.body.len() + output.len());
    text.extend_from_slice(&job.body);
    text.extend_from_slice(output);
    let text = text.freeze();
    let turn = Turn {
        key,
        previous,
        text: text.clone(),
    };
    let deadline = job.deadline.max(Instant::now()) + KEEP_TIMEOUT;
    loop {
        let kept = job
            .node
            .replicas
            .apply(key, vec![Record::Turn(turn.clone())]);
        match timeout_at(deadline, kept).await {
            Ok(Ok(())) => break,
            Ok(Err(fault)) => log::warn!(
                "event=E{} text=\"{}\" request={} program={} fault=\"{fault}\"",
                Event::TurnNotKept.number(),
                Event::TurnNotKept.text(),
                job.call.id,
                job.call.program.as_deref().unwrap_or_default()
            ),
            Err(_) => return false,
        }
        if job.node.member_health().is_outage(job.node.clock.now()) {
            // The partition or outage has lasted longer than a restart of two members takes. The
            // caller retries sooner if the stream breaks off now than if it waits for an end that
            // doesn't come.
            return false;
        }
        sleep(KEEP_RETRY_PAUSE).await;
    }
    account::settle(job, account, used);
    job.node.turns().insert(key, text, previous);
    true
}
