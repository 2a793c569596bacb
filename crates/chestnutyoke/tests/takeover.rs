//! Turns stay in order and histories complete when a program's owner is killed or paused.

mod harness;

use harness::ChatRequest;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::Signal;
use harness::TIMEOUT;
use harness::chat;
use harness::chat_until_answered;
use harness::get;
use harness::message;
use harness::open;
use harness::wait_until;
use serde_json::json;
use standin::runner::answer;
use wire::chat::Message;

/// The token budget of a program in the only selector.
const BUDGET: u64 = 200;

fn three_vms() -> Plan {
    Plan {
        runners: vec![Endpoint {
            name: "runner-1",
            centre: "east",
            options: vec!["--tokens-per-second", "50"],
        }],
        configure: |config| config.selectors[0].budget.tokens = BUDGET,
        ..Plan::three_vms()
    }
}

/// Retries a turn until it is answered, checks the answer against the whole conversation, and adds
/// message and answer to the history.
async fn play_turn(fleet: &Fleet, skip: usize, history: &mut Vec<Message>, request: &ChatRequest) {
    history.push(message("user", &request.text));
    let expected = answer::whole(history, 16);
    let answer = chat_until_answered(&fleet.others(skip), request).await;
    assert_eq!(answer.content(), expected);
    history.push(message("assistant", &expected));
}

// The owner is killed in the middle of a streamed turn. The caller's stream ends without its end
// marker, so the caller retries the turn through the other VMs, and gets a complete answer to its
// whole history. What the killed owner had reserved counts as spent: in total, the runner never
// generates more than the budget, and a turn that could exceed it is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_loses_no_turn_and_no_budget() {
    let mut fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.others(owner)[0];
    let mut history = Vec::new();
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 1, "one #tokens=3"),
    )
    .await;
    let second = ChatRequest {
        max_tokens: Some(60),
        ..ChatRequest::turn("p", 2, "two #tokens=40")
    };
    let mut stream = open(entry, &second).await.unwrap();
    stream.words(5).await;
    fleet.nodes[owner].process.kill();
    stream.finish().await;
    assert!(
        !stream.ended,
        "a truncated stream presented as complete: {}",
        stream.text
    );
    play_turn(&fleet, owner, &mut history, &second).await;
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 3, "three #tokens=3"),
    )
    .await;
    let shown = chat(entry, &second).await;
    assert_eq!(
        shown.unwrap().content(),
        history[3].content.as_str().unwrap()
    );
    // 3 + 60 (the killed owner's reservation) + 40 + 3 are spent: 94 are left.
    let over = ChatRequest {
        max_tokens: Some(100),
        ..ChatRequest::turn("p", 4, "four #tokens=100")
    };
    let last = chat(entry, &over).await.unwrap();
    let generated = get(fleet.runners[0].address, "/stats").await["generated"].clone();
    assert!(generated.as_u64().unwrap() <= BUDGET, "{generated}");
    match last.status {
        200 => assert_eq!(last.body["usage"]["completion_tokens"], 94),
        _ => assert_eq!((last.code(), last.ran()), ("CY2101", "no"), "{last:?}"),
    }
}

// The owner is paused for longer than its lease, and another VM takes the shard over and commits a
// turn. When the paused VM resumes, it still believes that it owns the shard. If it is sent the
// same turn with other content, it must not commit it: its append fails, and the history stays
// unchanged.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_resumes_changes_nothing() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let resumed = fleet.nodes[owner].callers;
    let mut history = Vec::new();
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 1, "one #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    fleet.owner("east", 0, Some(owner)).await;
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 2, "two #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Cont);
    let other = chat(resumed, &ChatRequest::turn("p", 2, "other #tokens=3")).await;
    if let Some(other) = other {
        assert_ne!(other.status, 200, "{other:?}");
    }
    let same = chat_until_answered(&[resumed], &ChatRequest::turn("p", 2, "two #tokens=3")).await;
    assert_eq!(same.content(), history[3].content.as_str().unwrap());
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 3, "three #tokens=3"),
    )
    .await;
}

// A turn is forwarded to an owner that has just been paused: the connection is established, because
// the kernel still accepts it, but no answer comes back. The caller doesn't wait for the paused
// process: once another VM has taken the shard over, the entry VM sends the turn there.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_sent_to_a_paused_owner_is_answered_by_the_next() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let mut history = Vec::new();
    play_turn(
        &fleet,
        owner,
        &mut history,
        &ChatRequest::turn("p", 1, "one #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    let second = ChatRequest::turn("p", 2, "two #tokens=3");
    let answer = tokio::time::timeout(TIMEOUT, chat(fleet.others(owner)[0], &second)).await;
    let answer = answer.expect("the caller hangs").unwrap();
    history.push(message("user", &second.text));
    assert_eq!(answer.content(), answer::whole(&history, 16));
}

// The platform applies writes but loses the answers, repeatedly, while a program continues. The
// owner reads each append back to learn its outcome, so no turn is lost and none is committed
// twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_lose_no_turn() {
    let fleet = Fleet::start(&three_vms()).await;
    let mut history = Vec::new();
    for turn in 1..=4 {
        fleet.platform_faults(json!({ "lose_answers": 2 })).await;
        let text = format!("turn {turn} #tokens=3");
        play_turn(
            &fleet,
            usize::MAX,
            &mut history,
            &ChatRequest::turn("p", turn, &text),
        )
        .await;
    }
    wait_until(fleet.runners[0].address, "/load", |load| {
        load["running"] == 0
    })
    .await;
    let counts = get(fleet.runners[0].address, "/stats").await;
    assert_eq!(counts["generated"], 12);
}
