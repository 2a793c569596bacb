//! An endpoint that sends an answer a second time when the next request on its connection has come.

use fakes::scripted::Behaviour;
use serde_json::Value;
use serde_json::json;
use standin::client;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;

/// How many turns are asked for.
const TURNS: usize = 20;
/// How many questions for its load the endpoint has got at the end.
const QUESTIONS: usize = 8;

async fn start() -> Fleet {
    Fleet::start(Plan {
        scripted: Some(Behaviour::AnswersTwice),
        ..Plan::default()
    })
    .await
}

fn questions_asked(fleet: &Fleet) -> usize {
    let scripted = fleet.scripted.as_ref().expect("a scripted endpoint");
    let requests = scripted.requests();
    let questions = requests
        .iter()
        .filter(|one| one.head.starts_with("GET /load "));
    questions.count()
}

/// Calls a service until the endpoint has been asked for its load some times. Returns the keys and answers.
async fn call(fleet: &Fleet) -> Vec<(String, (u16, Value))> {
    let mut answers = Vec::new();
    while questions_asked(fleet) < QUESTIONS {
        let key = format!("order-{}", answers.len());
        let headers = [("idempotency-key", key.as_str())];
        let path = "/v1/services/shore/switch";
        let answer = fleet.ask(path, &headers, &json!({})).await;
        answers.push((key, answer));
    }
    answers
}

/// Guards against a call that is answered, for good, with the second answer to another call or to a
/// question.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_get_their_own_answers() {
    let fleet = start().await;
    for (key, answer) in call(&fleet).await {
        assert_eq!(answer, (200, json!({"key": key, "leaving": true})));
    }
}

/// Guards against a second answer to a call that is taken for the load of its endpoint, which then gets no
/// calls.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_answer_to_a_call_is_no_load_report() {
    let fleet = start().await;
    for (key, answer) in call(&fleet).await {
        assert_eq!(answer.0, 200, "{key}: {}", answer.1);
    }
}

/// Guards against a turn that is answered with the second answer to another turn or to a question.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn turns_get_their_own_answers() {
    let fleet = start().await;
    let mut echoes = 0;
    for number in 0..TURNS {
        let message = format!("echo plan {number}");
        let answer = fleet.ask(CHAT, &[], &client::chat(&message)).await;
        assert_eq!(answer.0, 200, "{}", answer.1);
        let content = &answer.1["choices"][0]["message"]["content"];
        if content.as_str().is_some_and(|text| text.contains("echo")) {
            assert_eq!(content, &json!(message));
            echoes += 1;
        }
    }
    assert!(echoes > 0);
}
