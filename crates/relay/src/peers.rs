//! What the VMs that take requests tell each other: how many requests each has at each runner.
//!
//! A runner's own figures come with its answers, some hundred milliseconds late at each VM. Without
//! the others' counts all VMs pick the same runner that looked idle, and it turns them away.

use std::net::SocketAddr;
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
use platform::edge::Lease;
use platform::edge::Platform;
use platform::edge::Txn;
use platform::edge::Weight;
use platform::edge::Write;
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;

use crate::answer;
use crate::follow;
use crate::metrics::Counter;
use crate::node::Node;

/// The path of the exchange.
const PATH: &str = "/counts";
/// How often two VMs exchange their counts: a fraction of the time that a request takes.
const EVERY: Duration = Duration::from_millis(60);
/// How long an exchange may take.
const PATIENCE: Duration = Duration::from_millis(250);
/// The longest message in bytes: some thousand runners.
const MAX_MESSAGE: usize = 256 * 1024;
/// How long a VM's entry lasts without renewal. Long beside a short outage of the service, as a VM
/// that is dead costs its peers only unanswered messages.
const LEASE: Millis = Millis::new(8_000);
/// How often the entry is renewed: three times within its lease.
const RENEW: Duration = Duration::from_millis(2_500);
/// A VM whose entry has lapsed is still told for this long: the service may have been away.
const LAPSED: Millis = Millis::new(10_000);

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

/// The other VMs, in the order of their names.
#[derive(Debug, Default)]
pub struct Peers {
    known: Vec<Peer>,
}

#[derive(Clone, Debug)]
struct Peer {
    vm: String,
    address: SocketAddr,
    lapsed: Option<Millis>,
}

/// How many requests a VM has at each runner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// The VM.
    pub vm: String,
    /// By runner, in the order of their ids.
    pub counts: Vec<(String, u32)>,
}

impl Peers {
    /// Notes a VM.
    pub fn set(&mut self, vm: &str, address: SocketAddr) {
        let peer = Peer {
            vm: vm.to_owned(),
            address,
            lapsed: None,
        };
        match self.known.binary_search_by(|peer| peer.vm.as_str().cmp(vm)) {
            Ok(at) => self.known[at] = peer,
            Err(at) => self.known.insert(at, peer),
        }
    }

    /// Notes that a VM's entry has lapsed.
    pub fn lapse(&mut self, vm: &str) {
        if let Some(peer) = self.known.iter_mut().find(|peer| peer.vm == vm) {
            peer.lapsed.get_or_insert(Millis::ZERO);
        }
    }

    /// Notes which VMs are listed; the others have lapsed.
    pub fn keep(&mut self, vms: &[String]) {
        for peer in &mut self.known {
            if !vms.contains(&peer.vm) {
                peer.lapsed.get_or_insert(Millis::ZERO);
            }
        }
    }

    fn sweep(&mut self, now: Millis) {
        for peer in &mut self.known {
            if peer.lapsed == Some(Millis::ZERO) {
                peer.lapsed = Some(now);
            }
        }
        let recent = |since: Millis| now.since(since) < LAPSED;
        self.known.retain(|peer| peer.lapsed.is_none_or(recent));
    }

    /// Yields the VMs that the VM named starts the exchange with: of each two, the one whose name
    /// comes first does.
    fn to_ask(&self, own: &str) -> Vec<SocketAddr> {
        let later = self.known.iter().filter(|peer| peer.vm.as_str() > own);
        later.map(|peer| peer.address).collect()
    }
}

/// Exchanges counts for as long as it is polled.
pub async fn run(node: Arc<Node>) {
    loop {
        sleep(EVERY).await;
        let asked = {
            let mut peers = node.peers();
            peers.sweep(node.clock.now());
            peers.to_ask(&node.settings.vm)
        };
        for address in asked {
            tokio::spawn(exchange(node.clone(), address));
        }
    }
}

async fn exchange(node: Arc<Node>, address: SocketAddr) {
    match timeout(PATIENCE, ask(&node, address)).await {
        Ok(Ok(counts)) => hear(&node, &counts),
        Ok(Err(fault)) => log::debug!("peer {address}: {fault}"),
        Err(_) => log::debug!("peer {address}: no answer in time"),
    }
}

async fn ask(node: &Arc<Node>, address: SocketAddr) -> Result<Counts, Fault> {
    let body = rmp_serde::to_vec(&own(node))?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", address.to_string())
        .body(Payload::from(Bytes::from(body)))?;
    let reply = node.vms.send(address, request).await?;
    let bytes = reply.body.whole(MAX_MESSAGE).await?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

fn own(node: &Node) -> Counts {
    Counts {
        vm: node.settings.vm.clone(),
        counts: node.fleet().counts(),
    }
}

fn hear(node: &Node, counts: &Counts) {
    let now = node.clock.now();
    node.fleet().hear(&counts.vm, &counts.counts, now);
}

/// Serves another VM's exchange.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let bytes = match body::read(request.into_body(), MAX_MESSAGE).await {
        Ok(bytes) => bytes,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    match rmp_serde::from_slice::<Counts>(&bytes) {
        Ok(counts) => hear(&node, &counts),
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    }
    match rmp_serde::to_vec(&own(&node)) {
        Ok(bytes) => answer::text(StatusCode::OK, bytes),
        Err(fault) => answer::text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}

/// Keeps this VM's entry in the key-value service for as long as it is polled.
pub async fn register(node: Arc<Node>, address: SocketAddr) {
    let mut lease: Option<Lease> = None;
    loop {
        node.metrics.count(Counter::StoreCalls);
        lease = match lease {
            Some(held) => match node.kv.renew(held).await {
                Ok(true) => Some(held),
                Ok(false) => None,
                Err(fault) => {
                    log::debug!("lease not renewed: {fault}");
                    Some(held)
                }
            },
            None => match enter(&node, address).await {
                Ok(lease) => Some(lease),
                Err(fault) => {
                    log::debug!("entry not written: {fault}");
                    None
                }
            },
        };
        sleep(RENEW).await;
    }
}

async fn enter(node: &Node, address: SocketAddr) -> platform::edge::Result<Lease> {
    let lease = node.kv.grant(LEASE).await?;
    let put = Write::Put {
        key: format!("{}{}", follow::vm_prefix(), node.settings.vm),
        value: address.to_string().into_bytes(),
        lease: Some(lease),
    };
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![put],
    };
    node.kv.commit(&txn, Weight::Claim).await?;
    Ok(lease)
}
