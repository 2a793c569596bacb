//! Short runs of the soak test with real processes, and of the seeds that once failed a check.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use soak::check::Check;
use soak::fault::Kind;
use soak::plan::Plan;
use soak::regression;
use soak::regression::Run;
use soak::report::Report;
use tokio::task::JoinSet;
use wire::clock::Millis;

/// The runs that once failed a check.
const REGRESSIONS: &str = include_str!("../../soak/regressions.toml");
/// How long clients send requests in the short form of those runs; the last part is without faults.
const SHORT_SPAN: Millis = Millis::new(22_000);
/// How many of those runs are played concurrently: each has a dozen processes.
const CONCURRENT_RUNS: usize = 2;
/// How long clients send requests.
const SPAN: Millis = Millis::new(36_000);

/// Returns the folder in which the processes write: in memory if the machine has such a folder.
/// On a disk that others use too, a sync may take a second. That counts as a disruption, and
/// the guarantees for stops and reloads aren't checked for the requests that it affects.
fn folder() -> PathBuf {
    let memory = Path::new("/dev/shm");
    if memory.is_dir() {
        return memory.to_owned();
    }
    env::temp_dir()
}

fn binary() -> PathBuf {
    PathBuf::from(env!("CARGO_BIN_EXE_chestnutyoke"))
}

/// Returns the folder of one run.
fn folder_of(run: &str) -> PathBuf {
    folder().join(format!("chestnutyoke-soak-{}-{run}", process::id()))
}

async fn play(plan: Plan) -> Report {
    let report = soak::run(&plan).await.unwrap();
    assert!(report.is_clean(), "{}\n{report}", plan.folder.display());
    fs::remove_dir_all(&plan.folder).unwrap();
    report
}

/// VMs are stopped one after the other and, in one data centre, at the same time; if one of three
/// is left there, the balancer continues to send to all. Clients keep their connections, open new
/// ones where the balancer sends them, and run programs. Every request that a stopping VM has read
/// gets a complete answer, and each process ends by itself within its grace period.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overlapping_stops_lose_nothing() {
    let report = play(Plan {
        binary: binary(),
        folder: folder_of("stops"),
        seed: 11,
        span: SPAN,
        vms: 9,
        runners: 6,
        clients: 12,
        kinds: vec![Kind::Stops, Kind::Overlap, Kind::Configure],
    })
    .await;
    for check in [Check::Lost, Check::Stops, Check::Once, Check::Chain] {
        let row = report.checks.row(check);
        assert!(row.exercised > 0, "{check:?} was never exercised: {report}");
    }
}

/// Replays the beginning of each run that once failed a check, two at a time. Whole runs are
/// replayed manually.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn seeds_that_once_failed_pass_in_short_form() {
    let runs = regression::parse(REGRESSIONS).unwrap();
    let plan =
        |(at, run): (usize, &Run)| run.plan(binary(), folder_of(&at.to_string()), SHORT_SPAN);
    let plans: Vec<Plan> = runs.iter().enumerate().map(plan).collect();
    for concurrent in plans.chunks(CONCURRENT_RUNS) {
        let mut playing = JoinSet::new();
        for plan in concurrent {
            playing.spawn(play(plan.clone()));
        }
        playing.join_all().await;
    }
}

/// Links between VMs, between clients and VMs, and to the store and the runners are slow, cut,
/// silent or reset, while clients and runners send slowly, stop half-way, and VMs stop. What
/// clients are told stays true: nothing runs twice or with other content, and no turn with a
/// complete answer is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn disturbed_links_break_no_promise() {
    let report = play(Plan {
        binary: binary(),
        folder: folder_of("links"),
        seed: 7,
        span: SPAN,
        vms: 6,
        runners: 6,
        clients: 12,
        kinds: vec![
            Kind::VmLink,
            Kind::ClientLink,
            Kind::StoreLink,
            Kind::RunnerLink,
            Kind::RunnerSlow,
            Kind::SlowBodies,
            Kind::Stops,
        ],
    })
    .await;
    for check in [Check::Once, Check::Asked, Check::Kept, Check::Chain] {
        let row = report.checks.row(check);
        assert!(row.exercised > 0, "{check:?} was never exercised: {report}");
    }
}
