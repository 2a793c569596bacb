//! Plays the heartbeats of large fleets in one process under a played clock.

#[path = "../../tests/support/fleet.rs"]
#[allow(dead_code)]
mod fleet;

use fleet::Fleet;
use fleet::TICK;
use node::controllers::members::heartbeat::Load;
use node::controllers::poller::Audience;
use wire::clock::Millis;
use wire::id;

/// Bytes of the HTTP head of a frame: request or status line, type, length, and host or date.
pub const HEAD: f64 = 112.0;

/// Runs of the model: data centres, VMs of each, endpoints of each. The second has a data centre
/// of the letter's size, the last its number of VMs; both together take too long.
const RUNS: [(usize, usize, usize); 5] =
    [(3, 3, 5), (2, 48, 75), (8, 12, 19), (8, 24, 38), (8, 48, 0)];
/// Shards of each data centre.
const SHARDS: u16 = 64;
/// Ticks until all is quiet, two minutes.
const SETTLE: u64 = 600;
/// Ticks that are measured, a minute.
const MEASURED: u64 = 300;

/// Plays every size.
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
        play(centres, vms, endpoints);
    }
}

#[allow(clippy::cast_precision_loss)]
fn play(centres: usize, vms: usize, endpoints: usize) {
    let mut fleet = Fleet::new(centres, vms, SHARDS);
    for step in 0..SETTLE {
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
    let with_heads = |s: &(u64, u64)| (s.1 as f64 + s.0 as f64 * HEAD) / seconds;
    let largest = all.iter().map(with_heads).fold(0.0, f64::max);
    let age = age(&fleet);
    let heard = spread(&mut fleet);
    println!(
        "{centres:>7} {:>4} {:>9} | {frames:>9.2} {bytes:>9.0} {:>9.0} {largest:>9.0} | {age:>6} ms {heard:>9} ms",
        centres * vms,
        centres * endpoints,
        bytes + frames * HEAD,
    );
}

/// Lets each endpoint's keeper take in a report each second, of which every second one matters.
fn report(fleet: &mut Fleet, endpoints: usize, step: u64) {
    let now = fleet.now();
    let round = 1_000 / TICK.as_u64();
    for at in 0..fleet.vms.len() {
        let centre = fleet.vms[at].centre.clone();
        let near = fleet.vms.iter().filter(|v| v.centre == centre).count();
        let place = fleet.vms[..at]
            .iter()
            .filter(|v| v.centre == centre)
            .count();
        for endpoint in (0..endpoints).filter(|e| e % near == place) {
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
            let matters = (step / round + endpoint as u64).is_multiple_of(2);
            let audience = if matters {
                Audience::Centre
            } else {
                Audience::Local
            };
            fleet.vms[at].exchange.loads.record(&load, audience, now);
        }
    }
}

/// The mean age of the loads that VMs know, in milliseconds.
fn age(fleet: &Fleet) -> u64 {
    let now = fleet.now();
    let rows = fleet.vms.iter().flat_map(|v| v.exchange.loads.entries());
    let ages: Vec<u64> = rows.map(|row| now.since(row.made_at).as_u64()).collect();
    ages.iter().sum::<u64>() / (ages.len() as u64).max(1)
}

/// How long a revision that two VMs of each centre have takes until all have heard of it, by the
/// rounds alone: a VM that moves up also sends heartbeats at once, which the model leaves out.
fn spread(fleet: &mut Fleet) -> u64 {
    let began = fleet.now();
    let mut seen: Vec<id::Centre> = Vec::new();
    for vm in &mut fleet.vms {
        if seen.iter().filter(|c| **c == vm.centre).count() < 2 {
            seen.push(vm.centre.clone());
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
    fleet.now().since(began).as_u64()
}
