//! One VM. Each line on its input is answered with what the process has used so far; the input's
//! end is the process's.

use std::io::BufRead;
use std::sync::atomic::Ordering;

use node::start;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Clock;

/// What a process has used.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Used {
    /// Processor time of all threads, in nanoseconds.
    pub cpu: u64,
    /// Resident memory, in kilobytes.
    pub memory: u64,
    /// Control frames sent.
    pub frames: u64,
    /// Bytes of their bodies.
    pub bytes: u64,
    /// VMs that it thinks up.
    pub vms: usize,
    /// Owners of shards that it knows.
    pub owners: usize,
    /// Shards that it owns.
    pub owned: usize,
    /// Endpoints whose load it knows.
    pub loads: usize,
    /// The mean age of the loads, in milliseconds.
    pub age: u64,
    /// Its listener for VMs.
    pub peers: String,
}

/// Runs until the input ends.
pub fn run(settings: &str) {
    let settings = settings::vm::parse(settings).expect("settings");
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    let node = runtime.block_on(start::start(settings, Clock::System));
    let node = node.expect("node");
    for _line in std::io::stdin().lock().lines() {
        let used = used(&node);
        println!("{}", serde_json::to_string(&used).expect("json"));
    }
    std::process::exit(0);
}

fn used(node: &start::Handle) -> Used {
    let core = node.core();
    let view = core.view();
    let traffic = &core.control.traffic;
    let now = core.clock.now();
    let ages = view.loads.iter().map(|l| now.since(l.at).as_u64());
    Used {
        cpu: cpu(),
        memory: memory(),
        frames: traffic.frames.load(Ordering::Relaxed),
        bytes: traffic.bytes.load(Ordering::Relaxed),
        vms: view.peers.iter().filter(|p| p.up).count(),
        owners: view.owners.len(),
        owned: core.registry.owned().len(),
        loads: view.loads.len(),
        age: ages.sum::<u64>() / (view.loads.len() as u64).max(1),
        peers: node.peers().to_string(),
    }
}

/// Sums the time on a processor over all threads, as the kernel counts it.
fn cpu() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("threads");
    let times = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    times.sum()
}

fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
