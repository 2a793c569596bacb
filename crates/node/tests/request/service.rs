//! Calls that may run at most once.

use std::sync::Arc;

use bytes::Bytes;
use node::filters::route;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use standin::client;
use tokio::sync::mpsc;
use wire::ask::Ask;
use wire::ask::Body;
use wire::ask::Call;
use wire::ask::Reply;
use wire::code::Code;
use wire::code::Ran;
use wire::id;

use crate::fleet::Fleet;
use crate::fleet::refusal;

const SWITCH: &str = "/v1/services/shore/switch";
const KEY: [(&str, &str); 1] = [("idempotency-key", "order-1")];

async fn runs(fleet: &Fleet) -> u64 {
    let stats = client::get(fleet.service.address(), "/stats").await;
    let runs = stats["runs"].as_array().unwrap().clone();
    runs.iter().map(|run| run["runs"].as_u64().unwrap()).sum()
}

/// The service runs the order and its answer is lost. The caller is told that the outcome isn't
/// known, now and when it asks again; the order isn't sent a second time.
#[tokio::test]
async fn a_lost_answer_is_never_sent_again() {
    let fleet = Fleet::plain().await;
    client::post(
        fleet.service.address(),
        "/faults",
        &[],
        &json!({"lose_answers": 1}),
    )
    .await;
    for _ in 0..3 {
        let answer = fleet.ask(SWITCH, &KEY, &json!({"berth": 4})).await;
        assert_eq!(refusal(&answer), ("CY3104", "unknown"));
    }
    assert_eq!(runs(&fleet).await, 1);
}

/// The service refuses the order before it runs. The refusal is passed over by another try, so
/// the caller gets the one run's answer.
#[tokio::test]
async fn a_refused_order_may_be_sent_again() {
    let fleet = Fleet::plain().await;
    client::post(
        fleet.service.address(),
        "/faults",
        &[],
        &json!({"refuse": 1}),
    )
    .await;
    let mut answer = fleet.ask(SWITCH, &KEY, &json!({})).await;
    while refusal(&answer).1 == "no" {
        answer = fleet.ask(SWITCH, &KEY, &json!({})).await;
    }
    assert_eq!(answer.0, 200, "{}", answer.1);
    assert_eq!(runs(&fleet).await, 1);
}

/// Two callers' connections send the same order at once; it runs once and both get its answer.
/// The same key with other content is refused.
#[tokio::test]
async fn the_same_order_at_once_runs_once() {
    let fleet = Fleet::plain().await;
    client::post(
        fleet.service.address(),
        "/faults",
        &[],
        &json!({"delay_ms": 100}),
    )
    .await;
    let body = json!({"berth": 4});
    let (one, two) = tokio::join!(
        fleet.ask(SWITCH, &KEY, &body),
        fleet.ask(SWITCH, &KEY, &body)
    );
    assert_eq!(one.0, 200, "{}", one.1);
    assert_eq!(one, two);
    let other = fleet.ask(SWITCH, &KEY, &json!({"berth": 5})).await;
    assert_eq!(refusal(&other), ("CY1304", "no"));
    assert_eq!(runs(&fleet).await, 1);
}

/// The platform is down. An order that may run at most once is refused and says when to come
/// again; after the outage the same order runs.
#[tokio::test]
async fn an_outage_refuses_orders() {
    let fleet = Fleet::plain().await;
    fleet.platform.set_down(true);
    let answer = fleet.ask(SWITCH, &KEY, &json!({})).await;
    assert_eq!(refusal(&answer), ("CY4104", "no"));
    assert!(answer.1["error"]["retry_after_ms"].is_u64(), "{}", answer.1);
    assert_eq!(runs(&fleet).await, 0);
    fleet.platform.set_down(false);
    let answer = tokio::time::timeout(client::PATIENCE, async {
        loop {
            let answer = fleet.ask(SWITCH, &KEY, &json!({})).await;
            if answer.0 == 200 {
                return answer;
            }
        }
    });
    answer.await.expect("the order runs after the outage");
    assert_eq!(runs(&fleet).await, 1);
}

/// An operation that may be repeated is sent again when its answer is lost.
#[rstest]
#[case::lost(json!({"lose_answers": 1}))]
#[case::refused(json!({"refuse": 1}))]
#[tokio::test]
async fn a_read_is_tried_again(#[case] faults: Value) {
    let fleet = Fleet::plain().await;
    client::post(fleet.service.address(), "/faults", &[], &faults).await;
    let answer = fleet.ask("/v1/services/shore/read", &[], &json!({})).await;
    assert_eq!(answer.0, 200, "{}", answer.1);
}

/// Hands an order to its program's owner as a VM does that the caller entered.
async fn order(fleet: &Fleet, key: &str) -> Option<Reply> {
    let core = fleet.node.core();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    let ask = Ask {
        program,
        caller: id::Caller::parse("tug").unwrap(),
        revision: 1,
        deadline: None,
        hops: 1,
        body: Body::Call(Call {
            service: id::Service::parse("shore").unwrap(),
            operation: "switch".to_owned(),
            key: Some(id::Key::parse(key).unwrap()),
            body: Bytes::from_static(b"{}"),
        }),
    };
    let (sender, mut replies) = mpsc::unbounded_channel();
    assert!(core.registry.ask(&shard, ask, sender).is_ok());
    replies.recv().await
}

// An order ran, and its answer was lost on the way. It is asked again; the owner has a newer configuration
// than the VM that the caller entered, and no selector allows the order any more. Refused as not run, the
// caller would give another one and both would have run. It gets the order's answer; a new one is refused.
#[tokio::test]
async fn an_order_that_ran_is_answered_though_it_is_not_allowed_any_more() {
    let fleet = Fleet::plain().await;
    let first = order(&fleet, "order-1").await;
    assert!(
        matches!(first, Some(Reply::Called { status: 200, .. })),
        "{first:?}"
    );
    fleet.node.core().update(|view| {
        Arc::make_mut(&mut view.config).selectors.clear();
    });
    assert_eq!(order(&fleet, "order-1").await, first);
    let Some(Reply::Refused(refusal)) = order(&fleet, "order-2").await else {
        panic!("the order was let in");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::NotAllowed, Ran::No));
    assert_eq!(runs(&fleet).await, 1);
}
