//! Requests that are refused by limits, before they reach their owner.

use std::time::Duration;

use rstest::rstest;
use serde_json::json;
use standin::client;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::refusal;

const SWITCH: &str = "/v1/services/shore/switch";

// A caller sends a few bytes and then stalls. Its connection ends, with a result code if the
// headers were complete, and the node answers others meanwhile.
#[tokio::test]
async fn a_stalled_caller_loses_its_connection() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nreceive = \"200ms\"\n",
        ..Plan::default()
    })
    .await;
    let requests = [
        ("POST /v1/chat/comp", ""),
        (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{",
            "CY1106",
        ),
    ];
    for (sent, code) in requests {
        let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        let answered = fleet.ask(CHAT, &[], &client::chat("x")).await;
        assert_eq!(answered.0, 200, "{}", answered.1);
        let mut rest = String::new();
        let read = tokio::time::timeout(client::TIMEOUT, stream.read_to_string(&mut rest));
        read.await.expect("the connection ends").unwrap();
        assert!(rest.contains(code), "{rest}");
    }
}

// Idle connections use up the routine limit. Routine work is refused with a result code, because
// only the connections reserved for urgent work are left; urgent work is accepted on them.
#[tokio::test]
async fn the_last_connections_are_reserved_for_urgent_work() {
    for (class, status) in [("routine", 503), ("urgent", 200)] {
        let fleet = Fleet::start(Plan {
            selector: json!({"class": class}),
            limits: "[limits]\nconnections = 4\nconnections_urgent = 2\n",
            ..Plan::default()
        })
        .await;
        let mut idle = Vec::new();
        for _ in 0..2 {
            idle.push(TcpStream::connect(fleet.callers).await.unwrap());
        }
        while fleet.node.core().connections.open() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = fleet.ask(CHAT, &[], &client::chat("x")).await;
        assert_eq!(answer.0, status, "{}", answer.1);
    }
}

// Idle connections fill the listener, all of it or all but the connections reserved for urgent
// work, and a call with an idempotency key is refused. Only its owner knows whether an earlier
// request with that key ran. If the refusal said "no", the caller would send the call under another
// key, and both might run. A request without a key hasn't run.
#[rstest]
#[case::all_connections(4)]
#[case::routine_connections(2)]
#[tokio::test]
async fn a_call_refused_by_a_full_listener_may_have_run(#[case] open: usize) {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nconnections = 4\nconnections_urgent = 2\n",
        ..Plan::default()
    })
    .await;
    let mut idle = Vec::new();
    for _ in 0..open {
        idle.push(TcpStream::connect(fleet.callers).await.unwrap());
    }
    while fleet.node.core().connections.open() < u32::try_from(open).unwrap() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let key = [("idempotency-key", "order-1")];
    let call = fleet.ask(SWITCH, &key, &json!({})).await;
    assert_eq!(refusal(&call), ("CY1108", "unknown"), "{}", call.1);
    let chat = fleet.ask(CHAT, &[], &client::chat("x")).await;
    assert_eq!(refusal(&chat), ("CY1108", "no"), "{}", chat.1);
}

// A call is sent again with its idempotency key, and refused before its program's owner sees it:
// its token has been removed from the configuration, or its body exceeds the limit now. Only the
// owner's journal knows whether the first request ran. If the refusal said "no", the caller would
// send the call under another key, and both might run.
#[rstest]
#[case::unknown_token("nobody", 1, "CY1201")]
#[case::long_body(client::TOKEN, 1_000, "CY1102")]
#[tokio::test]
async fn a_call_refused_before_its_owner_may_have_run(
    #[case] token: &str,
    #[case] length: usize,
    #[case] code: &str,
) {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nbody = \"500B\"\n",
        ..Plan::default()
    })
    .await;
    let bearer = format!("Bearer {token}");
    let headers = [
        ("authorization", bearer.as_str()),
        ("idempotency-key", "order-1"),
    ];
    let body = json!({ "text": "x".repeat(length) });
    let call = client::post(fleet.callers, SWITCH, &headers, &body).await;
    assert_eq!(refusal(&call), (code, "unknown"), "{}", call.1);
    let plain = client::post(fleet.callers, SWITCH, &headers[..1], &body).await;
    assert_eq!(refusal(&plain), (code, "no"), "{}", plain.1);
}

// A call's body of several megabytes exceeds the limit. The sender must get the refusal, which says
// that an earlier request may have run; a connection reset would say nothing.
#[tokio::test]
async fn a_refusal_of_a_body_over_the_limit_reaches_its_sender() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nbody = \"500B\"\n",
        ..Plan::default()
    })
    .await;
    let head = format!("POST {SWITCH} HTTP/1.1\r\nidempotency-key: order-1\r\n");
    let answer = send_all(&fleet, &head).await;
    assert!(answer.contains("CY1102"), "{answer}");
    assert!(answer.contains(r#""ran":"unknown""#), "{answer}");
}

// A request is refused by its path or a header, or because no connection is left, while its sender
// is still sending megabytes. If the connection were closed with bytes unread, it would be reset
// and the refusal lost.
#[rstest]
#[case::by_the_path("/v1/nothing", "x", 0, "CY1105")]
#[case::by_a_header(CHAT, "1\r\nchestnutyoke-program: a b", 0, "CY1104")]
#[case::by_the_connection_limit(CHAT, "1", 4, "CY1108")]
#[tokio::test]
async fn a_refusal_reaches_the_sender_of_a_long_body(
    #[case] path: &str,
    #[case] deadline: &str,
    #[case] open: u32,
    #[case] code: &str,
) {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nbody = \"4MiB\"\nconnections = 4\nconnections_urgent = 2\n",
        ..Plan::default()
    })
    .await;
    let mut idle = Vec::new();
    for _ in 0..open {
        idle.push(TcpStream::connect(fleet.callers).await.unwrap());
    }
    while fleet.node.core().connections.open() < open {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let head = format!("POST {path} HTTP/1.1\r\nchestnutyoke-deadline-ms: {deadline}\r\n");
    let answer = send_all(&fleet, &head).await;
    assert!(answer.contains(code), "{answer}");
    assert!(answer.contains(r#""ran":"no""#), "{answer}");
}

/// Sends a request with a body of 8 MB, all of it before reading anything, as simple clients do.
async fn send_all(fleet: &Fleet, head: &str) -> String {
    let body = "x".repeat(8_000_000);
    let length = body.len();
    let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
    let request =
        format!("{head}host: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the whole request is sent");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the connection ends without a reset");
    answer
}

// A caller waits for `100 Continue` before it sends its body, and is refused by the path. Reading
// the body would make the caller send it for nothing, so it isn't requested, and the connection
// ends.
#[tokio::test]
async fn a_refusal_by_the_path_requests_no_body() {
    let fleet = Fleet::plain().await;
    let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
    let head = "POST /v1/nothing HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
                content-length: 3000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut rest = String::new();
    let read = tokio::time::timeout(client::TIMEOUT, stream.read_to_string(&mut rest));
    read.await.expect("the connection ends").unwrap();
    assert!(rest.starts_with("HTTP/1.1 404"), "{rest}");
    assert!(rest.contains("CY1105"), "{rest}");
}
