//! A switching order, billing order, certificate issue or fee charge runs at most once.

mod harness;

use std::net::SocketAddr;

use harness::Answer;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::call;
use harness::until;
use harness::until_some;
use rstest::rstest;
use serde_json::json;

const KEY: &str = "order-1";
const OPERATION: &str = "close";

fn three_vms() -> Plan {
    Plan {
        limit_lines: "silence = \"6s\"\n".to_owned(),
        ..Plan::three_vms()
    }
}

/// Asks for the call until it isn't refused for want of an owner or a platform. No answer on the
/// way may say that the call, which has run, did not run.
async fn ask_again(addresses: &[SocketAddr], program: Option<&str>) -> Answer {
    let mut tries = 0;
    until_some("a final answer to the call", async || {
        let address = addresses[tries % addresses.len()];
        tries += 1;
        let answer = call(address, program, OPERATION, KEY).await?;
        assert_ne!(answer.ran(), "no", "{answer:?}");
        let for_now = ["CY4101", "CY4103", "CY4104", "CY4106"];
        (!for_now.contains(&answer.code())).then_some(answer)
    })
    .await
}

// The service runs the call and its answer is lost. The caller hears that the outcome isn't known
// and asks again by another VM, at once and again later: the call isn't sent a second time, and
// each answer says that it may have run.
#[rstest]
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_answer_is_never_followed_by_a_second_run(
    #[values(Some("berth-7"), None)] program: Option<&str>,
) {
    let fleet = Fleet::start(&three_vms()).await;
    fleet.services[0].faults(json!({ "lose_answers": 1 })).await;
    let first = call(fleet.nodes[0].callers, program, OPERATION, KEY).await;
    let first = first.unwrap();
    assert_eq!(
        (first.code(), first.ran()),
        ("CY3104", "unknown"),
        "{first:?}"
    );
    for _ in 0..2 {
        for address in fleet.addresses() {
            let again = ask_again(&[address], program).await;
            assert_eq!(again.ran(), "unknown", "{again:?}");
        }
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The first call still runs at the service when the caller asks again by every VM at once. All
// get the one run's answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_asked_again_while_it_runs_joins_it() {
    let fleet = Fleet::start(&three_vms()).await;
    fleet.services[0].faults(json!({ "delay_ms": 1_000 })).await;
    let mut calls = Vec::new();
    for address in fleet.addresses().repeat(3) {
        let program = Some("berth-7");
        calls.push(tokio::spawn(async move {
            call(address, program, OPERATION, KEY).await
        }));
    }
    for answer in calls {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(answer.body["run"], 1);
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The service has run the call and is about to answer when the owner is killed: the intent is in
// the journal, the outcome isn't. Another VM takes the shard over, and the caller asks it again.
// It doesn't send the call, and says that it isn't known whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_between_intent_and_outcome_leaves_it_unknown() {
    let mut fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let others = fleet.others(owner);
    fleet.services[0].faults(json!({ "hang": 1 })).await;
    let entry = others[0];
    let first = tokio::spawn(async move { call(entry, Some("p"), OPERATION, KEY).await });
    until(fleet.services[0].address, "/stats", |counts| {
        counts["runs"][0]["runs"] == 1
    })
    .await;
    fleet.nodes[owner].process.kill();
    if let Some(first) = first.await.unwrap() {
        assert_eq!(first.ran(), "unknown", "{first:?}");
    }
    for address in others {
        let again = ask_again(&[address], Some("p")).await;
        assert_eq!(
            (again.code(), again.ran()),
            ("CY3104", "unknown"),
            "{again:?}"
        );
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The owner is frozen while the service runs the call, until another VM has taken over; then it
// wakes up and still thinks that it owns the shard. Whoever is asked, the call isn't sent again.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_that_wakes_up_after_a_takeover_sends_nothing_again() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    fleet.services[0].faults(json!({ "hang": 1 })).await;
    let woken = fleet.nodes[owner].callers;
    let first = tokio::spawn(async move { call(woken, Some("p"), OPERATION, KEY).await });
    until(fleet.services[0].address, "/stats", |counts| {
        counts["runs"][0]["runs"] == 1
    })
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    fleet.owner("east", 0, Some(owner)).await;
    let again = ask_again(&fleet.others(owner), Some("p")).await;
    assert_eq!(again.ran(), "unknown", "{again:?}");
    fleet.nodes[owner].signal(Signal::Cont);
    let again = ask_again(&[woken], Some("p")).await;
    assert_eq!(again.ran(), "unknown", "{again:?}");
    if let Some(first) = first.await.unwrap() {
        assert_eq!(first.ran(), "unknown", "{first:?}");
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The service says that it refused the call before it ran. That is passed on as a promise, and
// the same key runs when it is asked again.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_by_the_service_may_be_asked_again() {
    let fleet = Fleet::start(&three_vms()).await;
    fleet.services[0].faults(json!({ "refuse": 1000 })).await;
    let first = call(fleet.nodes[0].callers, Some("p"), OPERATION, KEY).await;
    let first = first.unwrap();
    assert_eq!(first.ran(), "no", "{first:?}");
    assert_eq!(fleet.runs(KEY, OPERATION).await, 0);
    fleet.services[0].faults(json!({ "refuse": 0 })).await;
    let again = until_some("the run", async || {
        let again = call(fleet.nodes[1].callers, Some("p"), OPERATION, KEY).await?;
        (again.status == 200).then_some(again)
    })
    .await;
    assert_eq!(again.body["run"], 1);
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// Answers of the platform are lost after the writes took effect, the intent's among them. The
// owner settles it before it sends anything; whatever it says is true, and there is one run at
// most.
#[tokio::test(flavor = "multi_thread")]
async fn an_intent_whose_answer_was_lost_is_settled_first() {
    let fleet = Fleet::start(&three_vms()).await;
    fleet.owner("east", 0, None).await;
    fleet.platform_faults(json!({ "lose_answers": 3 })).await;
    let first = call(fleet.nodes[0].callers, Some("p"), OPERATION, KEY).await;
    let first = first.unwrap();
    let runs = fleet.runs(KEY, OPERATION).await;
    assert!(runs <= 1);
    if first.ran() == "no" {
        assert_eq!(runs, 0, "{first:?}");
    }
    let again = until_some("the call's end", async || {
        let again = call(fleet.nodes[1].callers, Some("p"), OPERATION, KEY).await?;
        (again.status == 200 || again.ran() == "unknown").then_some(again)
    })
    .await;
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1, "{again:?}");
}
