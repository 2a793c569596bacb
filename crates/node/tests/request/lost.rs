//! A shard that another VM takes while this one still thinks that it owns it.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use journal::claim;
use journal::copy;
use journal::copy::Batch;
use journal::copy::Collected;
use journal::copy::Holder;
use journal::key;
use journal::log::Setup;
use platform::edge::Lease;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use serde_json::json;
use standin::client;
use wire::clock::Millis;
use wire::id;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::named;
use crate::fleet::refusal;

const SWITCH: &str = "/v1/services/shore/switch";

struct Nobody;

#[async_trait]
impl copy::Peers for Nobody {
    async fn hold(&self, _: &Holder, _: &id::Shard, _: &Batch) -> copy::Result<()> {
        Err(copy::Fault::Unreachable)
    }

    async fn collect(&self, _: &id::Vm, _: &id::Shard, _: u64) -> copy::Result<Collected> {
        Err(copy::Fault::Unreachable)
    }

    async fn keep(&self, _: &id::Shard, _: Vec<Batch>) {}

    async fn drained(&self, _: &Holder, _: &id::Shard, _: u64, _: u64) {}
}

/// Takes every shard as another VM would after this one's lease had lapsed.
async fn take_all(platform: &Memory) -> Lease {
    let lease = platform.grant(Millis::new(60_000)).await.unwrap();
    for index in 0..4 {
        let shard = id::Shard {
            centre: id::Centre::parse("a").unwrap(),
            index,
        };
        let txn = Txn {
            compares: Vec::new(),
            writes: vec![Write::Delete(key::owner(&shard))],
        };
        platform.commit(&txn, Priority::Claim).await.unwrap();
        let setup = Setup {
            platform: Arc::new(platform.clone()),
            peers: Arc::new(Nobody),
            vm: id::Vm::parse("a2").unwrap(),
            shard,
            seed: u64::from(index),
            copies: Vec::new(),
            acks: 0,
        };
        claim::open(setup, lease).await.unwrap();
    }
    lease
}

/// A VM was paused past its lease and wakes up. Its first append meets the new owner's, so the turn
/// is refused without having run; once the shard is free again, the VM claims it and the program
/// goes on where it stood. Meanwhile a turn that finds no owner in its caller's time is told that it
/// has not run: it may be asked anywhere.
#[tokio::test]
async fn a_lost_shard_runs_nothing_and_comes_back() {
    let fleet = Fleet::plain().await;
    let first = fleet
        .ask(CHAT, &named("berth", "1"), &client::chat("one"))
        .await;
    assert_eq!(first.0, 200, "{}", first.1);
    let lease = take_all(&fleet.platform).await;
    let next = named("berth", "2");
    let headers = [next[0], next[1], ("chestnutyoke-deadline-ms", "500")];
    let lost = fleet.ask(CHAT, &headers, &client::chat("two")).await;
    assert_eq!(lost.0, 503, "{}", lost.1);
    assert_ne!(refusal(&lost).1, "yes");
    assert_eq!(fleet.attempts().await.len(), 1);
    let nobody = fleet.ask(CHAT, &headers, &client::chat("two")).await;
    assert_eq!(refusal(&nobody), ("CY2203", "no"), "{}", nobody.1);
    fleet.platform.revoke(lease).await.unwrap();
    let again = tokio::time::timeout(client::PATIENCE, async {
        loop {
            let answer = fleet.ask(CHAT, &next, &client::chat("two")).await;
            if answer.0 == 200 {
                return answer;
            }
        }
    });
    let answer = again.await.expect("the program goes on");
    assert_eq!(answer.1["chestnutyoke"]["turn"], 2);
    assert_eq!(fleet.attempts().await.len(), 2);
}

// Another VM has taken the shard, and this one doesn't know yet. An order is asked here that may have run
// there; its intent meets the next owner's records. Told that it didn't run, as it did not on this VM, the
// caller would give another one and both would have run.
#[tokio::test]
async fn an_order_that_meets_the_next_owner_may_have_run_there() {
    let fleet = Fleet::plain().await;
    take_all(&fleet.platform).await;
    let headers = [
        ("chestnutyoke-program", "berth"),
        ("idempotency-key", "order-1"),
        ("chestnutyoke-deadline-ms", "500"),
    ];
    let order = fleet.ask(SWITCH, &headers, &json!({})).await;
    assert_eq!(order.0, 503, "{}", order.1);
    assert_eq!(refusal(&order).1, "unknown", "{}", order.1);
}

/// A turn and an order wait for an owner, for as long as it takes, and the VM is told to end. Nobody has
/// taken them; told at the end that they may have run, the turn's caller couldn't ask elsewhere. Of the
/// order an earlier asking may have run.
#[tokio::test]
async fn who_waits_for_an_owner_when_the_vm_ends_is_told_so() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\ngrace = \"2s\"\n",
        ..Plan::default()
    })
    .await;
    take_all(&fleet.platform).await;
    let first = named("berth", "1");
    let headers = [first[0], first[1], ("chestnutyoke-deadline-ms", "300")];
    let lost = fleet.ask(CHAT, &headers, &client::chat("one")).await;
    assert_eq!(lost.0, 503, "{}", lost.1);
    let callers = fleet.callers;
    let turn = tokio::spawn(async move {
        client::ask(callers, CHAT, &named("berth", "1"), &client::chat("one")).await
    });
    let order = tokio::spawn(async move {
        let headers = [
            ("chestnutyoke-program", "berth"),
            ("idempotency-key", "order-1"),
        ];
        client::ask(callers, SWITCH, &headers, &json!({})).await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    fleet.node.shutdown().await;
    let turn = turn.await.unwrap();
    assert_eq!(refusal(&turn), ("CY4105", "no"), "{}", turn.1);
    assert!(turn.1["error"]["retry_after_ms"].is_number());
    let order = order.await.unwrap();
    assert_eq!(refusal(&order), ("CY4105", "unknown"), "{}", order.1);
}
