//! The whole request path with real processes: caller, entry VM, owner, endpoint and back.

mod harness;

use std::collections::BTreeSet;

use harness::ChatRequest;
use harness::Endpoint;
use harness::Fleet;
use harness::Plan;
use harness::call;
use harness::chat;
use harness::chat_until_answered;
use harness::get;
use harness::message;
use harness::open;
use standin::runner::answer;

fn three_nodes() -> Plan {
    Plan {
        centres: vec![("east", vec!["vm-1", "vm-2"]), ("west", vec!["vm-3"])],
        runners: vec![
            Endpoint {
                name: "runner-fast",
                centre: "east",
                options: vec!["--tokens-per-second", "1000"],
            },
            Endpoint {
                name: "runner-slow",
                centre: "west",
                options: vec!["--tokens-per-second", "200"],
            },
        ],
        ..Plan::default()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_answers_unstreamed_and_streamed() {
    let fleet = Fleet::start(&three_nodes()).await;
    for (index, node) in fleet.nodes.iter().enumerate() {
        let text = format!("plan {index} #tokens=6");
        let expected = answer::whole(&[message("user", &text)], 16);
        let request = ChatRequest {
            text: text.clone(),
            ..ChatRequest::default()
        };
        let whole = chat_until_answered(&[node.callers], &request).await;
        assert_eq!(whole.content(), expected);
        assert_eq!(whole.body["usage"]["completion_tokens"], 6);
        let mut stream = open(node.callers, &request).await.unwrap();
        stream.finish().await;
        assert_eq!((stream.status, stream.ended), (200, true));
        assert_eq!(stream.text, expected);
    }
}

// A program has three turns, each sent to another node. The runner gets the whole history each
// time, so its answer continues the conversation. When the second turn is repeated, it gets the
// stored answer and nothing is generated for it.
#[tokio::test(flavor = "multi_thread")]
async fn a_program_keeps_its_history_on_any_node() {
    let fleet = Fleet::start(&three_nodes()).await;
    let addresses = fleet.addresses();
    let mut history = Vec::new();
    let mut answers = Vec::new();
    for (turn, address) in (1..=3).zip(&addresses) {
        let text = format!("turn {turn} #tokens=4");
        history.push(message("user", &text));
        let expected = answer::whole(&history, 16);
        let answer =
            chat_until_answered(&[*address], &ChatRequest::turn("berth-7", turn, &text)).await;
        assert_eq!(answer.content(), expected, "turn {turn}");
        history.push(message("assistant", &expected));
        answers.push(answer);
    }
    let before = attempts(&fleet).await;
    let again = ChatRequest::turn("berth-7", 2, "turn 2 #tokens=4");
    let again = chat_until_answered(&addresses[..1], &again).await;
    assert_eq!(again.content(), answers[1].content());
    assert_eq!(attempts(&fleet).await, before);
    assert_eq!(before.len(), 3);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_turn_is_refused_and_did_not_run() {
    let fleet = Fleet::start(&Plan::default()).await;
    let address = fleet.nodes[0].callers;
    chat_until_answered(&[address], &ChatRequest::turn("p", 1, "one #tokens=2")).await;
    let skipped = chat(address, &ChatRequest::turn("p", 3, "three"))
        .await
        .unwrap();
    assert_eq!((skipped.status, skipped.code()), (409, "CY1301"));
    assert_eq!(skipped.ran(), "no");
    let other = chat(address, &ChatRequest::turn("p", 1, "other"))
        .await
        .unwrap();
    assert_eq!((other.status, other.code()), (409, "CY1302"));
    assert_eq!(attempts(&fleet).await.len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_service_call_runs_once_and_repeats_are_answered_from_the_journal() {
    let fleet = Fleet::start(&three_nodes()).await;
    let mut bodies = BTreeSet::new();
    for node in &fleet.nodes {
        let answer = call(node.callers, Some("berth-7"), "close", "k1").await;
        let answer = answer.unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        bodies.insert(answer.body.to_string());
    }
    assert_eq!(bodies.len(), 1, "{bodies:?}");
    assert_eq!(fleet.runs("k1", "close").await, 1);
}

async fn attempts(fleet: &Fleet) -> BTreeSet<String> {
    let mut found = BTreeSet::new();
    for runner in &fleet.runners {
        let counts = get(runner.address, "/stats").await;
        let entries = counts["attempts"].as_array().unwrap();
        found.extend(entries.iter().map(|entry| entry["attempt"].to_string()));
    }
    found
}
