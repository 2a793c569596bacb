//! The exchange between the VMs that take requests. Each VM tells the others how many requests it
//! has at each runner and which runners it holds off. It also sends the runners' entries and the
//! configuration if the other VM's are older.
//!
//! A runner's own figures come with its answers and so reach each VM some hundred milliseconds
//! late. Without the counts of other VMs, all VMs would pick the same runner that looked idle, and
//! it would refuse them.

pub mod incoming;
pub mod outgoing;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use link::body::Body;
use link::body::Payload;
use link::client;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;

use crate::answer;
use crate::document;
use crate::exchange::outgoing::Message;
use crate::metrics::Counter;
use crate::node::Node;
use crate::peers::Peer;
use crate::peers::Peers;
use crate::peers::Recipient;

/// HTTP path of the exchange.
const PATH: &str = "/exchange";
/// Interval between two exchanges of the same two VMs: a fraction of the time that a request takes
/// at a runner.
const INTERVAL: Duration = Duration::from_millis(60);
/// Interval while a process that has just started can't serve requests yet.
const START_INTERVAL: Duration = Duration::from_millis(30);
/// The most messages by which a VM learns of what another one did.
const MESSAGES_TO_ALL: u32 = 3;
/// What messages take on the way to all VMs.
const MESSAGE_TIME: Duration = Duration::from_millis(20);
/// How long an exchange may take.
pub const TIMEOUT: Duration = Duration::from_millis(250);
/// How long a message may take to come: its sender has given it up by then.
const MESSAGE_READ_TIME: Duration = Duration::from_secs(1);
/// The longest message in bytes: all entries of some thousand runners.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("{_0}")]
    Client(client::Fault),
    #[display("the message can't be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    #[display("the answer can't be decoded: {_0}")]
    Decode(rmp_serde::decode::Error),
    #[display("the HTTP request can't be built: {_0}")]
    Http(hyper::http::Error),
}

/// Starts exchanges periodically for as long as it is polled. None is started with a VM that hasn't
/// answered the one before: on a slow link the messages would queue up and fill the memory.
pub async fn run(node: Arc<Node>) {
    let mut under_way: Vec<UnderWay> = Vec::new();
    loop {
        sleep(pause(&node)).await;
        under_way.retain(|exchange| !exchange.task.is_finished());
        for peer in targets(&node) {
            if under_way.iter().any(|exchange| exchange.vm == peer.vm) {
                continue;
            }
            under_way.push(UnderWay {
                vm: peer.vm.clone(),
                task: tokio::spawn(exchange(node.clone(), peer)),
            });
        }
        if let Some(peer) = document::begin_fetch(&node) {
            document::start_fetch(&node, peer);
        }
    }
}

/// An exchange that this VM started.
struct UnderWay {
    vm: String,
    task: JoinHandle<()>,
}

/// Returns the pause before the next round of exchanges.
#[must_use]
pub fn pause(node: &Node) -> Duration {
    if node.is_starting() && !node.can_route() {
        return START_INTERVAL;
    }
    interval(&node.peers())
}

fn interval(peers: &Peers) -> Duration {
    INTERVAL * peers.pause_factor()
}

/// Returns how long it takes until all VMs know what one of them tells: a message to its hub, one to the
/// other hubs and one from there, and what they take on their way.
#[must_use]
pub fn lag(peers: &Peers) -> Millis {
    Millis::from(interval(peers) * MESSAGES_TO_ALL + MESSAGE_TIME)
}

/// Returns the VMs with which this one starts an exchange now. Forgets VMs whose entries lapsed
/// long ago.
#[must_use]
pub fn targets(node: &Node) -> Vec<Peer> {
    let now = node.clock.now();
    let mut peers = node.peers();
    peers.forget_lapsed(now);
    peers.exchange_targets(&node.settings.vm, &node.settings.centre, now)
}

/// Applies another VM's message and returns the answer to it.
#[must_use]
pub fn respond(node: &Arc<Node>, theirs: Message) -> Message {
    let recipient = Recipient {
        stamp: theirs.extension.proof.stamp,
        cursor: theirs.extension.cursor.as_deref(),
    };
    let own = outgoing::message(node, &theirs.vm, &theirs.status, recipient);
    incoming::apply(node, theirs);
    own
}

async fn exchange(node: Arc<Node>, peer: Peer) {
    let why = match timeout(TIMEOUT, ask(&node, &peer)).await {
        Ok(Ok(message)) => return incoming::apply(&node, message),
        Ok(Err(fault)) => fault.to_string(),
        Err(_) => "timed out".to_owned(),
    };
    node.metrics.count(Counter::ExchangesFailed);
    log::debug!("peer {}: {why}", peer.vm);
}

async fn ask(node: &Arc<Node>, peer: &Peer) -> Result<Message, Fault> {
    let own = outgoing::message(node, &peer.vm, &peer.status, peer.recipient());
    let body = outgoing::encode(&own)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", peer.address.to_string())
        .body(Payload::from(Bytes::from(body)))?;
    let reply = node.vm_client.send(peer.address, request).await?;
    let bytes = reply.body.whole_stated(MAX_MESSAGE_BYTES).await?;
    Ok(outgoing::decode(&bytes)?)
}

/// Serves an exchange that another VM started, or sends it the document that it asks for.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    if request.uri().path() == document::PATH {
        return document::serve(&node);
    }
    let read = node
        .vm_messages
        .read(request.into_body(), MAX_MESSAGE_BYTES, MESSAGE_READ_TIME);
    let message = match read.await {
        Ok(message) => message,
        Err(fault) => return answer::text(fault.status(), fault.to_string()),
    };
    let theirs = match outgoing::decode(&message.bytes) {
        Ok(message) => message,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    match outgoing::encode(&respond(&node, theirs)) {
        Ok(bytes) => answer::text(StatusCode::OK, bytes),
        Err(fault) => answer::text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}
