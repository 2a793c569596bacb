//! A soak test under faults. It runs the product's real processes on loopback addresses of their
//! own, with stand-ins for the platform around them, injects faults from outside and checks the
//! guarantees given to clients.

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
use crate::context::Context;
use crate::disk::Stalls;
use crate::fleet::DISK_VMS;
use crate::fleet::Fleet;
use crate::plan::Plan;
use crate::report::Report;
use crate::report::Sample;
use crate::schedule::Size;
use crate::schedule::Step;

pub mod balancer;
pub mod body;
pub mod check;
pub mod client;
pub mod connection;
pub mod context;
pub mod disk;
pub mod fault;
pub mod fleet;
pub mod history;
pub mod hostile;
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

/// The interval at which the soak measures its own lateness.
const TICK: Duration = Duration::from_millis(10);
/// The interval between two points of the report's timeline.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);
/// The time after the last fault until the quiet phase begins, in which turns have to be served
/// again.
const SETTLE_MS: u64 = 4_000;

/// Performs a run and returns its report.
///
/// # Errors
///
/// Fails if processes can't be started or signalled, or don't become ready in time.
pub async fn run(plan: &Plan) -> io::Result<Report> {
    let fleet = Arc::new(Fleet::new(plan).await?);
    let mut processes = JoinSet::new();
    for vm in &fleet.vms {
        processes.spawn(vm.clone().run(fleet.context.clone()));
    }
    tokio::select! {
        ready = fleet.wait_until_ready() => ready?,
        ended = processes.join_next() => return Err(ended_early(&ended)),
    }
    let traffic_from = fleet.context.oracle().now();
    let traffic = tokio::select! {
        traffic = play(plan, &fleet) => traffic?,
        ended = processes.join_next() => return Err(ended_early(&ended)),
    };
    let mut oracle = fleet.context.oracle();
    for vm in &fleet.vms {
        oracle.record_vm(Check::Lives, vm.config.index, None);
    }
    oracle.check_whole_run();
    Ok(Report {
        seed: plan.seed,
        traffic_from,
        done: traffic.done,
        counts: oracle.counts,
        samples: traffic.samples,
        checks: oracle.results.clone(),
        undisturbed_closes: oracle.undisturbed_closes().to_vec(),
        late: traffic.late,
        disk: traffic.disk,
    })
}

fn ended_early(ended: &impl Debug) -> io::Error {
    io::Error::other(format!("a VM can't be run: {ended:?}"))
}

struct Traffic {
    done: Vec<Step>,
    late: Millis,
    samples: Vec<Sample>,
    disk: Stalls,
}

async fn play(plan: &Plan, fleet: &Arc<Fleet>) -> io::Result<Traffic> {
    let started = Instant::now();
    let end = started + plan.span.as_duration();
    let mut clients = JoinSet::new();
    for index in 0..plan.clients {
        clients.spawn(Client::new(fleet.context.clone(), index, plan.seed).run(end));
    }
    let balancer = tokio::spawn(probe_vms(fleet.clone()));
    let hostile = tokio::spawn(hostile::run(fleet.context.clone(), plan.seed));
    let lateness = tokio::spawn(measure_lateness(end));
    let samples = tokio::spawn(sample(fleet.context.clone(), end));
    let (context, folder) = (fleet.context.clone(), plan.folder.clone());
    let watch = tokio::spawn(async move { disk::watch(context, &folder, end).await });
    let size = Size {
        callers: plan.vms,
        disks: DISK_VMS,
        centres: DISK_VMS,
        runners: plan.runners,
    };
    let mut faults = JoinSet::new();
    let mut done = Vec::new();
    for step in schedule::generate(plan.seed, plan.span, &plan.kinds, size) {
        sleep_until(started + step.at.as_duration()).await;
        let at = fleet.context.oracle().now();
        let fault = step.fault;
        done.push(Step { at, fault });
        let fleet = fleet.clone();
        faults.spawn(async move { fleet.apply(fault).await });
    }
    while let Some(ended) = faults.join_next().await {
        ended.map_err(io::Error::other)??;
    }
    {
        let mut oracle = fleet.context.oracle();
        let from = oracle.now().plus(Millis::new(SETTLE_MS));
        oracle.history.note_quiet(from);
    }
    while let Some(ended) = clients.join_next().await {
        ended.map_err(io::Error::other)?;
    }
    balancer.abort();
    hostile.abort();
    Ok(Traffic {
        done,
        late: lateness.await.map_err(io::Error::other)?,
        samples: samples.await.map_err(io::Error::other)?,
        disk: watch.await.map_err(io::Error::other)??,
    })
}

async fn probe_vms(fleet: Arc<Fleet>) {
    loop {
        sleep(balancer::PROBE_INTERVAL).await;
        fleet.context.balancer.probe().await;
    }
}

/// Samples the counts of attempts until `end`.
async fn sample(context: Arc<Context>, end: Instant) -> Vec<Sample> {
    let mut samples = Vec::new();
    while Instant::now() < end {
        {
            let oracle = context.oracle();
            samples.push(Sample {
                at: oracle.now(),
                counts: oracle.counts,
            });
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    samples
}

/// Measures the longest delay of the soak itself until `end`.
async fn measure_lateness(end: Instant) -> Millis {
    let mut most = Duration::ZERO;
    while Instant::now() < end {
        let due = Instant::now() + TICK;
        sleep_until(due).await;
        most = most.max(due.elapsed());
    }
    Millis::from(most)
}
