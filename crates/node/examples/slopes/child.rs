//! The process of one VM. It answers each line on its standard input with its resource usage so
//! far, and exits at the end of the input.

use std::io::BufRead;
use std::sync::atomic::Ordering;

use node::start;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Clock;

/// The resource usage and the state of a process.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Usage {
    /// CPU time of all threads, in nanoseconds.
    pub cpu: u64,
    /// Resident memory, in kilobytes.
    pub memory: u64,
    /// The number of control frames sent.
    pub frames: u64,
    /// The total length of their bodies in bytes.
    pub bytes: u64,
    /// The number of VMs that it considers up.
    pub vms: usize,
    /// The number of shards whose owner it knows.
    pub owners: usize,
    /// The number of shards that it owns.
    pub owned: usize,
    /// The number of endpoints whose load it knows.
    pub loads: usize,
    /// The mean age of these loads, in milliseconds.
    pub age: u64,
    /// The address of its listener for VMs.
    pub peers: String,
}

/// Runs the VM until the input ends.
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
        let usage = usage(&node);
        println!("{}", serde_json::to_string(&usage).expect("json"));
    }
    std::process::exit(0);
}

fn usage(node: &start::Handle) -> Usage {
    let core = node.core();
    let view = core.view();
    let traffic = &core.control.traffic;
    let now = core.clock.now();
    let ages = view.loads.iter().map(|l| now.since(l.at).as_u64());
    Usage {
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

/// Returns the CPU time of all threads in nanoseconds, as the kernel counts it.
fn cpu() -> u64 {
    let tasks = std::fs::read_dir("/proc/self/task").expect("threads");
    let times = tasks.filter_map(|task| {
        let text = std::fs::read_to_string(task.ok()?.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    times.sum()
}

/// Returns the resident memory in kilobytes.
fn memory() -> u64 {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|n| n.parse().ok()).unwrap_or(0)
}
