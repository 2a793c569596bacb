//! Asks endpoints for their load, and reads the platform's list where that is this VM's duty.

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
use crate::controllers::keeper::Poll;
use crate::controllers::keeper::Question;
use crate::controllers::keeper::Report;
use crate::controllers::members::Listed;
use crate::controllers::members::beat::Listing;
use crate::controllers::run::config;
use crate::controllers::run::members;
use crate::core::Core;
use crate::filters::route;
use crate::http::body;
use crate::peer;

/// How often it is looked what is due: a quarter of the time between two questions. Each look
/// chooses the keeper of every endpoint anew, which at 150 endpoints and 95 VMs of a centre is
/// 14,000 hashes.
const TURN: Millis = Millis::new(250);
/// How often the platform's list is read by the two VMs of a centre whose duty it is: 16 reads a
/// second in eight centres.
const LIST: Millis = Millis::new(1_000);
/// How long an endpoint may take to answer; half the time between two questions.
const ANSWER: Millis = Millis::new(500);
/// The longest report in bytes: 4 KB would do for a load, a cache may hold some thousand programs.
const MAX_REPORT: usize = 1024 * 1024;

/// What an endpoint holds, as it reports.
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
struct Held {
    shard: id::Shard,
    endpoint: id::Endpoint,
    /// Which of these are gone?
    programs: Vec<id::Program>,
    /// These are to be released, where they are gone.
    release: Vec<id::Program>,
}

/// What a shard's owner says.
#[derive(Serialize, Deserialize)]
struct Said {
    epoch: u64,
    gone: Vec<id::Program>,
}

/// Asks endpoints until the node has stopped.
pub async fn keep(core: Arc<Core>) {
    let mut next_list = Millis::ZERO;
    loop {
        let now = core.clock.now();
        ask_due(&core, now);
        if now >= next_list {
            next_list = now.plus(LIST);
            if config::on_duty(&core) {
                core.tasks.spawn(list(core.clone()));
            }
        }
        tokio::select! {
            () = sleep(TURN.as_duration()) => {}
            () = core.stopped.cancelled() => return,
        }
    }
}

fn ask_due(core: &Arc<Core>, now: Millis) {
    let config = core.view().config.clone();
    let vms: Vec<claims::Vm> = {
        let exchange = core.control.exchange();
        exchange
            .table
            .members()
            .iter()
            .map(claims::Vm::of)
            .collect()
    };
    let me = &core.settings.vm.name;
    let polls = core.control.keeper().due(&config.endpoints, &vms, me, now);
    for poll in polls {
        let core = core.clone();
        core.tasks.clone().spawn(async move {
            match poll.question {
                Question::Load => load(&core, &poll).await,
                Question::Cache => cache(&core, &poll).await,
            }
        });
    }
}

async fn load(core: &Core, poll: &Poll) {
    let report: Option<Report> = ask(core, poll, "/load").await;
    let now = core.clock.now();
    let answered = core
        .control
        .keeper()
        .answered(&poll.endpoint, report.as_ref(), now);
    let Some((line, tell)) = answered else {
        return;
    };
    let known = core.view().load(&poll.endpoint).is_some_and(|l| l.leaving);
    if line.leaving && !known {
        log::info!(
            "{} endpoint={} sign=report",
            Event::EndpointLeaving,
            poll.endpoint
        );
    }
    core.control.exchange().loads.keep(&line, tell, now);
    members::publish(core);
}

/// Asks a runner what it holds, and the owners of the programs whether these are gone.
async fn cache(core: &Arc<Core>, poll: &Poll) {
    let Some(report): Option<Cache> = ask(core, poll, "/cache").await else {
        return;
    };
    let held: Vec<id::Program> = report.programs.into_iter().map(|h| h.program).collect();
    core.control.sweep().held(&poll.endpoint, &held);
    let mut shards: Vec<(id::Shard, Vec<id::Program>)> = Vec::new();
    for program in held {
        let shard = route::shard(&core.settings, &program);
        match shards.binary_search_by(|(s, _)| s.cmp(&shard)) {
            Ok(at) => shards[at].1.push(program),
            Err(at) => shards.insert(at, (shard, vec![program])),
        }
    }
    for (shard, programs) in shards {
        sweep(core, &poll.endpoint, &shard, programs).await;
    }
}

/// Asks a shard's owner which programs are gone, and has it release those that have been for long.
async fn sweep(
    core: &Arc<Core>,
    endpoint: &id::Endpoint,
    shard: &id::Shard,
    programs: Vec<id::Program>,
) {
    let asked = Held {
        shard: shard.clone(),
        endpoint: endpoint.clone(),
        programs,
        release: Vec::new(),
    };
    let Some(Said { epoch, gone }) = say(core, &asked).await else {
        return;
    };
    let now = core.clock.now();
    let held = &asked.programs;
    let release = core
        .control
        .sweep()
        .answered(endpoint, epoch, held, &gone, now);
    if !release.is_empty() {
        let programs = Vec::new();
        let ordered = Held {
            programs,
            release,
            ..asked
        };
        let _asked_again_next_time = say(core, &ordered).await;
    }
}

async fn say(core: &Arc<Core>, held: &Held) -> Option<Said> {
    let view = core.view();
    let owner = view.owner(&held.shard)?;
    if owner.vm == core.settings.vm.name {
        return owner_says(core, held).await;
    }
    let address = view.peer(&owner.vm).filter(|p| p.up)?.address;
    let answer = call::send(core, address, peer::HELD, held, ANSWER).await;
    answer.ok()?
}

/// Answers for a shard that this VM owns which programs are gone, and releases what is asked.
pub async fn serve(core: &Arc<Core>, body: &[u8]) -> Option<Bytes> {
    let held: Held = call::decode(body)?;
    frame::encode(&owner_says(core, &held).await).ok()
}

async fn owner_says(core: &Core, held: &Held) -> Option<Said> {
    if !held.release.is_empty() {
        core.registry
            .sweep(&held.shard, &held.endpoint, &held.release);
    }
    let (epoch, gone) = core.registry.gone(&held.shard, &held.programs).await?;
    Some(Said { epoch, gone })
}

async fn ask<T: DeserializeOwned>(core: &Core, poll: &Poll, path: &str) -> Option<T> {
    let asked = async {
        let response = core.client.get(&poll.address, path).await.ok()?;
        if response.status() != StatusCode::OK {
            return None;
        }
        let whole = body::read(response.into_body(), MAX_REPORT, ANSWER)
            .await
            .ok()?;
        serde_json::from_slice(&whole).ok()
    };
    timeout(ANSWER.as_duration(), asked).await.ok()?
}

/// Reads the platform's list of VMs and endpoints.
async fn list(core: Arc<Core>) {
    let Ok(mut machines) = core.platform.machines().await else {
        return;
    };
    machines.sort_by(|a, b| a.name.cmp(&b.name));
    let now = core.clock.now();
    let endpoints = core.view().config.clone();
    let mut exchange = core.control.exchange();
    exchange
        .table
        .listed(|vm| listed(&machines, vm.as_str()), now);
    for endpoint in &endpoints.endpoints {
        // One that isn't listed may be too new for the list, or listed nowhere: that says nothing.
        let leaving = match listed(&machines, endpoint.name.as_str()) {
            Listed::Absent => continue,
            listed => listed == Listed::Leaving,
        };
        if leaving && !exchange.listings.leaves(&endpoint.name) {
            log::info!(
                "{} endpoint={} sign=list",
                Event::EndpointLeaving,
                endpoint.name
            );
            core.control.hurry.notify_one();
        }
        let finding = Listing {
            endpoint: id::Endpoint::clone(&endpoint.name),
            leaving,
            age: Millis::ZERO,
        };
        exchange.listings.merge(&finding, now);
    }
    drop(exchange);
    members::publish(&core);
}

fn listed(machines: &[Machine], name: &str) -> Listed {
    let found = machines.binary_search_by(|m| m.name.as_str().cmp(name));
    match found.map(|at| machines[at].standing) {
        Ok(Standing::Live) => Listed::Live,
        Ok(Standing::Leaving) => Listed::Leaving,
        Err(_) => Listed::Absent,
    }
}
