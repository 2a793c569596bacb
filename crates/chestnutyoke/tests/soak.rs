//! A short run of the fault soak with the real processes, and the seeds that once showed a fault.

use std::env;
use std::fs;
use std::path::Path;
use std::path::PathBuf;
use std::process;

use soak::check::Check;
use soak::fault::Kind;
use soak::plan::Plan;
use soak::report::Report;
use wire::clock::Millis;

/// How long clients ask.
const SPAN: Millis = Millis::new(36_000);

/// Yields where the processes write: in memory, where the machine has such a folder. Others use its
/// disk as well, and what is disturbed by a sync of a second isn't judged as beside planned work.
fn folder() -> PathBuf {
    let memory = Path::new("/dev/shm");
    if memory.is_dir() {
        return memory.to_owned();
    }
    env::temp_dir()
}

async fn play(seed: u64, kinds: &[Kind]) -> Report {
    let name = format!("chestnutyoke-soak-{}-{seed}", process::id());
    let plan = Plan {
        binary: PathBuf::from(env!("CARGO_BIN_EXE_chestnutyoke")),
        folder: folder().join(name),
        seed,
        span: SPAN,
        vms: 9,
        runners: 6,
        clients: 12,
        kinds: kinds.to_vec(),
    };
    let report = soak::run(&plan).await.unwrap();
    assert!(report.is_clean(), "{}\n{report}", plan.folder.display());
    fs::remove_dir_all(&plan.folder).unwrap();
    report
}

/// VMs are stopped one after the other and, in one data centre, at the same time; where one of three is
/// left there, the balancer goes on sending to all. Clients keep their connections, open new ones where
/// the balancer sends them, and run programs. Whatever a stopping VM has read is answered whole, and each process ends by itself within its grace.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn overlapping_stops_lose_nothing() {
    let report = play(11, &[Kind::Stops, Kind::Overlap, Kind::Configure]).await;
    for check in [Check::Lost, Check::Stops, Check::Once, Check::Chain] {
        let row = report.checks.row(check);
        assert!(row.exercised > 0, "{check:?} was never exercised: {report}");
    }
}
