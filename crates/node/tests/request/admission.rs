//! Limits at the door.

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

/// A caller sends a few bytes and then waits. Its connection ends, with a number where the headers
/// were whole, and the node answers others meanwhile.
#[tokio::test]
async fn a_trickling_caller_loses_its_connection() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nreceive = \"200ms\"\n",
        ..Plan::default()
    })
    .await;
    let starts = [
        ("POST /v1/chat/comp", ""),
        (
            "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{",
            "CY1106",
        ),
    ];
    for (start, code) in starts {
        let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
        stream.write_all(start.as_bytes()).await.unwrap();
        let answered = fleet.ask(CHAT, &[], &client::chat("x")).await;
        assert_eq!(answered.0, 200, "{}", answered.1);
        let mut rest = String::new();
        let read = tokio::time::timeout(client::PATIENCE, stream.read_to_string(&mut rest));
        read.await.expect("the connection ends").unwrap();
        assert!(rest.contains(code), "{rest}");
    }
}

/// Idle connections fill the listener. Routine work is refused with a number, as only the room
/// kept for urgent work is left, which urgent work gets.
#[tokio::test]
async fn the_last_connections_are_for_urgent_work() {
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

/// Idle connections fill the listener, and an order under a key is refused for want of room, by all of
/// it or all but the room for urgent work. Whether an earlier asking ran, only its owner knows; told
/// "no" here, the caller would give another order and both might run. What has no key hasn't run.
#[rstest]
#[case::no_room(4)]
#[case::room_for_urgent_work(2)]
#[tokio::test]
async fn a_full_door_says_no_of_no_order(#[case] open: usize) {
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
    let order = fleet.ask(SWITCH, &key, &json!({})).await;
    assert_eq!(refusal(&order), ("CY1108", "unknown"), "{}", order.1);
    let chat = fleet.ask(CHAT, &[], &client::chat("x")).await;
    assert_eq!(refusal(&chat), ("CY1108", "no"), "{}", chat.1);
}

// An order is asked again, and refused before its program's owner sees it: its token has gone from the
// configuration, or its body is over the limit now. Whether the first asking ran only the owner's journal
// knows; told "no" here, the caller would give another order and both might run.
#[rstest]
#[case::unknown_token("nobody", 1, "CY1201")]
#[case::long_body(client::TOKEN, 1_000, "CY1102")]
#[tokio::test]
async fn a_refusal_before_the_owner_says_no_of_no_order(
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
    let order = client::post(fleet.callers, SWITCH, &headers, &body).await;
    assert_eq!(refusal(&order), (code, "unknown"), "{}", order.1);
    let plain = client::post(fleet.callers, SWITCH, &headers[..1], &body).await;
    assert_eq!(refusal(&plain), (code, "no"), "{}", plain.1);
}

// An order's body has megabytes, over the limit. The sender gets the refusal, and with it that an earlier
// asking may have run; a connection that is reset under it tells nothing.
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

// A request is refused by its path or a header, or as no connection is left, while its sender still sends
// megabytes. Closed with bytes unread, the connection is reset under the sender, and the refusal lost.
#[rstest]
#[case::by_the_path("/v1/nothing", "x", 0, "CY1105")]
#[case::by_a_header(CHAT, "1\r\nchestnutyoke-program: a b", 0, "CY1104")]
#[case::no_room(CHAT, "1", 4, "CY1108")]
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

/// Sends a request whose body has megabytes, all of it before anything is read, as simple senders do.
async fn send_all(fleet: &Fleet, head: &str) -> String {
    let body = "x".repeat(8_000_000);
    let length = body.len();
    let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
    let request =
        format!("{head}host: x\r\nconnection: close\r\ncontent-length: {length}\r\n\r\n{body}");
    let sent = stream.write_all(request.as_bytes()).await;
    sent.expect("the whole request goes out");
    let mut answer = String::new();
    let read = stream.read_to_string(&mut answer).await;
    read.expect("the connection ends in order");
    answer
}

// A caller waits with its body until it is asked for it, and is refused by the path. Reading the body
// would have it sent for nothing: it isn't asked for, and the connection ends.
#[tokio::test]
async fn a_refusal_by_the_path_asks_for_no_body() {
    let fleet = Fleet::plain().await;
    let mut stream = TcpStream::connect(fleet.callers).await.unwrap();
    let head = "POST /v1/nothing HTTP/1.1\r\nhost: x\r\nexpect: 100-continue\r\n\
                content-length: 3000000\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut rest = String::new();
    let read = tokio::time::timeout(client::PATIENCE, stream.read_to_string(&mut rest));
    read.await.expect("the connection ends").unwrap();
    assert!(rest.starts_with("HTTP/1.1 404"), "{rest}");
    assert!(rest.contains("CY1105"), "{rest}");
}
