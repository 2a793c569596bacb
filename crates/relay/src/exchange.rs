//! What the VMs that take requests tell each other: how many requests each has at each runner, which
//! runners it holds off, and the runners' entries and the configuration where one of two knows newer
//! ones.
//!
//! A runner's own figures come with its answers, some hundred milliseconds late at each VM. Without
//! the others' counts all VMs pick the same runner that looked idle, and it turns them away.

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
use link::body;
use link::body::Body;
use link::body::Payload;
use link::client;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::answer;
use crate::exchange::outgoing::Message;
use crate::node::Node;
use crate::peers::Peer;

/// The path of the exchange.
const PATH: &str = "/exchange";
/// How often two VMs exchange: a fraction of the time that a request takes at a runner.
const INTERVAL: Duration = Duration::from_millis(60);
/// How long an exchange may take.
pub const TIMEOUT: Duration = Duration::from_millis(250);
/// The longest message in bytes: all entries of some thousand runners.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;

/// Why an exchange failed.
#[derive(Debug, Display, Error, From)]
enum Fault {
    #[display("{_0}")]
    Client(client::Fault),
    #[display("can't be encoded: {_0}")]
    Encode(rmp_serde::encode::Error),
    #[display("can't be read: {_0}")]
    Decode(rmp_serde::decode::Error),
    #[display("can't be sent: {_0}")]
    Http(hyper::http::Error),
}

/// Exchanges for as long as it is polled.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(pause(&node)).await;
        for peer in targets(&node) {
            tokio::spawn(exchange(node.clone(), peer));
        }
    }
}

/// Yields how long a VM waits before it exchanges again.
#[must_use]
pub fn pause(node: &Node) -> Duration {
    INTERVAL * node.peers().pause_factor()
}

/// Yields the VMs that this one starts an exchange with now; those that have been gone for long are
/// forgotten.
#[must_use]
pub fn targets(node: &Node) -> Vec<Peer> {
    let now = node.clock.now();
    let mut peers = node.peers();
    peers.forget_lapsed(now);
    peers.exchange_targets(&node.settings.vm, &node.settings.centre, now)
}

/// Takes in what another VM tells, and yields what it is told.
#[must_use]
pub fn respond(node: &Arc<Node>, theirs: Message) -> Message {
    let own = outgoing::message(node, &theirs.vm, theirs.roster, theirs.config);
    incoming::apply(node, theirs);
    own
}

async fn exchange(node: Arc<Node>, peer: Peer) {
    match timeout(TIMEOUT, ask(&node, &peer)).await {
        Ok(Ok(message)) => incoming::apply(&node, message),
        Ok(Err(fault)) => log::debug!("peer {}: {fault}", peer.vm),
        Err(_) => log::debug!("peer {}: no answer in time", peer.vm),
    }
}

async fn ask(node: &Arc<Node>, peer: &Peer) -> Result<Message, Fault> {
    let own = outgoing::message(node, &peer.vm, peer.roster, peer.config);
    let body = rmp_serde::to_vec(&own)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", peer.address.to_string())
        .body(Payload::from(Bytes::from(body)))?;
    let reply = node.vm_client.send(peer.address, request).await?;
    let bytes = reply.body.whole(MAX_MESSAGE_BYTES).await?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// Serves another VM's exchange.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let bytes = match body::read(request.into_body(), MAX_MESSAGE_BYTES).await {
        Ok(bytes) => bytes,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let theirs: Message = match rmp_serde::from_slice(&bytes) {
        Ok(message) => message,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    match rmp_serde::to_vec(&respond(&node, theirs)) {
        Ok(bytes) => answer::text(StatusCode::OK, bytes),
        Err(fault) => answer::text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}
