//! Sends and answers heartbeats, and publishes what they tell.

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
use crate::controllers::members::beat;
use crate::controllers::members::beat::Beat;
use crate::controllers::members::beat::Life;
use crate::controllers::members::exchange::Exchange;
use crate::controllers::members::exchange::Next;
use crate::controllers::run::config;
use crate::core::Core;
use crate::peer;
use crate::view;

/// How long a VM may take to answer a heartbeat. Data centres are some milliseconds apart; half a
/// round leaves a busy VM its time without two rounds overlapping.
const ANSWER: Millis = Millis::new(500);
/// How long a VM may take whose answer waits for it to pull a configuration first.
pub const PULLED: Millis = Millis::new(1_500);

/// VMs that a VM which stops tells at once; all of the centre in today's deployments.
const HEIRS: usize = 16;

/// Starts to send heartbeats, first to the VMs that the settings name.
pub fn start(core: &Arc<Core>) {
    let now = core.clock.now();
    let mut exchange = core.control.exchange();
    for seed in &core.settings.peers {
        let line = members::seed(&seed.name, &seed.centre, seed.address);
        exchange.table.merge(&line, now);
    }
    drop(exchange);
    publish(core);
    core.tasks.spawn(beats(core.clone()));
}

/// Answers a heartbeat. Where the sender has a higher revision it is pulled first, so that the
/// answer says what is in force.
pub async fn serve(core: &Arc<Core>, body: &[u8]) -> Option<Bytes> {
    let beat: Beat = call::decode(body)?;
    if core.control.held().behind(beat.me.revision) {
        config::pull(core, beat.me.address).await;
    }
    let answer = core.control.exchange().answer(&beat, core.clock.now());
    publish(core);
    frame::encode(&answer).ok()
}

/// Sends one heartbeat and takes its answer.
pub async fn beat(core: &Arc<Core>, to: &id::Vm, span: Millis) {
    let now = core.clock.now();
    let prepared = {
        let mut exchange = core.control.exchange();
        let address = exchange.table.find(to).map(|m| m.line.address);
        address.map(|address| (address, exchange.frame(to, now)))
    };
    let Some((address, frame)) = prepared else {
        return;
    };
    let sent: call::Result<Beat> = call::send(core, address, peer::BEAT, &frame, span).await;
    let now = core.clock.now();
    let Ok(answer) = sent else {
        core.control.exchange().table.missed(to, now);
        return;
    };
    if core.control.held().behind(answer.me.revision) {
        config::pull(core, address).await;
    }
    let next = core.control.exchange().answered(&answer, now);
    if next == Next::Sync {
        let all = core.control.exchange().all(now);
        if let Ok(answer) = call::send(core, address, peer::BEAT, &all, span).await {
            let now = core.clock.now();
            core.control.exchange().answered(&answer, now);
        }
    }
    publish(core);
}

/// Sends heartbeats to several VMs at once and waits for all.
pub async fn beat_all(core: &Arc<Core>, targets: Vec<id::Vm>, span: Millis) {
    let mut beats = tokio::task::JoinSet::new();
    for to in targets {
        let core = core.clone();
        beats.spawn(async move { beat(&core, &to, span).await });
    }
    while beats.join_next().await.is_some() {}
}

/// Publishes what is known of VMs, owners and loads where it has changed.
pub fn publish(core: &Core) {
    let mut exchange = core.control.exchange();
    let changes = exchange.table.drain();
    let peers = peers(&exchange);
    let owners = owners(&exchange);
    let loads = loads(&exchange);
    drop(exchange);
    changes.iter().for_each(tell);
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

async fn beats(core: Arc<Core>) {
    let mut random = SmallRng::seed_from_u64(rand::random());
    let mut stopping = false;
    loop {
        let now = core.clock.now();
        let targets = core.control.exchange().table.round(now, &mut random);
        beat_all(&core, targets, ANSWER).await;
        publish(&core);
        let rest = members::ROUND
            .as_u64()
            .saturating_sub(core.clock.now().since(now).as_u64());
        tokio::select! {
            () = tokio::time::sleep(Millis::new(rest).as_duration()) => {}
            () = core.control.hurry.notified() => {
                let targets = hurried(&core, &mut random);
                beat_all(&core, targets, ANSWER).await;
            }
            () = core.stopping.cancelled(), if !stopping => {
                stopping = true;
                core.control.exchange().table.set_own(|own| own.stopping = true);
            }
            () = core.stopped.cancelled() => break,
        }
    }
    farewell(&core).await;
}

/// Draws whom to tell news that shouldn't wait. A VM that stops tells all that may take its shards
/// over, as callers wait for these.
fn hurried(core: &Core, random: &mut SmallRng) -> Vec<id::Vm> {
    let mut exchange = core.control.exchange();
    let mut targets = exchange.table.targets(random);
    if core.stopping.is_cancelled() {
        targets = exchange.table.near();
        targets.truncate(HEIRS);
    }
    targets
}

/// Tells other VMs that this one goes and has given up its shards, so that no one waits until its
/// silence is noticed.
async fn farewell(core: &Arc<Core>) {
    let (frame, targets) = {
        let mut exchange = core.control.exchange();
        let mut near = exchange.table.near();
        near.truncate(HEIRS);
        let members = near.iter().filter_map(|vm| exchange.table.find(vm));
        let addresses: Vec<SocketAddr> = members.map(|m| m.line.address).collect();
        (exchange.farewell(), addresses)
    };
    let mut calls = tokio::task::JoinSet::new();
    for address in targets {
        let (core, frame) = (core.clone(), frame.clone());
        calls.spawn(async move {
            let sent: call::Result<Beat> =
                call::send(&core, address, peer::BEAT, &frame, ANSWER).await;
            sent.is_ok()
        });
    }
    while calls.join_next().await.is_some() {}
}

fn peers(exchange: &Exchange) -> Vec<view::Peer> {
    let peer = |line: &beat::Line| view::Peer {
        vm: line.vm.clone(),
        centre: line.centre.clone(),
        address: line.address,
        size: line.size,
        up: line.life != Life::Down,
        stopping: line.stopping,
    };
    let members = exchange.table.members().iter();
    members.map(|m| peer(&m.line)).collect()
}

fn owners(exchange: &Exchange) -> Vec<view::Owner> {
    let held = exchange.owners.lines().iter().filter(|line| !line.free);
    held.map(|line| view::Owner {
        shard: line.shard.clone(),
        vm: line.vm.clone(),
        epoch: line.epoch,
    })
    .collect()
}

/// Joins what keepers report with what the platform's list says: the earlier sign that an endpoint
/// leaves counts.
fn loads(exchange: &Exchange) -> Vec<view::Load> {
    let mut loads: Vec<view::Load> = exchange.loads.rows().iter().map(load).collect();
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

fn load(row: &members::loads::Row) -> view::Load {
    view::Load {
        endpoint: row.line.endpoint.clone(),
        up: row.line.up,
        leaving: row.line.leaving,
        running: row.line.running,
        waiting: row.line.waiting,
        speed: f64::from(row.line.speed),
        cache: row.line.cache,
        at: row.at,
    }
}

fn tell(change: &Change) {
    match change {
        Change::Up(vm) => log::info!("{} vm={vm}", Event::PeerUp),
        Change::Down(vm, reason) => log::warn!("{} vm={vm} reason={reason:?}", Event::PeerDown),
    }
}
