//! Measures how long callers wait after the owner of their program was killed, with real processes:
//! `cargo bench -p chestnutyoke --bench takeover`.

#[path = "../tests/harness/mod.rs"]
mod harness;

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use harness::ChatRequest;
use harness::Fleet;
use harness::Plan;
use harness::TIMEOUT;
use harness::chat;
use harness::chat_until_answered;
use harness::wait_until;
use tokio::task::JoinSet;

/// The default number of rounds, each of which kills an owner; the environment variable `ROUNDS`
/// overrides it.
const DEFAULT_ROUNDS: u32 = 20;
/// The number of programs, each with a waiting caller.
const CALLERS: u32 = 4;
/// The pause of a caller before it retries.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// How long one caller waited and how often its attempts failed.
struct Wait {
    time: Duration,
    refused: u32,
}

async fn retry_until_answered(address: SocketAddr, request: ChatRequest, killed: Instant) -> Wait {
    let mut refused = 0;
    loop {
        match chat(address, &request).await {
            Some(answer) if answer.status == 200 => {
                let time = killed.elapsed();
                return Wait { time, refused };
            }
            _ => refused += 1,
        }
        assert!(killed.elapsed() < TIMEOUT, "no takeover");
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

async fn run_round(fleet: &mut Fleet, round: u32) -> Vec<Wait> {
    let owner = fleet.owner("east", 0, None).await;
    let others = fleet.others(owner);
    for caller in 0..CALLERS {
        let request = ChatRequest::turn(&format!("p{round}-{caller}"), 1, "one #tokens=1");
        chat_until_answered(&others, &request).await;
    }
    fleet.nodes[owner].process.kill();
    let killed = Instant::now();
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let request = ChatRequest::turn(&format!("p{round}-{caller}"), 2, "two #tokens=1");
        callers.spawn(retry_until_answered(
            others[caller as usize % others.len()],
            request,
            killed,
        ));
    }
    let waits = callers.join_all().await;
    fleet.nodes[owner].restart();
    fleet.nodes[owner].ready().await;
    let up = fleet.nodes.len();
    for node in &fleet.nodes {
        wait_until(node.admin, "/status", |status| {
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
    let rounds = rounds.map_or(DEFAULT_ROUNDS, |text| text.parse().unwrap());
    for lease in ["5s", "2s"] {
        let plan = Plan {
            platform_lines: format!("lease = \"{lease}\"\n"),
            ..Plan::three_vms()
        };
        let mut fleet = Fleet::start(&plan).await;
        let mut waits = Vec::new();
        for number in 0..rounds {
            waits.extend(run_round(&mut fleet, number).await);
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
