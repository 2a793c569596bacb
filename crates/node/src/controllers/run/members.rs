//! Sends and answers heartbeats, and publishes what they contain.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use wire::clock::Millis;
use wire::event::Event;
use wire::frame;
use wire::id;

use crate::controllers::call;
use crate::controllers::members;
use crate::controllers::members::Change;
use crate::controllers::members::exchange::Exchange;
use crate::controllers::members::exchange::Next;
use crate::controllers::members::heartbeat;
use crate::controllers::members::heartbeat::Heartbeat;
use crate::controllers::members::heartbeat::Liveness;
use crate::controllers::run::config;
use crate::core::Core;
use crate::peer;
use crate::view;

/// How long a VM may take to answer a heartbeat. Data centres are some milliseconds apart; half a
/// round gives a busy VM time without letting two rounds overlap.
const HEARTBEAT_TIMEOUT: Millis = Millis::new(500);
/// How long a VM may take to answer a heartbeat if it first pulls a configuration.
pub const PULL_TIMEOUT: Millis = Millis::new(1_500);

/// Number of VMs that a stopping VM notifies at once; in present deployments these are all of its
/// centre.
const MAX_SUCCESSORS: usize = 16;

/// Starts to send heartbeats, first to the VMs named by the settings.
pub fn start(core: &Arc<Core>) {
    let now = core.clock.now();
    let mut exchange = core.control.exchange();
    for seed in &core.settings.peers {
        let status = members::seed(&seed.name, &seed.centre, seed.address);
        exchange.table.merge(&status, now);
    }
    drop(exchange);
    publish(core);
    core.tasks.spawn(run(core.clone()));
}

/// Answers a heartbeat. If the sender has a higher revision, its configuration is pulled first, so
/// that the answer contains the revision then in force.
pub async fn serve(core: &Arc<Core>, body: &[u8]) -> Option<Bytes> {
    let heartbeat: Heartbeat = call::decode(body)?;
    if core
        .control
        .current_config()
        .is_behind(heartbeat.me.revision)
    {
        config::pull(core, heartbeat.me.address).await;
    }
    let answer = core.control.exchange().answer(&heartbeat, core.clock.now());
    publish(core);
    frame::encode(&answer).ok()
}

/// Sends one heartbeat and handles its answer.
pub async fn heartbeat(core: &Arc<Core>, to: &id::Vm, time_limit: Millis) {
    let now = core.clock.now();
    let prepared = {
        let mut exchange = core.control.exchange();
        let address = exchange.table.find(to).map(|m| m.status.address);
        address.map(|address| (address, exchange.heartbeat(to, now)))
    };
    let Some((address, frame)) = prepared else {
        return;
    };
    let sent: call::Result<Heartbeat> =
        call::send(core, address, peer::BEAT, &frame, time_limit).await;
    let now = core.clock.now();
    let Ok(answer) = sent else {
        core.control.exchange().table.suspect(to, now);
        return;
    };
    if core.control.current_config().is_behind(answer.me.revision) {
        config::pull(core, address).await;
    }
    let next = core.control.exchange().on_answer(&answer, now);
    if next == Next::Sync {
        let all = core.control.exchange().full_sync(now);
        if let Ok(answer) = call::send(core, address, peer::BEAT, &all, time_limit).await {
            let now = core.clock.now();
            core.control.exchange().on_answer(&answer, now);
        }
    }
    publish(core);
}

/// Sends heartbeats to several VMs at once and waits for all of them.
pub async fn heartbeats(core: &Arc<Core>, targets: Vec<id::Vm>, time_limit: Millis) {
    let mut sends = tokio::task::JoinSet::new();
    for to in targets {
        let core = core.clone();
        sends.spawn(async move { heartbeat(&core, &to, time_limit).await });
    }
    while sends.join_next().await.is_some() {}
}

/// Publishes the known VMs, owners and loads if they have changed.
pub fn publish(core: &Core) {
    let mut exchange = core.control.exchange();
    let changes = exchange.table.take_changes();
    let peers = peers(&exchange);
    let owners = owners(&exchange);
    let loads = loads(&exchange);
    drop(exchange);
    changes.iter().for_each(log_change);
    core.view.send_if_modified(|shared| {
        let same = shared.peers == peers && shared.owners == owners && shared.loads == loads;
        if !same {
            let view = Arc::make_mut(shared);
            view.peers = peers;
            view.owners = owners;
            view.loads = loads;
        }
        !same
    });
}

async fn run(core: Arc<Core>) {
    let mut random = SmallRng::seed_from_u64(rand::random());
    let mut stopping = false;
    loop {
        let now = core.clock.now();
        let targets = core.control.exchange().table.begin_round(now, &mut random);
        heartbeats(&core, targets, HEARTBEAT_TIMEOUT).await;
        publish(&core);
        let remaining = members::ROUND_INTERVAL
            .as_u64()
            .saturating_sub(core.clock.now().since(now).as_u64());
        tokio::select! {
            () = tokio::time::sleep(Millis::new(remaining).as_duration()) => {}
            () = core.control.urgent.notified() => {
                let targets = urgent_targets(&core, &mut random);
                heartbeats(&core, targets, HEARTBEAT_TIMEOUT).await;
            }
            () = core.stopping.cancelled(), if !stopping => {
                stopping = true;
                core.control.exchange().table.set_own(|own| own.stopping = true);
            }
            () = core.stopped.cancelled() => break,
        }
    }
    announce_leave(&core).await;
}

/// Picks the VMs that get an urgent update. A stopping VM notifies all that may take over its
/// shards, because callers are waiting for these.
fn urgent_targets(core: &Core, random: &mut SmallRng) -> Vec<id::Vm> {
    let mut exchange = core.control.exchange();
    let mut targets = exchange.table.targets(random);
    if core.stopping.is_cancelled() {
        targets = exchange.table.same_centre();
        targets.truncate(MAX_SUCCESSORS);
    }
    targets
}

/// Tells other VMs that this one is shutting down and has given up its shards, so that they needn't
/// wait until its silence is noticed.
async fn announce_leave(core: &Arc<Core>) {
    let (frame, targets) = {
        let mut exchange = core.control.exchange();
        let mut successors = exchange.table.same_centre();
        successors.truncate(MAX_SUCCESSORS);
        let members = successors.iter().filter_map(|vm| exchange.table.find(vm));
        let addresses: Vec<SocketAddr> = members.map(|m| m.status.address).collect();
        (exchange.leave(core.clock.now()), addresses)
    };
    let mut calls = tokio::task::JoinSet::new();
    for address in targets {
        let (core, frame) = (core.clone(), frame.clone());
        calls.spawn(async move {
            let sent: call::Result<Heartbeat> =
                call::send(&core, address, peer::BEAT, &frame, HEARTBEAT_TIMEOUT).await;
            sent.is_ok()
        });
    }
    while calls.join_next().await.is_some() {}
}

fn peers(exchange: &Exchange) -> Vec<view::Peer> {
    let peer = |status: &heartbeat::Status| view::Peer {
        vm: status.vm.clone(),
        centre: status.centre.clone(),
        address: status.address,
        size: status.size,
        up: status.liveness != Liveness::Down,
        stopping: status.stopping,
    };
    let members = exchange.table.members().iter();
    members.map(|m| peer(&m.status)).collect()
}

fn owners(exchange: &Exchange) -> Vec<view::Owner> {
    let held = exchange.owners.entries().iter().filter(|owner| !owner.free);
    held.map(|owner| view::Owner {
        shard: owner.shard.clone(),
        vm: owner.vm.clone(),
        epoch: owner.epoch,
    })
    .collect()
}

/// Combines the load reports with the platform's list: an endpoint counts as leaving as soon as one
/// of the two says so.
fn loads(exchange: &Exchange) -> Vec<view::Load> {
    let mut loads: Vec<view::Load> = exchange.loads.entries().iter().map(load).collect();
    for endpoint in exchange.listings.leaving() {
        match loads.binary_search_by(|l| l.endpoint.cmp(endpoint)) {
            Ok(at) => loads[at].leaving = true,
            Err(at) => loads.insert(at, unreported(endpoint)),
        }
    }
    loads
}

fn unreported(endpoint: &id::Endpoint) -> view::Load {
    view::Load {
        endpoint: endpoint.clone(),
        up: true,
        leaving: true,
        running: 0,
        waiting: 0,
        speed: 0.0,
        cache: 0,
        at: Millis::ZERO,
    }
}

fn load(entry: &members::loads::Entry) -> view::Load {
    view::Load {
        endpoint: entry.load.endpoint.clone(),
        up: entry.load.up,
        leaving: entry.load.leaving,
        running: entry.load.running,
        waiting: entry.load.waiting,
        speed: f64::from(entry.load.speed),
        cache: entry.load.cache,
        at: entry.made_at,
    }
}

fn log_change(change: &Change) {
    match change {
        Change::Up(vm) => log::info!("{} vm={vm}", Event::PeerUp),
        Change::Down(vm, reason) => log::warn!("{} vm={vm} reason={reason:?}", Event::PeerDown),
    }
}
