//! Polls endpoints for their load and cache, and reads the platform's list if this VM is one of
//! those that do.

use std::sync::Arc;

use bytes::Bytes;
use hyper::StatusCode;
use platform::edge::Machine;
use platform::edge::Standing;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::event::Event;
use wire::frame;
use wire::id;

use crate::controllers::call;
use crate::controllers::claims;
use crate::controllers::members::Listed;
use crate::controllers::members::heartbeat::Listing;
use crate::controllers::poller::Poll;
use crate::controllers::poller::Question;
use crate::controllers::poller::Report;
use crate::controllers::run::config;
use crate::controllers::run::members;
use crate::core::Core;
use crate::filters::route;
use crate::http::body;
use crate::peer;

/// The time between two checks of which polls are due: a quarter of the time between two polls.
/// Each time the poller of every endpoint is chosen again, which is 14,000 hashes for 150 endpoints
/// and 95 VMs in a centre.
const SCHEDULE_INTERVAL: Millis = Millis::new(250);
/// The time between two reads of the platform's list by each of the two VMs of a centre that read
/// it: 16 reads a second in eight centres.
const LIST_INTERVAL: Millis = Millis::new(1_000);
/// How long an endpoint may take to answer; half the time between two polls.
const ANSWER_TIMEOUT: Millis = Millis::new(500);
/// The maximum size of a report. 4 KB would suffice for a load, but a cache may hold some thousand
/// programs.
const MAX_REPORT_BYTES: usize = 1024 * 1024;

/// An endpoint's report of the programs it has cached.
#[derive(Deserialize)]
struct Cache {
    programs: Vec<Holding>,
}

#[derive(Deserialize)]
struct Holding {
    program: id::Program,
}

/// Asks a shard's owner about programs that an endpoint holds.
#[derive(Serialize, Deserialize)]
struct GoneQuery {
    shard: id::Shard,
    endpoint: id::Endpoint,
    /// The programs about which the owner is asked whether they are gone.
    programs: Vec<id::Program>,
    /// The programs to release if they are gone.
    release: Vec<id::Program>,
}

/// The answer of a shard's owner.
#[derive(Serialize, Deserialize)]
struct GoneAnswer {
    epoch: u64,
    gone: Vec<id::Program>,
}

/// Polls endpoints until the node has stopped.
pub async fn run(core: Arc<Core>) {
    let mut next_list = Millis::ZERO;
    loop {
        let now = core.clock.now();
        send_due_polls(&core, now);
        if now >= next_list {
            next_list = now.plus(LIST_INTERVAL);
            if config::is_watcher(&core) {
                core.tasks.spawn(read_list(core.clone()));
            }
        }
        tokio::select! {
            () = sleep(SCHEDULE_INTERVAL.as_duration()) => {}
            () = core.stopped.cancelled() => return,
        }
    }
}

fn send_due_polls(core: &Arc<Core>, now: Millis) {
    let config = core.view().config.clone();
    let vms: Vec<claims::Vm> = {
        let exchange = core.control.exchange();
        exchange
            .table
            .members()
            .iter()
            .map(claims::Vm::from_member)
            .collect()
    };
    let me = &core.settings.vm.name;
    let polls = core.control.poller().due(&config.endpoints, &vms, me, now);
    for poll in polls {
        let core = core.clone();
        core.tasks.clone().spawn(async move {
            match poll.question {
                Question::Load => poll_load(&core, &poll).await,
                Question::Cache => poll_cache(&core, &poll).await,
            }
        });
    }
}

async fn poll_load(core: &Core, poll: &Poll) {
    let report: Option<Report> = query(core, poll, "/load").await;
    let now = core.clock.now();
    let answer = core
        .control
        .poller()
        .on_answer(&poll.endpoint, report.as_ref(), now);
    let Some((load, audience)) = answer else {
        return;
    };
    let already_known = core.view().load(&poll.endpoint).is_some_and(|l| l.leaving);
    if load.leaving && !already_known {
        log::info!(
            "{} endpoint={} sign=report",
            Event::EndpointLeaving,
            poll.endpoint
        );
    }
    core.control.exchange().loads.record(&load, audience, now);
    members::publish(core);
}

/// Asks a runner which programs it holds, and their owners whether these are gone.
async fn poll_cache(core: &Arc<Core>, poll: &Poll) {
    let Some(report): Option<Cache> = query(core, poll, "/cache").await else {
        return;
    };
    let held: Vec<id::Program> = report.programs.into_iter().map(|h| h.program).collect();
    core.control.sweep().retain_held(&poll.endpoint, &held);
    let mut shards: Vec<(id::Shard, Vec<id::Program>)> = Vec::new();
    for program in held {
        let shard = route::shard(&core.settings, &program);
        match shards.binary_search_by(|(s, _)| s.cmp(&shard)) {
            Ok(at) => shards[at].1.push(program),
            Err(at) => shards.insert(at, (shard, vec![program])),
        }
    }
    for (shard, programs) in shards {
        sweep_shard(core, &poll.endpoint, &shard, programs).await;
    }
}

/// Asks a shard's owner which programs are gone, and has it release those that have been gone for
/// the grace period.
async fn sweep_shard(
    core: &Arc<Core>,
    endpoint: &id::Endpoint,
    shard: &id::Shard,
    programs: Vec<id::Program>,
) {
    let query = GoneQuery {
        shard: shard.clone(),
        endpoint: endpoint.clone(),
        programs,
        release: Vec::new(),
    };
    let Some(GoneAnswer { epoch, gone }) = ask_owner(core, &query).await else {
        return;
    };
    let now = core.clock.now();
    let held = &query.programs;
    let release = core
        .control
        .sweep()
        .on_answer(endpoint, epoch, held, &gone, now);
    if !release.is_empty() {
        let programs = Vec::new();
        let release_request = GoneQuery {
            programs,
            release,
            ..query
        };
        let _repeated_next_time = ask_owner(core, &release_request).await;
    }
}

async fn ask_owner(core: &Arc<Core>, query: &GoneQuery) -> Option<GoneAnswer> {
    let view = core.view();
    let owner = view.owner(&query.shard)?;
    if owner.vm == core.settings.vm.name {
        return answer_as_owner(core, query).await;
    }
    let address = view.peer(&owner.vm).filter(|p| p.up)?.address;
    let answer = call::send(core, address, peer::HELD, query, ANSWER_TIMEOUT).await;
    answer.ok()?
}

/// Answers which programs of a shard that this VM owns are gone, and releases those that are to be
/// released.
pub async fn serve(core: &Arc<Core>, body: &[u8]) -> Option<Bytes> {
    let query: GoneQuery = call::decode(body)?;
    frame::encode(&answer_as_owner(core, &query).await).ok()
}

async fn answer_as_owner(core: &Core, query: &GoneQuery) -> Option<GoneAnswer> {
    if !query.release.is_empty() {
        core.registry
            .sweep(&query.shard, &query.endpoint, &query.release);
    }
    let (epoch, gone) = core.registry.gone(&query.shard, &query.programs).await?;
    Some(GoneAnswer { epoch, gone })
}

async fn query<T: DeserializeOwned>(core: &Core, poll: &Poll, path: &str) -> Option<T> {
    let request = async {
        let response = core.endpoint_client.get(&poll.address, path).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let bytes = body::read(response.into_body(), MAX_REPORT_BYTES, ANSWER_TIMEOUT)
            .await
            .ok()?;
        serde_json::from_slice(&bytes).ok()
    };
    timeout(ANSWER_TIMEOUT.as_duration(), request).await.ok()?
}

/// Reads the platform's list of VMs and endpoints.
async fn read_list(core: Arc<Core>) {
    let Ok(mut machines) = core.platform.machines().await else {
        return;
    };
    machines.sort_by(|a, b| a.name.cmp(&b.name));
    let now = core.clock.now();
    let configuration = core.view().config.clone();
    let mut exchange = core.control.exchange();
    exchange
        .table
        .apply_list(|vm| list_status(&machines, vm.as_str()), now);
    for endpoint in &configuration.endpoints {
        // An endpoint that isn't listed may be too new for the list, or may never be listed:
        // nothing follows from that.
        let leaving = match list_status(&machines, endpoint.name.as_str()) {
            Listed::Absent => continue,
            listed => listed == Listed::Leaving,
        };
        if leaving && !exchange.listings.leaves(&endpoint.name) {
            log::info!(
                "{} endpoint={} sign=list",
                Event::EndpointLeaving,
                endpoint.name
            );
            core.control.urgent.notify_one();
        }
        let listing = Listing {
            endpoint: id::Endpoint::clone(&endpoint.name),
            leaving,
            age: Millis::ZERO,
        };
        exchange.listings.merge(&listing, now);
    }
    drop(exchange);
    members::publish(&core);
}

fn list_status(machines: &[Machine], name: &str) -> Listed {
    let found = machines.binary_search_by(|m| m.name.as_str().cmp(name));
    match found.map(|at| machines[at].standing) {
        Ok(Standing::Live) => Listed::Live,
        Ok(Standing::Leaving) => Listed::Leaving,
        Err(_) => Listed::Absent,
    }
}
