//! Fetches large configurations from other VMs.
//!
//! A short document goes along with the messages of an exchange. A long one takes longer on a narrow link
//! than a message may. It would be sent again with each message until an answer comes, to each VM that has
//! told nothing yet, and so keep the links full for good. So a VM that hears of a newer revision asks for
//! it, one VM at a time, and a VM sends it to a few others at a time.
//!
//! VMs that nobody can send it in time read it at the key-value service: each does so when it has waited
//! for a part of the time of a change.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use link::body::Body;
use link::body::Payload;
use link::client;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::event::Event;

use crate::answer;
use crate::ingest;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::Peer;

/// HTTP path of the document.
pub const PATH: &str = "/document";
/// The longest document that goes along with a message: a tenth of what a link of 22 Mbit/s carries in the
/// time that a message may take.
pub const MAX_ATTACHED_BYTES: usize = 64 * 1024;
/// The longest document that is taken: some times the longest value of the key-value service.
const MAX_BYTES: usize = 4 * 1024 * 1024;
/// How long a fetch may take: a second attempt fits into the time of a change.
pub const TIMEOUT: Millis = Millis::new(1_000);
/// The pause after a fetch that failed.
const RETRY_PAUSE: Millis = Millis::new(50);
/// The pause after a fetch that brought a document which can't be used.
const UNUSABLE_PAUSE: Millis = TIMEOUT;
/// How long a VM waits for other VMs to send it a document before it reads the configuration itself, as a
/// percentage of the time in which a change has to be in force. Some of the rest passes until the next
/// decision where to learn of it, and while it is read over a narrow link.
const MAX_WAIT_PERCENT: u64 = 20;
/// The part of [`TIMEOUT`] in which this VM's link has to carry the documents that it sends at a time. They
/// share the link with all else.
const SEND_DIVISOR: u64 = 4;
/// To how many VMs the document is sent at a time over any link.
const MAX_SENDS: u64 = 16;

/// Why a fetch failed.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("{_0}")]
    Client(client::Fault),
    #[display("the HTTP request can't be built: {_0}")]
    Http(hyper::http::Error),
    #[display("status {_0}")]
    #[from(ignore)]
    Refused(#[error(not(source))] StatusCode),
}

/// The fetches of a VM, at most one at a time.
#[derive(Debug, Default)]
pub struct Fetches {
    is_under_way: bool,
    not_before: Millis,
    /// Since when other VMs have had a newer configuration; `None` if none has.
    behind_since: Option<Millis>,
}

impl Fetches {
    /// Records whether another VM has a newer configuration.
    pub fn note(&mut self, position: Position, now: Millis) {
        self.behind_since = match position {
            Position::Behind => Some(self.behind_since.unwrap_or(now)),
            Position::Newest => None,
        };
    }

    /// Returns for how long other VMs have had a newer configuration.
    #[must_use]
    pub fn waited(&self, now: Millis) -> Millis {
        self.behind_since
            .map_or(Millis::ZERO, |since| now.since(since))
    }

    /// Returns whether a fetch may begin now.
    #[must_use]
    pub fn may_begin(&self, now: Millis) -> bool {
        !self.is_under_way && now >= self.not_before
    }

    /// Records that a fetch begins.
    pub fn begin(&mut self) {
        self.is_under_way = true;
    }

    /// Records that the fetch has ended.
    pub fn end(&mut self, outcome: Outcome, now: Millis) {
        self.is_under_way = false;
        self.not_before = match outcome {
            Outcome::Fetched => now,
            Outcome::Failed => now.plus(RETRY_PAUSE),
            Outcome::Unusable => now.plus(UNUSABLE_PAUSE),
        };
    }
}

/// Whether a VM's configuration is the newest one that it has heard of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Position {
    /// It is.
    Newest,
    /// Another VM has a newer one.
    Behind,
}

/// How a fetch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The document has come.
    Fetched,
    /// It hasn't.
    Failed,
    /// It has, and isn't the newer configuration that the other VM told of.
    Unusable,
}

/// The rights to send a document that a VM has given out.
#[derive(Clone, Debug, Default)]
pub struct Permits(Arc<AtomicU64>);

/// The right to send a document, until dropped.
#[derive(Debug)]
pub struct Permit(Permits);

impl Permits {
    /// Permits to send a document of `bytes` bytes over a link that carries `bytes_per_ms`; `None` if too
    /// many are being sent.
    #[must_use]
    pub fn take(&self, bytes: usize, bytes_per_ms: u64) -> Option<Permit> {
        let most = max_sends(bytes, bytes_per_ms);
        let taken = self
            .0
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |sends| {
                (sends < most).then_some(sends + 1)
            });
        taken.ok().map(|_| Permit(self.clone()))
    }
}

/// Returns to how many VMs a document is sent at a time; to one at least.
fn max_sends(bytes: usize, bytes_per_ms: u64) -> u64 {
    let carried = bytes_per_ms * (TIMEOUT.as_u64() / SEND_DIVISOR);
    (carried / (bytes as u64).max(1)).clamp(1, MAX_SENDS)
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Begins a fetch if another VM has told of a newer revision than this one's and none is under way.
/// Returns the VM to ask.
pub fn begin_fetch(node: &Node) -> Option<Peer> {
    let now = node.clock.now();
    let own = node.table().version;
    let newer = node.peers().newest_config(own, now);
    let mut fetches = node.document_fetches();
    let position = newer
        .as_ref()
        .map_or(Position::Newest, |_| Position::Behind);
    fetches.note(position, now);
    if !fetches.may_begin(now) {
        return None;
    }
    if newer.is_some() {
        fetches.begin();
    }
    newer
}

/// Returns whether other VMs have a newer configuration than this one.
#[must_use]
pub fn is_behind(node: &Node) -> bool {
    node.document_fetches().waited(node.clock.now()) > Millis::ZERO
}

/// Returns whether this VM has waited for too long for the document of a newer configuration.
#[must_use]
pub fn is_overdue(node: &Node) -> bool {
    let max_wait = node.settings.apply.as_u64() * MAX_WAIT_PERCENT / 100;
    node.document_fetches().waited(node.clock.now()) > Millis::new(max_wait)
}

/// Fetches the document from a VM in the background, as [`begin_fetch`] decided.
pub fn start_fetch(node: &Arc<Node>, peer: Peer) {
    let node = node.clone();
    tokio::spawn(async move {
        let fetched = timeout(TIMEOUT.as_duration(), fetch(&node, &peer)).await;
        let (document, why) = match fetched {
            Ok(Ok(document)) => (Some(document), "it isn't usable".to_owned()),
            Ok(Err(fault)) => (None, fault.to_string()),
            Err(_) => (None, "timed out".to_owned()),
        };
        let revision = peer.status.config;
        if end_fetch(&node, revision, document.as_deref()) == Outcome::Fetched {
            return;
        }
        log::info!(
            "event=E{} text=\"{}\" vm={} revision={revision} why=\"{why}\"",
            Event::DocumentNotFetched.number(),
            Event::DocumentNotFetched.text(),
            peer.vm,
        );
    });
}

/// Ends a fetch of the configuration of a revision with the document, `None` if it hasn't come. Returns how
/// it ended.
pub fn end_fetch(node: &Arc<Node>, revision: u64, document: Option<&[u8]>) -> Outcome {
    let outcome = match document {
        None => Outcome::Failed,
        Some(document) => {
            ingest::configuration(node, document);
            if node.table().version >= revision {
                Outcome::Fetched
            } else {
                Outcome::Unusable
            }
        }
    };
    let now = node.clock.now();
    node.document_fetches().end(outcome, now);
    outcome
}

async fn fetch(node: &Arc<Node>, peer: &Peer) -> Result<Bytes, Fault> {
    let request = Request::builder()
        .uri(PATH)
        .header("host", peer.address.to_string())
        .body(Payload::default())?;
    let reply = node.vm_client.send(peer.address, request).await?;
    if reply.head.status != StatusCode::OK {
        return Err(Fault::Refused(reply.head.status));
    }
    Ok(reply.body.whole_stated(MAX_BYTES).await?)
}

/// Begins to send the document to another VM; `None` if too many are being sent.
pub fn begin_send(node: &Node) -> Option<(Bytes, Permit)> {
    let document = node.table().document.clone();
    let permit = node
        .document_permits
        .take(document.len(), node.settings.link_bytes_per_ms)?;
    Some((document, permit))
}

/// Answers another VM's request for the document; refuses it while too many are being sent.
#[must_use]
pub fn serve(node: &Node) -> Response<Body> {
    let Some((document, permit)) = begin_send(node) else {
        return answer::text(StatusCode::SERVICE_UNAVAILABLE, "too many at a time\n");
    };
    node.metrics
        .add(Counter::DocumentBytes, document.len() as u64);
    answer::text(
        StatusCode::OK,
        Bytes::from_owner(Sending {
            document,
            _permit: permit,
        }),
    )
}

/// A document that is being sent, for as long as its bytes are needed.
struct Sending {
    document: Bytes,
    _permit: Permit,
}

impl AsRef<[u8]> for Sending {
    fn as_ref(&self) -> &[u8] {
        &self.document
    }
}

#[cfg(test)]
mod tests;
