//! Gets the configuration from the platform and from other VMs, and makes operators' changes.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use platform::edge;
use platform::edge::Change as Changed;
use serde::Deserialize;
use serde::Serialize;
use settings::config::Config;
use tokio::time::sleep;
use wire::clock::Millis;
use wire::event::Event;
use wire::frame;
use wire::id;

use crate::controllers::call;
use crate::controllers::config::Boot;
use crate::controllers::config::InForce;
use crate::controllers::config::KEY;
use crate::controllers::config::Offer;
use crate::controllers::config::POLL_INTERVAL;
use crate::controllers::config::Rollout;
use crate::controllers::config::Source;
use crate::controllers::config::WATCHERS;
use crate::controllers::config::boot as decide;
use crate::controllers::config::change;
use crate::controllers::config::change::Outcome;
use crate::controllers::config::edit::Edit;
use crate::controllers::config::parse;
use crate::controllers::config::rollout as classify;
use crate::controllers::members::heartbeat::Liveness;
use crate::controllers::rendezvous;
use crate::controllers::rendezvous::Candidate;
use crate::controllers::run::members;
use crate::core::Core;
use crate::peer;

/// How long a VM may take to send the configuration.
const PULL_TIMEOUT: Millis = Millis::new(1_000);
/// The delay between two attempts of a VM that starts and finds no configuration.
const BOOT_RETRY_DELAY: Millis = Millis::new(500);
/// The time between two checks of whether this VM is one of the watchers, and between two reads of
/// the key by a watcher. Half of the users' limit of 4 s.
const WATCHER_CHECK_INTERVAL: Millis = Millis::new(2_000);
/// How long the outcome of a change in doubt is investigated before the operator is told that it is
/// unknown.
const CHANGE_TIMEOUT: Millis = Millis::new(3_000);
/// Number of VMs in each centre that get an accepted change before the operator is answered. With
/// three, the change survives the loss of the accepting VM and two others in an outage that begins
/// right afterwards, and 24 of 380 VMs forward it.
const PUSHES_PER_CENTRE: usize = 3;
/// How long the operator waits until a change is in force on the VMs. The users' limit is 4 s.
const ROLLOUT_TIMEOUT: Millis = Millis::new(3_000);
/// The delay between two rounds of asking VMs whether a change is in force.
const SURVEY_INTERVAL: Millis = Millis::new(200);
/// Number of VMs that are asked at once.
const SURVEY_CONCURRENCY: usize = 32;

/// How log lines name the platform as the source of a revision.
const PLATFORM: &str = "platform";

/// A request for the configuration.
#[derive(Serialize, Deserialize)]
struct Pull {}

/// The configuration in the format of the platform; absent if the VM is starting itself.
#[derive(Serialize, Deserialize)]
struct Document {
    config: Option<Bytes>,
}

/// Takes the highest configuration of platform and peers, and returns when the VM may serve.
pub async fn boot(core: &Arc<Core>) {
    loop {
        let (platform, peers) = tokio::join!(read(core), ask_peers(core));
        if let Boot::Serve(config) = decide(&platform, &peers) {
            apply(core, &config, "start");
            return;
        }
        log::warn!(
            "{} reason=\"no configuration available yet\"",
            Event::NodeStarted
        );
        tokio::select! {
            () = sleep(BOOT_RETRY_DELAY.as_duration()) => {}
            () = core.stopped.cancelled() => return,
        }
    }
}

/// Follows the platform's key: watches it if this VM is a watcher, and otherwise reads it every
/// [`POLL_INTERVAL`].
pub async fn follow(core: Arc<Core>) {
    let follow = async {
        // The first wait is random, so that VMs that started together don't read together.
        let mut wait = Millis::new(rand::random::<u64>() % POLL_INTERVAL.as_u64());
        loop {
            if is_watcher(&core) {
                watch(&core).await;
            }
            sleep(WATCHER_CHECK_INTERVAL.as_duration()).await;
            wait = Millis::new(
                wait.as_u64()
                    .saturating_sub(WATCHER_CHECK_INTERVAL.as_u64()),
            );
            if wait == Millis::ZERO {
                wait = POLL_INTERVAL;
                offer(&core, read(&core).await, PLATFORM);
            }
        }
    };
    tokio::select! {
        () = follow => {}
        () = core.stopped.cancelled() => {}
    }
}

/// Answers with the configuration in force.
pub fn serve(core: &Core, body: &[u8]) -> Option<Bytes> {
    let Pull {} = call::decode(body)?;
    let config = core.control.current_config().config().cloned();
    let config = config.and_then(|config| serde_json::to_vec(&*config).ok());
    let document = Document {
        config: config.map(Bytes::from),
    };
    frame::encode(&document).ok()
}

/// Takes the configuration of another VM if its revision is higher.
pub async fn pull(core: &Arc<Core>, from: SocketAddr) {
    offer(core, pull_from(core, from).await, &from.to_string());
}

/// Makes an operator's change. An accepted change is sent to VMs of each centre. Also returns on
/// which VMs it is in force.
pub async fn make(core: &Arc<Core>, edit: Edit, expected: Option<u64>) -> (Outcome, Rollout) {
    let deadline = core.clock.now().plus(CHANGE_TIMEOUT);
    let change = change::Change::new(edit, rand::random(), expected, deadline);
    let outcome = change::run(core.platform.as_ref(), &core.clock, change).await;
    let mut reached = Rollout::default();
    if let Outcome::Accepted(config) = &outcome {
        apply(core, &Arc::new((**config).clone()), "change");
        members::heartbeats(core, push_targets(core), members::PULL_TIMEOUT).await;
        reached = survey(core, config.revision).await;
    }
    (outcome, reached)
}

/// Divides the VMs into those on which this or a higher revision is in force, those on which it
/// isn't, and those that are down, according to their heartbeats.
#[must_use]
pub fn rollout(core: &Core, revision: u64) -> Rollout {
    let exchange = core.control.exchange();
    let members = exchange.table.members().iter().map(|m| InForce {
        vm: m.status.vm.clone(),
        revision: m.status.revision,
        up: m.status.liveness != Liveness::Down,
    });
    classify(revision, &members.collect::<Vec<_>>())
}

/// Asks the VMs that aren't known to have a revision, until all have it or [`ROLLOUT_TIMEOUT`] has
/// passed.
pub async fn survey(core: &Arc<Core>, revision: u64) -> Rollout {
    let end = core.clock.now().plus(ROLLOUT_TIMEOUT);
    loop {
        let known = rollout(core, revision);
        if known.behind.is_empty() || core.clock.now() >= end {
            return known;
        }
        for batch in known.behind.chunks(SURVEY_CONCURRENCY) {
            members::heartbeats(core, batch.to_vec(), members::PULL_TIMEOUT).await;
        }
        if !rollout(core, revision).behind.is_empty() {
            sleep(SURVEY_INTERVAL.as_duration()).await;
        }
    }
}

fn push_targets(core: &Core) -> Vec<id::Vm> {
    let exchange = core.control.exchange();
    let own = &exchange.table.own().vm;
    let live = |centre: &id::Centre| {
        let members = exchange.table.members().iter().map(|m| &m.status);
        let live =
            members.filter(|s| s.centre == *centre && s.liveness == Liveness::Up && s.vm != *own);
        let names: Vec<id::Vm> = live.take(PUSHES_PER_CENTRE).map(|s| s.vm.clone()).collect();
        names
    };
    let centres = core.settings.centres.iter().map(|c| &c.name);
    centres.flat_map(live).collect()
}

fn apply(core: &Core, config: &Arc<Config>, from: &str) {
    let offer = core.control.current_config().offer(config);
    match offer {
        Offer::Taken => {}
        Offer::Known | Offer::Older => return,
        Offer::Forked => {
            let revision = config.revision;
            log::error!(
                "{} revision={revision} reason=\"another document with this revision is in force\"",
                Event::RevisionDropped
            );
            return;
        }
    }
    // Another document may have been taken in the meantime, so this publishes the one in force.
    core.view.send_if_modified(|view| {
        let held = core.control.current_config().config().cloned();
        let Some(held) = held.filter(|h| h.revision >= view.config.revision) else {
            return false;
        };
        Arc::make_mut(view).config = held;
        true
    });
    let revision = core.control.current_config().revision();
    core.control
        .exchange()
        .table
        .set_own(|own| own.revision = revision);
    core.control.urgent.notify_one();
    log::info!("{} revision={revision} from={from}", Event::RevisionApplied);
}

fn offer(core: &Core, source: Source, from: &str) {
    if let Source::Holds(config) = source {
        apply(core, &config, from);
    }
}

async fn read(core: &Core) -> Source {
    source(core.platform.read(KEY).await)
}

fn source(read: edge::Result<Option<edge::Entry>>) -> Source {
    match read {
        Err(_) => Source::Silent,
        Ok(None) => Source::Holds(Arc::default()),
        Ok(Some(entry)) => match parse(&entry.value) {
            Ok(config) => Source::Holds(Arc::new(config)),
            Err(fault) => {
                log::error!("{} key={KEY} reason=\"{fault}\"", Event::RevisionDropped);
                Source::Silent
            }
        },
    }
}

async fn ask_peers(core: &Arc<Core>) -> Vec<Source> {
    let mut asks = tokio::task::JoinSet::new();
    let addresses: Vec<SocketAddr> = {
        let exchange = core.control.exchange();
        let own = &exchange.table.own().vm;
        let others = exchange
            .table
            .members()
            .iter()
            .filter(|m| m.status.vm != *own);
        others.map(|m| m.status.address).collect()
    };
    for address in addresses {
        let core = core.clone();
        asks.spawn(async move { pull_from(&core, address).await });
    }
    asks.join_all().await
}

async fn pull_from(core: &Core, address: SocketAddr) -> Source {
    let answer = call::send(core, address, peer::CONFIG, &Pull {}, PULL_TIMEOUT).await;
    let Ok(Document {
        config: Some(bytes),
    }) = answer
    else {
        return Source::Silent;
    };
    parse(&bytes).map_or(Source::Silent, |config| Source::Holds(Arc::new(config)))
}

/// Returns whether this VM is one of the [`WATCHERS`] of its data centre.
#[must_use]
pub fn is_watcher(core: &Core) -> bool {
    let exchange = core.control.exchange();
    let own = exchange.table.own();
    let members = exchange.table.members().iter().map(|m| &m.status);
    let eligible =
        members.filter(|s| s.centre == own.centre && s.liveness != Liveness::Down && !s.stopping);
    let candidates = eligible.map(|s| Candidate {
        vm: &s.vm,
        size: s.size,
    });
    rendezvous::choose_several(KEY, candidates, WATCHERS).contains(&&own.vm)
}

/// Watches the key until the watch ends or this VM is no longer a watcher. Also reads it now and
/// then: a platform that has lost a watch without ending it reports no change any more.
async fn watch(core: &Core) {
    let read = core.platform.read(KEY).await;
    let from = match &read {
        Ok(Some(entry)) => entry.revision + 1,
        Ok(None) => 1,
        Err(_) => return,
    };
    offer(core, source(read), PLATFORM);
    let Ok(mut changes) = core.platform.watch(KEY, from).await else {
        return;
    };
    loop {
        tokio::select! {
            change = changes.recv() => match change {
                Some(Changed::Set(entry)) if entry.key == KEY => offer(core, source(Ok(Some(entry))), PLATFORM),
                Some(_) => {}
                None => return,
            },
            () = sleep(WATCHER_CHECK_INTERVAL.as_duration()) => {
                if !is_watcher(core) {
                    return;
                }
                offer(core, self::read(core).await, PLATFORM);
            }
        }
    }
}
