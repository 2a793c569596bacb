//! Turns stay in order and histories whole when a program's owner dies or freezes.

mod harness;

use harness::Ask;
use harness::Endpoint;
use harness::Fleet;
use harness::PATIENCE;
use harness::Plan;
use harness::Signal;
use harness::chat;
use harness::chat_until_answered;
use harness::get;
use harness::open;
use harness::said;
use harness::until;
use serde_json::json;
use standin::runner::answer;
use wire::chat::Message;

/// What the one selector lets a program generate.
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

/// Asks for a turn until it is answered, checks the answer against the one conversation, and adds
/// both to the history.
async fn next(fleet: &Fleet, skip: usize, history: &mut Vec<Message>, ask: &Ask) {
    history.push(said("user", &ask.text));
    let expected = answer::whole(history, 16);
    let answer = chat_until_answered(&fleet.others(skip), ask).await;
    assert_eq!(answer.content(), expected);
    history.push(said("assistant", &expected));
}

// The owner is killed in the middle of a streamed turn. The caller's stream ends without its
// marker, so it asks for the turn again by the other VMs, and gets the one whole answer to its
// whole history. What the dead owner had reserved counts as spent: in all, the runner never
// generates more than the budget, and a turn that could exceed it is refused.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_owner_loses_no_turn_and_no_budget() {
    let mut fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let entry = fleet.others(owner)[0];
    let mut history = Vec::new();
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 1, "one #tokens=3"),
    )
    .await;
    let second = Ask {
        max_tokens: Some(60),
        ..Ask::turn("p", 2, "two #tokens=40")
    };
    let mut stream = open(entry, &second).await.unwrap();
    stream.words(5).await;
    fleet.nodes[owner].process.kill();
    stream.finish().await;
    assert!(
        !stream.ended,
        "a cut stream passed off as whole: {}",
        stream.text
    );
    next(&fleet, owner, &mut history, &second).await;
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 3, "three #tokens=3"),
    )
    .await;
    let shown = chat(entry, &second).await;
    assert_eq!(
        shown.unwrap().content(),
        history[3].content.as_str().unwrap()
    );
    // 3 + 60 (the dead owner's reservation) + 40 + 3 are spent: 94 are left.
    let over = Ask {
        max_tokens: Some(100),
        ..Ask::turn("p", 4, "four #tokens=100")
    };
    let last = chat(entry, &over).await.unwrap();
    let generated = get(fleet.runners[0].address, "/stats").await["generated"].clone();
    assert!(generated.as_u64().unwrap() <= BUDGET, "{generated}");
    match last.status {
        200 => assert_eq!(last.body["usage"]["completion_tokens"], 94),
        _ => assert_eq!((last.code(), last.ran()), ("CY2101", "no"), "{last:?}"),
    }
}

// The owner is frozen for longer than its lease, and another VM takes the shard over and commits
// a turn. The frozen one wakes up and still thinks that it owns the shard. Asked for the same turn
// with other content it mustn't commit it: its append loses, and the one history stays.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_owner_that_wakes_up_changes_nothing() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let woken = fleet.nodes[owner].callers;
    let mut history = Vec::new();
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 1, "one #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    fleet.owner("east", 0, Some(owner)).await;
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 2, "two #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Cont);
    let other = chat(woken, &Ask::turn("p", 2, "other #tokens=3")).await;
    if let Some(other) = other {
        assert_ne!(other.status, 200, "{other:?}");
    }
    let same = chat_until_answered(&[woken], &Ask::turn("p", 2, "two #tokens=3")).await;
    assert_eq!(same.content(), history[3].content.as_str().unwrap());
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 3, "three #tokens=3"),
    )
    .await;
}

// A turn is forwarded to an owner that has just frozen: the connection is made, as the machine
// still takes it, and nothing comes back. The caller isn't left waiting for the frozen process:
// once another VM has taken the shard over, the entry VM sends the turn there.
#[tokio::test(flavor = "multi_thread")]
async fn a_turn_sent_to_a_frozen_owner_is_answered_by_the_next() {
    let fleet = Fleet::start(&three_vms()).await;
    let owner = fleet.owner("east", 0, None).await;
    let mut history = Vec::new();
    next(
        &fleet,
        owner,
        &mut history,
        &Ask::turn("p", 1, "one #tokens=3"),
    )
    .await;
    fleet.nodes[owner].signal(Signal::Stop);
    let second = Ask::turn("p", 2, "two #tokens=3");
    let answer = tokio::time::timeout(PATIENCE, chat(fleet.others(owner)[0], &second)).await;
    let answer = answer.expect("the caller hangs").unwrap();
    history.push(said("user", &second.text));
    assert_eq!(answer.content(), answer::whole(&history, 16));
}

// The platform takes writes and loses the answers, again and again, while a program goes on. Each
// append is settled by reading it back, so no turn is lost and none is committed twice.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_of_the_platform_lose_no_turn() {
    let fleet = Fleet::start(&three_vms()).await;
    let mut history = Vec::new();
    for turn in 1..=4 {
        fleet.platform_faults(json!({ "lose_answers": 2 })).await;
        let text = format!("turn {turn} #tokens=3");
        next(
            &fleet,
            usize::MAX,
            &mut history,
            &Ask::turn("p", turn, &text),
        )
        .await;
    }
    until(fleet.runners[0].address, "/load", |load| {
        load["running"] == 0
    })
    .await;
    let counts = get(fleet.runners[0].address, "/stats").await;
    assert_eq!(counts["generated"], 12);
}
