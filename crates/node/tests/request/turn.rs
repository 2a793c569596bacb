//! Budgets, crashes, silence and shutdown while turns run.

use serde_json::json;
use standin::client;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::named;
use crate::fleet::refusal;
use crate::fleet::slow;

/// A program with ten tokens asks for twenty. The runner is told ten, so the answer ends there;
/// the next turn finds nothing left, and the runners never generated more than ten.
#[tokio::test]
async fn a_budget_is_never_exceeded() {
    let budget = json!({"tokens": 10, "turns": 5, "idle": "60s"});
    let fleet = Fleet::start(Plan {
        selector: json!({"budget": budget}),
        ..Plan::default()
    })
    .await;
    let chat = client::chat("plan #tokens=20");
    let first = fleet.ask(CHAT, &named("berth", "1"), &chat).await;
    assert_eq!(first.0, 200, "{}", first.1);
    assert_eq!(first.1["choices"][0]["finish_reason"], "length");
    let next = fleet.ask(CHAT, &named("berth", "2"), &chat).await;
    assert_eq!(refusal(&next), ("CY2101", "no"));
    let attempts = fleet.attempts().await;
    let generated: u64 = attempts
        .iter()
        .map(|a| a["generated"].as_u64().unwrap())
        .sum();
    assert_eq!(generated, 10);
}

/// A request crashes the runner that has it, and the next one, too. Its caller is told finally
/// after the second; asked again, each time as another program and so of any shard, it isn't run.
#[tokio::test]
async fn a_request_that_crashes_runners_is_stopped() {
    let fleet = Fleet::plain().await;
    fleet.fault_all(json!({"crash_mark": "poison"})).await;
    let chat = client::chat("poison");
    let first = fleet.ask(CHAT, &[], &chat).await;
    assert_eq!(refusal(&first), ("CY3102", "yes"));
    fleet.fault_all(json!({"crashed": false})).await;
    let before = fleet.attempts().await.len();
    for _ in 0..8 {
        let again = fleet.ask(CHAT, &[], &chat).await;
        assert_eq!(refusal(&again), ("CY3102", "no"));
    }
    assert_eq!(fleet.attempts().await.len(), before);
}

/// A runner starts an answer and then says nothing more. After the silence the turn goes on at
/// the other runner, and the caller gets a whole answer.
#[tokio::test]
async fn a_silent_runner_is_left() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nsilence = \"300ms\"\n",
        ..Plan::default()
    })
    .await;
    fleet.fault(0, json!({"hang": true})).await;
    let answers = async {
        let mut all = Vec::new();
        for _ in 0..4 {
            all.push(fleet.ask(CHAT, &[], &client::chat("plan")).await);
        }
        all
    };
    for answer in answers.await {
        assert_eq!(answer.0, 200, "{}", answer.1);
    }
}

/// SIGTERM comes while an answer streams. The stream still ends whole and is committed, and the
/// listener closes only then.
#[tokio::test]
async fn a_shutdown_cuts_nothing_off() {
    let fleet = Fleet::start(Plan {
        runner: slow(),
        ..Plan::default()
    })
    .await;
    let mut chat = client::chat("plan #tokens=12");
    chat["stream"] = json!(true);
    let bearer = format!("Bearer {}", client::TOKEN);
    let headers = [("authorization", bearer.as_str())];
    let body = chat.to_string();
    let response = client::send(fleet.callers, "POST", CHAT, &headers, &body).await;
    let (node, callers) = (fleet.node, fleet.callers);
    node.shutdown().await;
    // Where the process would end now, all that the caller gets has left the node.
    let journal = platform::edge::Platform::range(&fleet.platform, "journal/", "", 100).await;
    let journal = journal.unwrap();
    let holds = |part: &[u8]| {
        let entries = journal.iter();
        entries
            .filter(|e| e.value.windows(part.len()).any(|w| w == part))
            .count()
    };
    assert_eq!(holds(b"Committed"), 1);
    let streamed = client::stream(response.unwrap()).await;
    assert!(streamed.1, "{}", streamed.0);
    let closed = client::send(callers, "GET", "/health", &[], "").await;
    assert!(closed.is_none());
}

/// Both runners are gone: the caller is told at once that its request didn't run, and when to come
/// again.
#[tokio::test]
async fn without_a_runner_nothing_runs() {
    let mut fleet = Fleet::plain().await;
    for runner in fleet.runners.drain(..) {
        runner.stop().await;
    }
    let answer = fleet.ask(CHAT, &[], &client::chat("plan")).await;
    let (_, ran) = refusal(&answer);
    assert_eq!(ran, "no", "{}", answer.1);
}

/// The platform is down and no other VM of the data centre is left to hold a copy. A turn couldn't
/// be kept, so its caller is told at once that it didn't run and when to come again, in place of
/// waiting for the platform unknowing; after the outage the same turn runs, once.
#[tokio::test]
async fn a_vm_alone_in_an_outage_says_so_at_once() {
    let fleet = Fleet::plain().await;
    let chat = client::chat("one");
    fleet.platform.set_down(true);
    fleet.until_outage().await;
    let answer = fleet.ask(CHAT, &named("berth", "1"), &chat).await;
    assert_eq!(refusal(&answer), ("CY4104", "no"));
    assert!(answer.1["error"]["retry_after_ms"].is_u64(), "{}", answer.1);
    assert!(fleet.attempts().await.is_empty());
    fleet.platform.set_down(false);
    fleet.until_answers().await;
    let answer = fleet.ask(CHAT, &named("berth", "1"), &chat).await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    assert_eq!(fleet.attempts().await.len(), 1);
}
