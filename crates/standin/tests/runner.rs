//! Tests of the runner stand-in over HTTP.

use std::net::SocketAddr;

use http_body_util::BodyExt;
use serde_json::Value;
use serde_json::json;
use standin::client::content;
use standin::client::get;
use standin::client::post;
use standin::client::read_json;
use standin::client::send;
use standin::client::stream;
use standin::client::until;
use standin::http::Server;
use standin::runner;
use standin::runner::Settings;
use tokio::net::TcpListener;
use wire::chat::Message;
use wire::clock::Clock;

const CHAT: &str = "/v1/chat/completions";

async fn start(settings: Settings) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    runner::serve(listener, settings, Clock::System).unwrap()
}

fn fast() -> Settings {
    Settings {
        tokens_per_second: 2_000.0,
        prefill_per_second: 1e6,
        ..Settings::default()
    }
}

fn request(text: &str, streamed: bool) -> Value {
    json!({
        "model": "m",
        "stream": streamed,
        "messages": [{ "role": "user", "content": text }],
    })
}

fn expected(text: &str) -> String {
    let message = Message {
        role: "user".to_owned(),
        content: Value::String(text.to_owned()),
        rest: serde_json::Map::new(),
    };
    runner::answer::whole(&[message], 16)
}

async fn chat(address: SocketAddr, program: &str, attempt: &str, body: &Value) -> (u16, Value) {
    let headers = [(runner::PROGRAM, program), (runner::ATTEMPT, attempt)];
    let response = send(address, "POST", CHAT, &headers, &body.to_string()).await;
    read_json(response.expect("no answer")).await
}

#[tokio::test]
async fn whole_and_streamed_answers_are_the_same() {
    let server = start(fast()).await;
    let text = "plan #tokens=9";
    let (status, answer) = chat(server.address(), "p", "1", &request(text, false)).await;
    assert_eq!(status, 200);
    let content_of_answer = &answer["choices"][0]["message"]["content"];
    assert_eq!(content_of_answer, &Value::String(expected(text)));
    assert_eq!(answer["usage"]["completion_tokens"], 9);
    assert_eq!(answer["choices"][0]["finish_reason"], "stop");
    let body = request(text, true).to_string();
    let response = send(server.address(), "POST", CHAT, &[], &body).await;
    let (events, ended) = stream(response.unwrap()).await;
    assert!(ended);
    assert_eq!(content(&events), expected(text));
}

#[tokio::test]
async fn the_prefix_of_a_second_turn_is_cached_until_it_is_released() {
    let server = start(fast()).await;
    let address = server.address();
    let (_, first) = chat(address, "p", "1", &request("one two #tokens=4", false)).await;
    let mut body = request("one two #tokens=4", false);
    let messages = body["messages"].as_array_mut().unwrap();
    messages.push(first["choices"][0]["message"].clone());
    messages.push(json!({ "role": "user", "content": "three #tokens=1" }));
    let (_, second) = chat(address, "p", "2", &body).await;
    // The question has three words and the answer four tokens; each message has one token more for
    // its role.
    assert_eq!(second["usage"]["cached_tokens"], 4 + 5);
    assert_eq!(get(address, "/cache").await["programs"][0]["program"], "p");
    let release = json!({ "order": "release", "program": "p", "fence": 3 });
    assert_eq!(post(address, "/orders", &[], &release).await.0, 200);
    assert_eq!(get(address, "/cache").await["programs"], json!([]));
    let (_, third) = chat(address, "p", "3", &body).await;
    assert_eq!(third["usage"]["cached_tokens"], 0);
}

#[tokio::test]
async fn an_order_with_a_lower_fence_is_refused_unless_fences_are_ignored() {
    let server = start(fast()).await;
    let address = server.address();
    let order = |fence: u64| json!({ "order": "role", "role": "r", "scope": "s", "fence": fence });
    assert_eq!(post(address, "/orders", &[], &order(5)).await.0, 200);
    let (status, refusal) = post(address, "/orders", &[], &order(4)).await;
    assert_eq!((status, &refusal["ran"]), (409, &json!("no")));
    assert_eq!(post(address, "/orders", &[], &order(5)).await.0, 200);
    post(address, "/faults", &[], &json!({ "ignore_fences": true })).await;
    assert_eq!(post(address, "/orders", &[], &order(4)).await.0, 200);
}

#[tokio::test]
async fn a_draining_runner_finishes_its_calls_and_refuses_new_ones() {
    let server = start(Settings {
        tokens_per_second: 100.0,
        ..fast()
    })
    .await;
    let address = server.address();
    let running =
        tokio::spawn(async move { chat(address, "p", "1", &request("#tokens=20", false)).await });
    until(address, "/load", |load| load["running"] == 1).await;
    post(
        address,
        "/orders",
        &[],
        &json!({ "order": "drain", "fence": 1 }),
    )
    .await;
    let (status, refusal) = chat(address, "q", "2", &request("#tokens=2", false)).await;
    assert_eq!((status, &refusal["ran"]), (503, &json!("no")));
    assert_eq!(get(address, "/load").await["leaving"], true);
    assert_eq!(running.await.unwrap().0, 200);
    let counters = get(address, "/stats").await;
    assert_eq!(counters["attempts"].as_array().unwrap().len(), 1);
}

// The only slot is taken. An urgent call arrives after a routine one and gets the slot first.
#[tokio::test]
async fn the_lowest_priority_number_gets_a_slot_first() {
    let server = start(Settings { slots: 1, ..fast() }).await;
    let address = server.address();
    post(address, "/faults", &[], &json!({ "hang": true })).await;
    let body = request("#tokens=2", true).to_string();
    let first = send(address, "POST", CHAT, &[], &body).await.unwrap();
    until(address, "/load", |load| load["running"] == 1).await;
    let mut calls = Vec::new();
    let order = [("routine", 5), ("urgent", 0)];
    for (already_waiting, (attempt, priority)) in order.into_iter().enumerate() {
        let mut body = request("#tokens=2", false);
        body["priority"] = json!(priority);
        calls.push(tokio::spawn(async move {
            chat(address, "", attempt, &body).await;
        }));
        until(address, "/load", |load| {
            load["waiting"] == already_waiting + 1
        })
        .await;
    }
    // The call that gets the slot hangs, so that the other one stays in the queue.
    drop(first);
    let started = |counters: &Value| -> Vec<String> {
        let attempts = counters["attempts"].as_array().unwrap().iter();
        let started = attempts
            .skip(1)
            .filter(|attempt| attempt["started"] == true);
        started
            .map(|attempt| attempt["attempt"].to_string())
            .collect()
    };
    let counters = until(address, "/stats", |counters| !started(counters).is_empty()).await;
    assert_eq!(started(&counters), ["\"urgent\""]);
}

// The caller disconnects during the answer. The runner stops generating and frees the slot.
#[tokio::test]
async fn a_call_whose_caller_disconnects_is_stopped() {
    let server = start(Settings {
        tokens_per_second: 200.0,
        ..fast()
    })
    .await;
    let address = server.address();
    for streamed in [true, false] {
        let body = request("#tokens=100000", streamed).to_string();
        let call = tokio::spawn(async move {
            let response = send(address, "POST", CHAT, &[], &body).await.unwrap();
            response.into_body().collect().await.map(drop)
        });
        until(address, "/load", |load| load["running"] == 1).await;
        call.abort();
        until(address, "/load", |load| load["running"] == 0).await;
    }
    let counters = get(address, "/stats").await;
    assert_eq!(counters["aborted"], 2);
    assert_eq!(counters["attempts"][0]["finished"], false);
}

#[tokio::test]
async fn a_cut_breaks_one_stream_without_its_end_marker() {
    let server = start(fast()).await;
    let address = server.address();
    post(
        address,
        "/faults",
        &[],
        &json!({ "cuts": 1, "cut_after": 3 }),
    )
    .await;
    let text = "#tokens=8";
    let body = request(text, true).to_string();
    let cut = send(address, "POST", CHAT, &[], &body).await.unwrap();
    let (events, ended) = stream(cut).await;
    assert!(!ended);
    let partial = content(&events);
    assert_eq!(partial.split_whitespace().count(), 3);
    assert!(expected(text).starts_with(&partial));
    let again = send(address, "POST", CHAT, &[], &body).await.unwrap();
    assert!(stream(again).await.1);
}

// A request with the crash marker crashes the runner. The connections of all other calls on it
// break, and new calls get no answer until the crash is cleared.
#[tokio::test]
async fn a_request_with_the_crash_marker_breaks_every_call() {
    let server = start(Settings {
        tokens_per_second: 100.0,
        ..fast()
    })
    .await;
    let address = server.address();
    post(address, "/faults", &[], &json!({ "crash_mark": "boom" })).await;
    let body = request("#tokens=100000", true).to_string();
    let other = send(address, "POST", CHAT, &[], &body).await.unwrap();
    let marked = request("say boom", false).to_string();
    assert!(send(address, "POST", CHAT, &[], &marked).await.is_none());
    assert!(!stream(other).await.1);
    assert!(send(address, "GET", "/load", &[], "").await.is_none());
    post(address, "/faults", &[], &json!({ "crashed": false })).await;
    assert_eq!(get(address, "/load").await["running"], 0);
}

#[tokio::test]
async fn a_fully_generated_answer_can_be_dropped() {
    let server = start(fast()).await;
    let address = server.address();
    post(address, "/faults", &[], &json!({ "drop_answers": 1 })).await;
    let body = request("#tokens=3", false).to_string();
    assert!(send(address, "POST", CHAT, &[], &body).await.is_none());
    let counters = get(address, "/stats").await;
    assert_eq!(counters["attempts"][0]["finished"], true);
    assert_eq!(counters["generated"], 3);
}

#[tokio::test]
async fn load_reports_lag_and_unknown_faults_are_refused() {
    let server = start(fast()).await;
    let address = server.address();
    let faults = json!({ "load_lag_ms": 3_600_000, "cache_gap": 2 });
    post(address, "/faults", &[], &faults).await;
    assert_eq!(get(address, "/load").await["leaving"], false);
    post(
        address,
        "/orders",
        &[],
        &json!({ "order": "drain", "fence": 1 }),
    )
    .await;
    assert_eq!(get(address, "/load").await["leaving"], false);
    let unknown = json!({ "no_such_fault": 1 });
    assert_eq!(post(address, "/faults", &[], &unknown).await.0, 400);
    post(address, "/faults", &[], &json!({ "load_lag_ms": 0 })).await;
    assert_eq!(get(address, "/load").await["leaving"], true);
}
