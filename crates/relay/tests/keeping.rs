//! Turns whose text can't be kept at once: when the process gives up holding back the end of their
//! streams.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use adapter::settings;
use http_body_util::BodyExt;
use hyper::StatusCode;
use relay::node::Node;
use relay::stream;
use relay::work::Kind;
use replica::client::Coverage;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;
use wire::clock::Clock;

/// The least time that a VM with a disk takes to restart.
const MIN_RESTART_TIME: Duration = Duration::from_millis(600);
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// Starts a runner that answers one request with one event.
async fn runner() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a request");
        let mut read = [0; 4_096];
        let Ok(1..) = stream.read(&mut read).await else {
            return;
        };
        stream.write_all(ANSWER).await.expect("the answer is sent");
        let _closed = stream.read(&mut read).await;
    });
    address
}

/// Two of three VMs with a disk restart just when a turn has sent all of its answer but the end,
/// which waits for the turn's text to be kept. Both are known to be lost, but only for a moment:
/// they are back well within the time for keeping. If the end were given up at once, the caller
/// would have to repeat the whole turn. It is given up once they have been lost for longer than a
/// restart takes.
#[tokio::test]
async fn stream_end_waits_for_members_that_restart() {
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("the settings are valid"),
        Clock::System,
    );
    let entry = support::entry(runner().await);
    node.fleet().set("i-1", entry, 0);
    for check in [Coverage::Full, Coverage::TooFew, Coverage::TooFew] {
        node.member_health().record_check(check, node.clock.now());
    }
    assert!(!node.can_serve_turns());
    let lost_at = Instant::now();
    let table = support::table("stream", r#","retain":true"#);
    let job = support::job(&node, &table, "q-1");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let response = stream::serve(job, guard).await;
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "the turn can't be kept");
    assert!(
        lost_at.elapsed() > MIN_RESTART_TIME,
        "{:?}",
        lost_at.elapsed()
    );
    assert!(lost_at.elapsed() < Duration::from_millis(1_400));
}
