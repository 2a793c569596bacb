//! A fault soak: the product's real processes on loopback addresses of their own, with stand-ins for
//! the platform around them, while faults come from outside and the promises to clients are checked.

use std::fmt::Debug;
use std::io;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use wire::clock::Millis;

use crate::check::Check;
use crate::client::Client;
use crate::disk::Stalls;
use crate::fleet::DISKS;
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::report::Report;
use crate::report::Sample;
use crate::schedule::Size;
use crate::schedule::Step;
use crate::world::World;

pub mod balancer;
pub mod body;
pub mod check;
pub mod client;
pub mod connection;
pub mod disk;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod opener;
pub mod oracle;
pub mod plan;
pub mod plot;
pub mod process;
pub mod proxy;
pub mod regression;
pub mod report;
pub mod request;
pub mod schedule;
pub mod vm;
pub mod world;

/// How often the soak looks whether it is late itself.
const TICK: Duration = Duration::from_millis(10);
/// How often the report's timeline has a point.
const SAMPLE: Duration = Duration::from_secs(1);
/// Until nothing is disturbed any more at the end, before how requests fare is judged.
const SETTLE: u64 = 4_000;

/// Plays a run.
///
/// # Errors
///
/// Fails where processes can't be started or signalled, or don't get ready.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let fleet = Arc::new(Fleet::new(plan).await?);
    let mut processes = JoinSet::new();
    for vm in &fleet.vms {
        processes.spawn(vm.clone().run(fleet.world.clone()));
    }
    tokio::select! {
        ready = fleet.ready() => ready?,
        ended = processes.join_next() => return Err(ended_early(&ended)),
    }
    let traffic_from = fleet.world.oracle().now();
    let played = tokio::select! {
        played = play(plan, &fleet) => played?,
        ended = processes.join_next() => return Err(ended_early(&ended)),
    };
    let mut oracle = fleet.world.oracle();
    for vm in &fleet.vms {
        oracle.note_vm(Check::Lives, vm.place.at, None);
    }
    oracle.end();
    Ok(Report {
        seed: plan.seed,
        traffic_from,
        done: played.done,
        counts: oracle.counts,
        samples: played.samples,
        checks: oracle.book.clone(),
        calm: oracle.calm().to_vec(),
        late: played.late,
        disk: played.disk,
    })
}

fn ended_early(ended: &impl Debug) -> io::Error {
    io::Error::other(format!("a VM can't be run: {ended:?}"))
}

struct Played {
    done: Vec<Step>,
    late: Millis,
    samples: Vec<Sample>,
    disk: Stalls,
}

async fn play(plan: &Plan, fleet: &Arc<Fleet>) -> io::Result<Played> {
    let begun = Instant::now();
    let until = begun + plan.span.as_duration();
    let mut clients = JoinSet::new();
    for at in 0..plan.clients {
        clients.spawn(Client::new(fleet.world.clone(), at, plan.seed).run(until));
    }
    let balancer = tokio::spawn(balance(fleet.clone()));
    let lateness = tokio::spawn(measure(until));
    let samples = tokio::spawn(sample(fleet.world.clone(), until));
    let (world, folder) = (fleet.world.clone(), plan.folder.clone());
    let watch = tokio::spawn(async move { disk::watch(world, &folder, until).await });
    let size = Size {
        callers: plan.vms,
        disks: DISKS,
        centres: DISKS,
        runners: plan.runners,
    };
    let mut faults = JoinSet::new();
    let mut done = Vec::new();
    for step in schedule::draw(plan.seed, plan.span, &plan.kinds, size) {
        sleep_until(begun + step.at.as_duration()).await;
        let at = fleet.world.oracle().now();
        let fault = step.fault;
        done.push(Step { at, fault });
        let fleet = fleet.clone();
        faults.spawn(async move { fleet.apply(fault).await });
    }
    while let Some(ended) = faults.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    {
        let mut oracle = fleet.world.oracle();
        let from = oracle.now().plus(Millis::new(SETTLE));
        oracle.history.quiet(from);
    }
    while let Some(ended) = clients.join_next().await {
        ended.map_err(io::Error::other)?;
    }
    balancer.abort();
    Ok(Played {
        done,
        late: lateness.await.map_err(io::Error::other)?,
        samples: samples.await.map_err(io::Error::other)?,
        disk: watch.await.map_err(io::Error::other)??,
    })
}

async fn balance(fleet: Arc<Fleet>) {
    loop {
        sleep(balancer::ASK).await;
        fleet.world.balancer.ask().await;
    }
}

/// Notes again and again how attempts have ended.
async fn sample(world: Arc<World>, until: Instant) -> Vec<Sample> {
    let mut samples = Vec::new();
    while Instant::now() < until {
        {
            let oracle = world.oracle();
            samples.push(Sample {
                at: oracle.now(),
                counts: oracle.counts,
            });
        }
        sleep(SAMPLE).await;
    }
    samples
}

/// Measures by how much the soak itself is late at most.
async fn measure(until: Instant) -> Millis {
    let mut most = Duration::ZERO;
    while Instant::now() < until {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        most = most.max(due.elapsed());
    }
    Millis::from(most)
}
