//! Records what turns used of their programs' budgets, and tries again what too few members took down.
//!
//! A reservation that is never settled counts with all its tokens until its program's account is dropped, also if
//! its turn was refused and never ran. The members that stored the reservation may be out of reach for a while, so
//! one try isn't enough.

use std::sync::Arc;
use std::time::Duration;

use replica::client::Fault;
use replica::ledger;
use replica::record::Settlement;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::event::Event;

use crate::job::Job;
use crate::node::Node;
use crate::work;

/// The most settlements that are tried again at the same time.
pub const MAX_RETRIED: usize = 1_024;
/// The pause before the second try. It doubles with each try.
const FIRST_PAUSE: Duration = Duration::from_millis(200);
/// The longest pause between two tries.
const MAX_PAUSE: Duration = Duration::from_secs(2);

/// Records a settlement in the background. The process waits for the first try when it stops.
pub fn record(job: &Job, settlement: Settlement) {
    let node = job.node.clone();
    let id = job.call.id.clone();
    let guard = node.work.begin(work::Kind::Settlement, &id);
    tokio::spawn(async move {
        let settled = node.replicas.settle(settlement).await;
        // Members that are away for long must not keep the process from stopping.
        drop(guard);
        if let Err(fault) = settled {
            log_failed(&id, settlement, 1, &fault);
            retry(&node, &id, settlement, fault).await;
        }
    });
}

/// Tries again until enough members have taken a settlement down, at most until they drop the account.
async fn retry(node: &Arc<Node>, id: &str, settlement: Settlement, fault: Fault) {
    let Ok(_permit) = node.settlement_retries.try_acquire() else {
        return;
    };
    let began = Instant::now();
    let mut fault = fault;
    let mut pause = FIRST_PAUSE;
    let mut tries = 1;
    while began.elapsed() < ledger::RETENTION.as_duration() {
        sleep(pause).await;
        pause = (pause * 2).min(MAX_PAUSE);
        if !node.can_serve_turns() {
            continue;
        }
        tries += 1;
        match node.replicas.settle(settlement).await {
            Ok(()) => {
                let ms = began.elapsed().as_millis();
                log::info!("text=\"turn settled\" request={id} tries={tries} ms={ms}");
                return;
            }
            Err(again) => fault = again,
        }
    }
    log_failed(id, settlement, tries, &fault);
}

fn log_failed(id: &str, settlement: Settlement, tries: u32, fault: &Fault) {
    log::warn!(
        "event=E{} text=\"{}\" request={id} used={} tries={tries} fault=\"{fault}\"",
        Event::TurnNotSettled.number(),
        Event::TurnNotSettled.text(),
        settlement.used
    );
}
