//! Turns that run while budgets are used up, runners fail, the platform is down or the node stops.

use std::time::Duration;

use policy::crash::MAX_CRASHES;
use serde_json::json;
use standin::client;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::named;
use crate::fleet::refusal;
use crate::fleet::slow;

/// The pause after a refusal that says that nothing has run.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

// A program with a budget of 10 tokens asks for 20. The runner is limited to 10, so the answer ends
// there. The next turn finds no budget left, and the runners never generate more than 10.
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

// A request crashes the first runner and then the second. After the second crash its caller gets a
// final refusal. When sent again, each time as another program and so in any shard, it isn't run.
#[tokio::test]
async fn a_request_that_crashes_runners_is_refused() {
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

/// Guards against new messages that crash runners again in each program, as they follow another history.
#[tokio::test]
async fn messages_that_crash_runners_are_refused_after_any_history() {
    let fleet = Fleet::plain().await;
    fleet.fault_all(json!({"crash_mark": "poison"})).await;
    let mut runs = 0;
    for number in 0..4 {
        fleet.fault_all(json!({"crashed": false})).await;
        let program = format!("berth-{number}");
        let first = client::chat(&format!("plan {number}"));
        let begun = tokio::time::timeout(client::TIMEOUT, async {
            // Runners that have crashed are left alone for a while.
            while fleet.ask(CHAT, &named(&program, "1"), &first).await.0 == 503 {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        });
        begun.await.expect("the program's first turn runs");
        let before = fleet.attempts().await.len();
        let next = client::chat("poison");
        let refused = fleet.ask(CHAT, &named(&program, "2"), &next).await;
        assert_eq!(refusal(&refused).0, "CY3102");
        runs += fleet.attempts().await.len() - before;
    }
    assert!(runs <= MAX_CRASHES, "{runs} runs");
}

// A runner starts an answer and then sends nothing more. After the `silence` timeout, the turn
// continues at the other runner, and the caller gets a complete answer.
#[tokio::test]
async fn a_turn_moves_away_from_a_silent_runner() {
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

// The node gets SIGTERM while an answer streams. The stream is still completed and committed, and
// only then does the listener close.
#[tokio::test]
async fn a_shutdown_completes_running_streams() {
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
    // The process would end here: everything that the caller gets has been sent by now.
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

// Both runners are gone. The caller is told at once that its request didn't run, and when to retry.
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

// The platform is down, and no other VM of the data centre is left to hold a copy. A turn couldn't
// be recorded, so its caller is told at once that it didn't run and when to retry, instead of
// waiting for the platform without knowing why. After the outage the same turn runs, once.
#[tokio::test]
async fn a_lone_vm_refuses_turns_at_once_during_an_outage() {
    let fleet = Fleet::plain().await;
    let chat = client::chat("one");
    fleet.platform.set_down(true);
    fleet.until_outage().await;
    let answer = fleet.ask(CHAT, &named("berth", "1"), &chat).await;
    assert_eq!(refusal(&answer), ("CY4104", "no"));
    assert!(answer.1["error"]["retry_after_ms"].is_u64(), "{}", answer.1);
    assert!(fleet.attempts().await.is_empty());
    fleet.platform.set_down(false);
    fleet.until_platform_answers().await;
    let answer = fleet.ask(CHAT, &named("berth", "1"), &chat).await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    assert_eq!(fleet.attempts().await.len(), 1);
}
