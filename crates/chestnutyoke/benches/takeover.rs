//! How long callers wait after their program's owner was killed, with real processes:
//! `cargo bench -p chestnutyoke --bench takeover`.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::Ask;
use harness::Fleet;
use harness::PATIENCE;
use harness::Plan;
use harness::chat;
use harness::chat_until_answered;
use harness::until;
use tokio::task::JoinSet;

/// Owners killed; `ROUNDS` in the environment sets another number.
const ROUNDS: u32 = 20;
/// Programs whose callers wait at once.
const CALLERS: u32 = 4;
/// The pause of a caller after a refusal.
const PAUSE: Duration = Duration::from_millis(20);

/// What one caller met.
struct Wait {
    time: Duration,
    refused: u32,
}

async fn wait(address: SocketAddr, ask: Ask, killed: Instant) -> Wait {
    let mut refused = 0;
    loop {
        match chat(address, &ask).await {
            Some(answer) if answer.status == 200 => {
                let time = killed.elapsed();
                return Wait { time, refused };
            }
            _ => refused += 1,
        }
        assert!(killed.elapsed() < PATIENCE, "no takeover");
        tokio::time::sleep(PAUSE).await;
    }
}

async fn round(fleet: &mut Fleet, round: u32) -> Vec<Wait> {
    let owner = fleet.owner("east", 0, None).await;
    let others = fleet.others(owner);
    for caller in 0..CALLERS {
        let ask = Ask::turn(&format!("p{round}-{caller}"), 1, "one #tokens=1");
        chat_until_answered(&others, &ask).await;
    }
    fleet.nodes[owner].process.kill();
    let killed = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let ask = Ask::turn(&format!("p{round}-{caller}"), 2, "two #tokens=1");
        callers.spawn(wait(others[caller as usize % others.len()], ask, killed));
    }
    let waits = callers.join_all().await;
    fleet.nodes[owner].restart();
    fleet.nodes[owner].ready().await;
    let up = fleet.nodes.len();
    for node in &fleet.nodes {
        until(node.admin, "/status", |status| {
            let peers = status["peers"].as_array().unwrap().iter();
            peers.filter(|peer| peer["up"] == true).count() == up
        })
        .await;
    }
    waits
}

fn percentile(sorted: &[u128], percent: usize) -> u128 {
    sorted[(sorted.len() * percent).div_ceil(100).saturating_sub(1)]
}

#[tokio::main]
async fn main() {
    let rounds = std::env::var("ROUNDS").ok();
    let rounds = rounds.map_or(ROUNDS, |text| text.parse().unwrap());
    for lease in ["5s", "2s"] {
        let plan = Plan {
            platform_lines: format!("lease = \"{lease}\"\n"),
            ..Plan::three_vms()
        };
        let mut fleet = Fleet::start(&plan).await;
        let mut waits = Vec::new();
        for number in 0..rounds {
            waits.extend(round(&mut fleet, number).await);
        }
        let mut times: Vec<u128> = waits.iter().map(|wait| wait.time.as_millis()).collect();
        times.sort_unstable();
        let refused: u32 = waits.iter().map(|wait| wait.refused).sum();
        println!(
            "lease={lease} rounds={rounds} callers={CALLERS} p50={} ms p95={} ms max={} ms \
             refused_per_caller={:.1}",
            percentile(&times, 50),
            percentile(&times, 95),
            percentile(&times, 100),
            f64::from(refused) / f64::from(rounds * CALLERS),
        );
    }
}
