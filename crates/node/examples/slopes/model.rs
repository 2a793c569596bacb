//! Simulates the heartbeats of large fleets in one process under a simulated clock.

#[path = "../../tests/support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::Fleet;
use fleet::TICK;
use node::controllers::members::heartbeat::Load;
use node::controllers::poller::Audience;
use wire::clock::Millis;
use wire::id;

/// The length in bytes of a frame's HTTP head: request or status line, content type, content
/// length, and host or date.
pub const HEAD_BYTES: f64 = 112.0;

/// The simulated fleets: data centres, VMs per centre, endpoints per centre. The second has data
/// centres of the target size, the last has the target number of VMs; both together take too long.
const RUNS: [(usize, usize, usize); 5] =
    [(3, 3, 5), (2, 48, 75), (8, 12, 19), (8, 24, 38), (8, 48, 0)];
/// Shards per data centre.
const SHARDS: u16 = 64;
/// Ticks until the fleet is stable: two minutes.
const WARM_UP: u64 = 600;
/// Ticks that are measured: one minute.
const MEASURED: u64 = 300;

/// Simulates every fleet.
pub fn run() {
    println!(
        "{:>7} {:>4} {:>9} | {:>9} {:>9} {:>9} {:>9} | {:>9} {:>12}",
        "centres",
        "VMs",
        "endpoints",
        "frames/s",
        "body B/s",
        "http B/s",
        "largest",
        "load age",
        "all hear in"
    );
    for (centres, vms, endpoints) in RUNS {
        simulate(centres, vms, endpoints);
    }
}

#[allow(clippy::cast_precision_loss)]
fn simulate(centres: usize, vms: usize, endpoints: usize) {
    let mut fleet = Fleet::new(centres, vms, SHARDS);
    for step in 0..WARM_UP {
        report(&mut fleet, endpoints, step);
        fleet.tick();
    }
    assert!(fleet.all_up(), "a VM isn't known to all");
    let before: Vec<fleet::Sent> = fleet.vms.iter().map(|v| v.sent).collect();
    for step in 0..MEASURED {
        report(&mut fleet, endpoints, step);
        fleet.tick();
    }
    let seconds = (MEASURED * TICK.as_u64()) as f64 / 1_000.0;
    let sent = |at: usize| {
        let (now, then) = (fleet.vms[at].sent, before[at]);
        (now.frames - then.frames, now.bytes - then.bytes)
    };
    let all: Vec<(u64, u64)> = (0..fleet.vms.len()).map(sent).collect();
    let count = all.len() as f64;
    let frames = all.iter().map(|s| s.0).sum::<u64>() as f64 / count / seconds;
    let bytes = all.iter().map(|s| s.1).sum::<u64>() as f64 / count / seconds;
    let with_heads = |s: &(u64, u64)| (s.1 as f64 + s.0 as f64 * HEAD_BYTES) / seconds;
    let largest = all.iter().map(with_heads).fold(0.0, f64::max);
    let age = age(&fleet);
    let propagation = propagation_time(&mut fleet);
    println!(
        "{centres:>7} {:>4} {:>9} | {frames:>9.2} {bytes:>9.0} {:>9.0} {largest:>9.0} | {age:>6} ms {propagation:>9} ms",
        centres * vms,
        centres * endpoints,
        bytes + frames * HEAD_BYTES,
    );
}

/// Gives each endpoint's poller a load report each second. Every other report is significant.
fn report(fleet: &mut Fleet, endpoints: usize, step: u64) {
    let now = fleet.now();
    let round = 1_000 / TICK.as_u64();
    for at in 0..fleet.vms.len() {
        let centre = fleet.vms[at].centre.clone();
        let vms = fleet.vms.iter().filter(|v| v.centre == centre).count();
        let index = fleet.vms[..at]
            .iter()
            .filter(|v| v.centre == centre)
            .count();
        for endpoint in (0..endpoints).filter(|e| e % vms == index) {
            if !(step + endpoint as u64).is_multiple_of(round) {
                continue;
            }
            let name = format!("{centre}-runner{endpoint:03}");
            let load = Load {
                endpoint: id::Endpoint::parse(&name).expect("a name"),
                age: Millis::ZERO,
                up: true,
                leaving: false,
                running: 7,
                waiting: 0,
                speed: 25.0,
                cache: 100_000,
            };
            let significant = (step / round + endpoint as u64).is_multiple_of(2);
            let audience = if significant {
                Audience::Centre
            } else {
                Audience::Local
            };
            fleet.vms[at].exchange.loads.record(&load, audience, now);
        }
    }
}

/// Returns the mean age of the loads that the VMs know, in milliseconds.
fn age(fleet: &Fleet) -> u64 {
    let now = fleet.now();
    let rows = fleet.vms.iter().flat_map(|v| v.exchange.loads.entries());
    let ages: Vec<u64> = rows.map(|row| now.since(row.made_at).as_u64()).collect();
    ages.iter().sum::<u64>() / (ages.len() as u64).max(1)
}

/// Returns how long a revision takes to reach all VMs from two VMs of each centre, in milliseconds,
/// by the heartbeat rounds alone. A real VM with a new revision also sends heartbeats at once,
/// which the model leaves out.
fn propagation_time(fleet: &mut Fleet) -> u64 {
    let start = fleet.now();
    let mut seeded: Vec<id::Centre> = Vec::new();
    for vm in &mut fleet.vms {
        if seeded.iter().filter(|c| **c == vm.centre).count() < 2 {
            seeded.push(vm.centre.clone());
            vm.exchange.table.set_own(|own| own.revision = 9);
        }
    }
    while !fleet
        .vms
        .iter()
        .all(|v| v.exchange.table.own().revision == 9)
    {
        fleet.tick();
        for vm in &mut fleet.vms {
            let heard = vm
                .exchange
                .table
                .members()
                .iter()
                .any(|m| m.status.revision == 9);
            if heard {
                vm.exchange.table.set_own(|own| own.revision = 9);
            }
        }
    }
    fleet.now().since(start).as_u64()
}
