//! Shards that another VM has claimed while this one still considers itself the owner.

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

/// Peers that can't be reached.
struct Unreachable;

#[async_trait]
impl copy::Peers for Unreachable {
    async fn hold(&self, _: &Holder, _: &id::Shard, _: &Batch) -> copy::Result<()> {
        Err(copy::Fault::Unreachable)
    }

    async fn collect(&self, _: &id::Vm, _: &id::Shard, _: u64) -> copy::Result<Collected> {
        Err(copy::Fault::Unreachable)
    }

    async fn keep(&self, _: &id::Shard, _: Vec<Batch>) {}

    async fn drained(&self, _: &Holder, _: &id::Shard, _: u64, _: u64) {}
}

/// Claims every shard for another VM, as if this one's lease had expired.
async fn claim_all(platform: &Memory) -> Lease {
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
            peers: Arc::new(Unreachable),
            vm: id::Vm::parse("a2").unwrap(),
            shard,
            seed: u64::from(index),
            copy_holders: Vec::new(),
            acks: 0,
        };
        claim::open(setup, lease).await.unwrap();
    }
    lease
}

// A VM was paused for longer than its lease and resumes. Its first append conflicts with the new
// owner's, so the turn is refused without having run. Once the shard is free again, the VM claims
// it and the program continues where it was. A turn that meanwhile finds no owner before its
// caller's deadline is refused as not run, so the caller may send it anywhere.
#[tokio::test]
async fn a_lost_shard_runs_nothing_until_reclaimed() {
    let fleet = Fleet::plain().await;
    let first = fleet
        .ask(CHAT, &named("berth", "1"), &client::chat("one"))
        .await;
    assert_eq!(first.0, 200, "{}", first.1);
    let lease = claim_all(&fleet.platform).await;
    let next = named("berth", "2");
    let headers = [next[0], next[1], ("chestnutyoke-deadline-ms", "500")];
    let lost = fleet.ask(CHAT, &headers, &client::chat("two")).await;
    assert_eq!(lost.0, 503, "{}", lost.1);
    assert_ne!(refusal(&lost).1, "yes");
    assert_eq!(fleet.attempts().await.len(), 1);
    let no_owner = fleet.ask(CHAT, &headers, &client::chat("two")).await;
    assert_eq!(refusal(&no_owner), ("CY2203", "no"), "{}", no_owner.1);
    fleet.platform.revoke(lease).await.unwrap();
    let again = tokio::time::timeout(client::TIMEOUT, async {
        loop {
            let answer = fleet.ask(CHAT, &next, &client::chat("two")).await;
            if answer.0 == 200 {
                return answer;
            }
        }
    });
    let answer = again.await.expect("the program continues");
    assert_eq!(answer.1["chestnutyoke"]["turn"], 2);
    assert_eq!(fleet.attempts().await.len(), 2);
}

// Another VM has claimed the shard, and this one doesn't know yet. A call arrives here that may
// have run there, and the append of its intent conflicts with the next owner's records. If the
// refusal said that it didn't run, as is true for this VM, the caller would send another call, and
// both would have run.
#[tokio::test]
async fn a_call_that_conflicts_with_the_next_owner_may_have_run_there() {
    let fleet = Fleet::plain().await;
    claim_all(&fleet.platform).await;
    let headers = [
        ("chestnutyoke-program", "berth"),
        ("idempotency-key", "order-1"),
        ("chestnutyoke-deadline-ms", "500"),
    ];
    let call = fleet.ask(SWITCH, &headers, &json!({})).await;
    assert_eq!(call.0, 503, "{}", call.1);
    assert_eq!(refusal(&call).1, "unknown", "{}", call.1);
}

// A turn and a call wait for an owner without a deadline, and the VM is told to stop. No owner has
// accepted them. If the turn's refusal said that it may have run, its caller couldn't ask
// elsewhere. An earlier request for the call may have run.
#[tokio::test]
async fn requests_that_wait_for_an_owner_when_the_vm_stops_are_refused() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\ngrace = \"2s\"\n",
        ..Plan::default()
    })
    .await;
    claim_all(&fleet.platform).await;
    let first = named("berth", "1");
    let headers = [first[0], first[1], ("chestnutyoke-deadline-ms", "300")];
    let lost = fleet.ask(CHAT, &headers, &client::chat("one")).await;
    assert_eq!(lost.0, 503, "{}", lost.1);
    let callers = fleet.callers;
    let turn = tokio::spawn(async move {
        client::ask(callers, CHAT, &named("berth", "1"), &client::chat("one")).await
    });
    let call = tokio::spawn(async move {
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
    let call = call.await.unwrap();
    assert_eq!(refusal(&call), ("CY4105", "unknown"), "{}", call.1);
}
