//! Limits at the door.

use std::time::Duration;

use serde_json::json;
use standin::client;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;

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
        while fleet.node.core().door.open() < 2 {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let answer = fleet.ask(CHAT, &[], &client::chat("x")).await;
        assert_eq!(answer.0, status, "{}", answer.1);
    }
}
