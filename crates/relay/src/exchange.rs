//! What the VMs that take requests tell each other: how many requests each has at each runner, which
//! runners it holds off, and the runners' entries and the configuration where one of two knows newer
//! ones.
//!
//! A runner's own figures come with its answers, some hundred milliseconds late at each VM. Without
//! the others' counts all VMs pick the same runner that looked idle, and it turns them away.

use std::sync::Arc;
use std::time::Duration;

use adapter::runner;
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
use serde::Deserialize;
use serde::Serialize;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;

use crate::answer;
use crate::fleet;
use crate::node::Node;
use crate::peers::Peer;
use crate::peers::Place;
use crate::roster::Roster;
use crate::take;
use crate::tally;
use crate::tally::Audience;
use crate::tally::Origin;
use crate::tally::Tally;

/// The path of the exchange.
const PATH: &str = "/exchange";
/// How often two VMs exchange: a fraction of the time that a request takes at a runner.
const EVERY: Duration = Duration::from_millis(60);
/// How long an exchange may take.
const PATIENCE: Duration = Duration::from_millis(250);
/// The longest message in bytes: all entries of some thousand runners.
const MAX_MESSAGE: usize = 4 * 1024 * 1024;

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

/// One side of an exchange.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The VM.
    pub vm: String,
    /// Whose tallies these are.
    pub origin: Origin,
    /// What the VM, and other VMs that it speaks for, have at runners; in the order of their ids.
    pub tallies: Vec<Tally>,
    /// The roster's revision that it has.
    pub roster: u64,
    /// How old its knowledge of the runners is, in milliseconds.
    pub roster_age: u64,
    /// The configuration's revision that it has.
    pub config: u64,
    /// All entries, where the other has older ones.
    pub entries: Option<Roster>,
    /// The configuration, where the other has an older one.
    pub document: Option<Vec<u8>>,
}

/// Exchanges for as long as it is polled.
pub async fn run(node: Arc<Node>) {
    loop {
        let pause = EVERY * node.peers().spread();
        sleep(pause).await;
        let now = node.clock.now();
        let asked = {
            let mut peers = node.peers();
            peers.sweep(now);
            peers.to_ask(&node.settings.vm, &node.settings.centre, now)
        };
        for peer in asked {
            tokio::spawn(exchange(node.clone(), peer));
        }
    }
}

async fn exchange(node: Arc<Node>, peer: Peer) {
    match timeout(PATIENCE, ask(&node, &peer)).await {
        Ok(Ok(message)) => hear(&node, message),
        Ok(Err(fault)) => log::debug!("peer {}: {fault}", peer.vm),
        Err(_) => log::debug!("peer {}: no answer in time", peer.vm),
    }
}

async fn ask(node: &Arc<Node>, peer: &Peer) -> Result<Message, Fault> {
    let own = message(node, &peer.vm, peer.roster, peer.config);
    let body = rmp_serde::to_vec(&own)?;
    let request = Request::builder()
        .method(Method::POST)
        .uri(PATH)
        .header("host", peer.address.to_string())
        .body(Payload::from(Bytes::from(body)))?;
    let reply = node.vms.send(peer.address, request).await?;
    let bytes = reply.body.whole(MAX_MESSAGE).await?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// Builds the message for a VM that has these revisions.
fn message(node: &Node, to: &str, roster: u64, config: u64) -> Message {
    let now = node.clock.now();
    let settings = &node.settings;
    let (origin, tallies) = tell(node, to, now);
    let table = node.table();
    let known = node.roster();
    Message {
        vm: settings.vm.clone(),
        origin,
        tallies,
        roster: known.revision,
        roster_age: node.runners_age().as_u64(),
        config: table.version,
        entries: (known.revision > roster).then(|| known.clone()),
        document: (table.version > config).then(|| table.document.clone()),
    }
}

/// Yields what a VM is told of the runners, and whose figures these are: a hub tells its own VMs
/// all that it knows of the others, and other hubs the sum of its data centre.
fn tell(node: &Node, to: &str, now: Millis) -> (Origin, Vec<Tally>) {
    let settings = &node.settings;
    let peers = node.peers();
    let near = |vm: &str| {
        let peer = peers.peer(vm);
        peer.is_some_and(|peer| peer.centre == settings.centre)
    };
    match peers.place(&settings.vm, &settings.centre, now) {
        Place::Direct | Place::Leaf => {
            let tallies = node.fleet().tallies(now, |_| false);
            (Origin::Vm(settings.vm.clone()), tallies)
        }
        Place::Hub => {
            let (audience, origin) = if near(to) {
                (Audience::Near(to), Origin::Others)
            } else {
                (Audience::Far, Origin::Centre(settings.centre.clone()))
            };
            let told_on = |of: &Origin| tally::is_told_on(of, audience, &settings.centre, near);
            (origin, node.fleet().tallies(now, told_on))
        }
    }
}

fn hear(node: &Arc<Node>, message: Message) {
    let now = node.clock.now();
    node.peers()
        .hear(&message.vm, message.roster, message.config, now);
    node.fleet().hear(&message.origin, &message.tallies, now);
    if let Some(document) = &message.document {
        take::document(node, document);
    }
    if let Some(entries) = message.entries {
        take_over(node, &message.vm, entries);
    }
    if message.roster >= node.roster().revision {
        let at = now.since(Millis::new(message.roster_age));
        node.set_runners_at(at);
    }
}

/// Takes newer entries over: all of them, and nothing else.
fn take_over(node: &Arc<Node>, vm: &str, entries: Roster) {
    if entries.revision <= node.roster().revision {
        return;
    }
    let gone: Vec<String> = {
        let fleet = node.fleet();
        let listed = |id: &String| {
            entries
                .entries
                .binary_search_by(|(key, _)| key.cmp(id))
                .is_ok()
        };
        let ids = fleet.runners().iter().map(|runner| runner.id.clone());
        ids.filter(|id| !listed(id)).collect()
    };
    for id in gone {
        let change = node.fleet().remove(&id);
        fleet::log_change(&change, &format!("runner={id} heard_from={vm}"));
    }
    for (id, bytes) in &entries.entries {
        if let Some(entry) = runner::decode(bytes) {
            let line = format!("runner={id} service={} heard_from={vm}", entry.service);
            let change = take::set_runner(node, id, entry);
            fleet::log_change(&change, &line);
        }
    }
    *node.roster() = entries;
}

/// Serves another VM's exchange.
pub async fn serve(node: Arc<Node>, request: Request<Incoming>) -> Response<Body> {
    let bytes = match body::read(request.into_body(), MAX_MESSAGE).await {
        Ok(bytes) => bytes,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let theirs: Message = match rmp_serde::from_slice(&bytes) {
        Ok(message) => message,
        Err(fault) => return answer::text(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let own = message(&node, &theirs.vm, theirs.roster, theirs.config);
    hear(&node, theirs);
    match rmp_serde::to_vec(&own) {
        Ok(bytes) => answer::text(StatusCode::OK, bytes),
        Err(fault) => answer::text(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}
