//! A call to a service, such as a switching order or a fee charge, runs at most once.

mod harness;

use std::net::SocketAddr;

use harness::Answer;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::call;
use harness::wait_for;
use harness::wait_until;
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

/// Retries the call until it isn't refused because an owner or the platform is missing. No answer
/// in between may say that the call, which has run, did not run.
async fn retry_call(addresses: &[SocketAddr], program: Option<&str>) -> Answer {
    let mut attempts = 0;
    wait_for("a final answer to the call", async || {
        let address = addresses[attempts % addresses.len()];
        attempts += 1;
        let answer = call(address, program, OPERATION, KEY).await?;
        assert_ne!(answer.ran(), "no", "{answer:?}");
        let temporary = ["CY4101", "CY4103", "CY4104", "CY4106"];
        (!temporary.contains(&answer.code())).then_some(answer)
    })
    .await
}

// The service runs the call and its answer is lost. The caller is told that the outcome is unknown,
// and retries twice at every VM. The call isn't sent a second time, and each answer says that the
// call may have run.
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
            let again = retry_call(&[address], program).await;
            assert_eq!(again.ran(), "unknown", "{again:?}");
        }
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The first call is still running at the service when the caller repeats it at every VM
// concurrently. All calls get the answer of the single run.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_repeated_while_it_runs_joins_the_run() {
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
// the journal, the outcome isn't. Another VM takes the shard over, and the caller repeats the call
// there. That VM doesn't send the call, and answers that it is unknown whether it ran.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_between_intent_and_outcome_leaves_it_unknown() {
    let mut fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let others = fleet.others(owner);
    fleet.services[0].faults(json!({ "hang": 1 })).await;
    let entry = others[0];
    let first = tokio::spawn(async move { call(entry, Some("p"), OPERATION, KEY).await });
    wait_until(fleet.services[0].address, "/stats", |counts| {
        counts["runs"][0]["runs"] == 1
    })
    .await;
    fleet.nodes[owner].process.kill();
    if let Some(first) = first.await.unwrap() {
        assert_eq!(first.ran(), "unknown", "{first:?}");
    }
    for address in others {
        let again = retry_call(&[address], Some("p")).await;
        assert_eq!(
            (again.code(), again.ran()),
            ("CY3104", "unknown"),
            "{again:?}"
        );
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The owner is paused while the service runs the call, until another VM has taken over. When it is
// resumed it still believes that it owns the shard. No VM sends the call again.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_resumed_after_a_takeover_sends_nothing_again() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    fleet.services[0].faults(json!({ "hang": 1 })).await;
    let resumed = fleet.nodes[owner].callers;
    let first = tokio::spawn(async move { call(resumed, Some("p"), OPERATION, KEY).await });
    wait_until(fleet.services[0].address, "/stats", |counts| {
        counts["runs"][0]["runs"] == 1
    })
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    fleet.owner("east", 0, Some(owner)).await;
    let again = retry_call(&fleet.others(owner), Some("p")).await;
    assert_eq!(again.ran(), "unknown", "{again:?}");
    fleet.nodes[owner].signal(Signal::Cont);
    let again = retry_call(&[resumed], Some("p")).await;
    assert_eq!(again.ran(), "unknown", "{again:?}");
    if let Some(first) = first.await.unwrap() {
        assert_eq!(first.ran(), "unknown", "{first:?}");
    }
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The service answers that it refused the call before it ran. The caller is told that the call did
// not run, and the same key runs when the call is repeated.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_refused_by_the_service_may_be_repeated() {
    let fleet = Fleet::start(&three_vms()).await;
    fleet.services[0].faults(json!({ "refuse": 1000 })).await;
    let first = call(fleet.nodes[0].callers, Some("p"), OPERATION, KEY).await;
    let first = first.unwrap();
    assert_eq!(first.ran(), "no", "{first:?}");
    assert_eq!(fleet.runs(KEY, OPERATION).await, 0);
    fleet.services[0].faults(json!({ "refuse": 0 })).await;
    let again = wait_for("the run", async || {
        let again = call(fleet.nodes[1].callers, Some("p"), OPERATION, KEY).await?;
        (again.status == 200).then_some(again)
    })
    .await;
    assert_eq!(again.body["run"], 1);
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1);
}

// The platform's answers to writes are lost after the writes took effect, including the answer to
// the intent. The owner finds out whether the intent was written before it sends anything. What it
// answers is true, and the call runs at most once.
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
    let again = wait_for("the call's end", async || {
        let again = call(fleet.nodes[1].callers, Some("p"), OPERATION, KEY).await?;
        (again.status == 200 || again.ran() == "unknown").then_some(again)
    })
    .await;
    assert_eq!(fleet.runs(KEY, OPERATION).await, 1, "{again:?}");
}
