//! Turns that are refused after members have taken down their reservations.

mod support;

use std::future::ready;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use hyper::StatusCode;
use relay::account;
use relay::job::Job;
use relay::member_health;
use relay::node::Node;
use relay::stream;
use relay::work::Kind;
use replica::ledger;
use replica::ledger::Ledger;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::message::Status;
use replica::record::Record;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;

/// The version of the list in use.
const VERSION: u64 = 2;
/// The tokens that a program may use: enough for one of its turns.
const BUDGET: u64 = 100;
/// The tokens that a turn may use.
const MAX_TOKENS: u64 = 60;
/// Time in which the members take down what a turn used once they can.
const SETTLING_TIME: Duration = Duration::from_secs(4);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// What the members do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// They store reservations while they catch up, and fail to store settlements.
    Behind,
    /// They serve.
    Whole,
}

/// The state that all members share.
struct Members {
    phase: Phase,
    ledger: Ledger,
}

impl Members {
    fn answer(&mut self, body: Body) -> Answer {
        match body {
            Body::Status => Answer::Status(Status {
                disk: 1,
                version: VERSION,
                ready: VERSION,
            }),
            Body::Apply(records) => self.apply(&records),
            Body::Account(program) if self.phase == Phase::Whole => {
                Answer::Account(self.ledger.entries(program).to_vec())
            }
            _ => Answer::NotReady,
        }
    }

    fn apply(&mut self, records: &[Record]) -> Answer {
        let mut entries = Vec::new();
        for record in records {
            match record {
                Record::Reserve(reservation) => {
                    self.ledger.reserve(reservation, Millis::ZERO);
                    entries = self.ledger.entries(reservation.program).to_vec();
                }
                Record::Settle(settlement) if self.phase == Phase::Whole => {
                    self.ledger.settle(settlement, Millis::ZERO);
                }
                Record::Settle(_) => return Answer::Failed("cut off".to_owned()),
                Record::Turn(_) => {}
            }
        }
        match self.phase {
            Phase::Behind => Answer::NotReady,
            Phase::Whole => Answer::Applied(entries),
        }
    }
}

async fn start() -> (Arc<Node>, Arc<Mutex<Members>>) {
    let members = Arc::new(Mutex::new(Members {
        phase: Phase::Behind,
        ledger: Ledger::default(),
    }));
    let shared = members.clone();
    let node = support::node_with_members(VERSION, move |ask: Ask| {
        ready(shared.lock().unwrap().answer(ask.body))
    });
    let node = node.await;
    member_health::check(&node).await;
    (node, members)
}

fn turn(node: &Arc<Node>, id: &str) -> Job {
    let mut job = support::job(node, &support::table("stream", ""), id);
    job.call.program = Some("p1".to_owned());
    job.call.budget = Some(BUDGET);
    job.call.max_tokens = MAX_TOKENS;
    job
}

/// Guards against a turn that was refused, never ran, and counts against its program's budget from then on.
#[tokio::test]
async fn a_refused_turn_leaves_no_reservation_behind() {
    let (node, members) = start().await;
    let refused = turn(&node, "t1");
    let program = account::of(&refused).expect("it has a budget").program();
    let charged = |members: &Mutex<Members>| -> u64 {
        ledger::total(members.lock().unwrap().ledger.entries(program))
    };
    let guard = node.work.begin(Kind::Answer, "t1");
    let response = stream::serve(refused, guard).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(
        charged(&members),
        MAX_TOKENS,
        "members hold its reservation"
    );
    sleep(POLL_INTERVAL).await;
    members.lock().unwrap().phase = Phase::Whole;
    let since = Instant::now();
    while charged(&members) > 0 && since.elapsed() < SETTLING_TIME {
        sleep(POLL_INTERVAL).await;
    }
    let next = turn(&node, "t2");
    let reserved = account::reserve(&next, account::of(&next), None).await;
    assert!(reserved.is_ok(), "{reserved:?}");
}

/// Guards against writes for turns that members know nothing of, while too few members answer.
#[tokio::test]
async fn a_turn_that_reserved_nothing_is_not_settled() {
    let (node, members) = start().await;
    members.lock().unwrap().phase = Phase::Whole;
    let job = turn(&node, "t1");
    account::settle(&job, account::of(&job), 0);
    assert_eq!(node.work.count(), 0);
    sleep(POLL_INTERVAL).await;
    assert_eq!(members.lock().unwrap().ledger.count(), 0);
}
