//! Starts the VMs, waits until their state is stable, and prints the resource usage of each without
//! load.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::process::Child;
use std::process::ChildStdin;
use std::process::ChildStdout;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write as Put;
use platform::etcd::Etcd;
use serde_json::Value;
use serde_json::json;
use standin::client;
use standin::http::Server;
use standin::platform as service;
use standin::runner;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::child::Usage;

/// How long the VMs' usage is measured.
const MEASUREMENT: Duration = Duration::from_secs(10);
/// The time between two checks whether shards still move.
const CHECK_INTERVAL: Duration = Duration::from_secs(4);
/// How many checks in a row must show the same: longer than a VM takes to become stable.
const STABLE_CHECKS: usize = 4;

/// The size of a run.
#[derive(Clone, Copy)]
struct Size {
    vms: usize,
    endpoints: usize,
    shards: u16,
}

const RUNS: [Size; 7] = [
    size(8, 0, 16),
    size(16, 0, 16),
    size(32, 0, 16),
    size(8, 16, 16),
    size(8, 64, 16),
    size(8, 0, 32),
    size(8, 0, 64),
];

const fn size(vms: usize, endpoints: usize, shards: u16) -> Size {
    Size {
        vms,
        endpoints,
        shards,
    }
}

/// Measures every size.
pub fn run() {
    let runtime = tokio::runtime::Runtime::new().expect("runtime");
    println!(
        "{:>4} {:>9} {:>6} | {:>8} {:>8} {:>9} {:>9} {:>9} | {:>9} {:>8} {:>8} {:>8}",
        "VMs",
        "endpoints",
        "shards",
        "% core",
        "MB",
        "frames/s",
        "body B/s",
        "http B/s",
        "load age",
        "reads/s",
        "writes/s",
        "watches"
    );
    for size in RUNS {
        runtime.block_on(measure(size));
    }
}

async fn measure(size: Size) {
    let platform = service::serve(bind().await, service::Settings::default(), Clock::System);
    let platform = platform.expect("platform");
    let mut runners = Vec::new();
    for _ in 0..size.endpoints {
        let served = runner::serve(bind().await, runner::Settings::default(), Clock::System);
        runners.push(served.expect("runner"));
    }
    configure(&platform, &runners).await;
    let mut vms: Vec<Vm> = Vec::new();
    for at in 0..size.vms {
        let seed = vms.first_mut().map(|vm| vm.usage().peers);
        vms.push(Vm::start(at, size, platform.address(), seed.as_deref()));
    }
    wait_until_stable(&mut vms).await;
    let stats = client::get(platform.address(), "/stats").await;
    let before: Vec<Usage> = vms.iter_mut().map(Vm::usage).collect();
    let start = Instant::now();
    tokio::time::sleep(MEASUREMENT).await;
    let after: Vec<Usage> = vms.iter_mut().map(Vm::usage).collect();
    let seconds = start.elapsed().as_secs_f64();
    let later = client::get(platform.address(), "/stats").await;
    check(size, &after);
    print(size, &before, &after, seconds);
    let rate = |name: &str| (number(&later, name) - number(&stats, name)) / seconds;
    println!(
        " {:>8.1} {:>8.1} {:>8.0}",
        rate("reads"),
        rate("writes"),
        number(&later, "watches")
    );
}

/// Waits until no shard has moved for [`STABLE_CHECKS`] checks.
async fn wait_until_stable(vms: &mut [Vm]) {
    let mut last = Vec::new();
    let mut same = 0;
    while same < STABLE_CHECKS {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let owned: Vec<usize> = vms.iter_mut().map(|vm| vm.usage().owned).collect();
        same = if owned == last { same + 1 } else { 0 };
        last = owned;
    }
}

fn check(size: Size, after: &[Usage]) {
    for vm in after {
        assert_eq!(vm.vms, size.vms, "a VM doesn't know all the others");
        assert_eq!(
            vm.owners,
            usize::from(size.shards),
            "a VM doesn't know the owner of every shard"
        );
        assert_eq!(vm.loads, size.endpoints, "a load isn't known");
    }
}

#[allow(clippy::cast_precision_loss)]
fn print(size: Size, before: &[Usage], after: &[Usage], seconds: f64) {
    let count = after.len() as f64;
    let mean = |read: fn(&Usage) -> u64| {
        let sum = |list: &[Usage]| list.iter().map(read).sum::<u64>() as f64;
        (sum(after) - sum(before)) / count / seconds
    };
    let frames = mean(|u| u.frames);
    let bytes = mean(|u| u.bytes);
    let memory = after.iter().map(|u| u.memory).max().unwrap_or(0) as f64 / 1_024.0;
    let age = after.iter().map(|u| u.age).sum::<u64>() as f64 / count;
    print!(
        "{:>4} {:>9} {:>6} | {:>8.3} {:>8.1} {:>9.2} {:>9.0} {:>9.0} | {:>6.0} ms",
        size.vms,
        size.endpoints,
        size.shards,
        mean(|u| u.cpu) / 1e7,
        memory,
        frames,
        bytes,
        bytes + frames * crate::model::HEAD_BYTES,
        age
    );
}

fn number(stats: &Value, name: &str) -> f64 {
    stats[name].as_f64().unwrap_or(f64::NAN)
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

async fn configure(platform: &Server, runners: &[Server]) {
    let endpoints = runners.iter().enumerate().map(|(at, runner)| {
        json!({"name": format!("runner{at:03}"), "kind": "runner", "centre": "c", "serves": ["m"],
               "address": runner.address().to_string(), "slots": 8})
    });
    let config = json!({"revision": 1, "endpoints": endpoints.collect::<Vec<_>>()});
    let put = Put::Put {
        key: "config".to_owned(),
        value: config.to_string().into_bytes(),
        lease: None,
    };
    let txn = Txn {
        compares: Vec::new(),
        writes: vec![put],
    };
    let etcd = Etcd::new(vec![platform.address()], Millis::new(2_000));
    etcd.commit(&txn, Priority::Change).await.expect("written");
}

struct Vm {
    process: Child,
    input: ChildStdin,
    output: BufReader<ChildStdout>,
}

impl Vm {
    fn start(at: usize, size: Size, platform: SocketAddr, seed: Option<&str>) -> Self {
        let Size { shards, .. } = size;
        let listen = "127.0.0.1:0";
        let mut text = format!(
            "[vm]\nname = \"vm{at:03}\"\ncentre = \"c\"\n[listen]\ncallers = \"{listen}\"\n\
             peers = \"{listen}\"\nadmin = \"{listen}\"\n[platform]\n\
             addresses = [\"{platform}\"]\n[[centres]]\nname = \"c\"\nshards = {shards}\n"
        );
        if let Some(seed) = seed {
            let peer = "[[peers]]\nname = \"vm000\"\ncentre = \"c\"\naddress = ";
            text.push_str(peer);
            text.push_str(&["\"", seed, "\"\n"].concat());
        }
        let program = std::env::current_exe().expect("the path of this program");
        let mut process = Command::new(program)
            .arg("child")
            .arg(text)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()
            .expect("a VM starts");
        let input = process.stdin.take().expect("piped");
        let output = BufReader::new(process.stdout.take().expect("piped"));
        Self {
            process,
            input,
            output,
        }
    }

    fn usage(&mut self) -> Usage {
        self.input.write_all(b"\n").expect("the VM runs");
        let mut line = String::new();
        self.output.read_line(&mut line).expect("the VM answers");
        serde_json::from_str(&line).expect("the usage as JSON")
    }
}

impl Drop for Vm {
    fn drop(&mut self) {
        let _already_gone = self.process.kill();
        let _reaped = self.process.wait();
    }
}
