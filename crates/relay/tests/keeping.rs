//! Turns whose text can't be kept at once: when the end of their answers is given up.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use adapter::settings;
use http_body_util::BodyExt;
use hyper::StatusCode;
use relay::member_health::Check;
use relay::node::Node;
use relay::stream;
use relay::work::Kind;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;
use wire::clock::Clock;

/// What a VM with a disk takes to restart, at the least.
const RESTART: Duration = Duration::from_millis(600);
const ANSWER: &[u8] =
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 1\ndata: a\n\n";

/// Has a runner that answers a request with one event.
async fn runner() -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a request");
        let mut read = [0; 4_096];
        let Ok(1..) = stream.read(&mut read).await else {
            return;
        };
        stream.write_all(ANSWER).await.expect("it is sent");
        let _closed = stream.read(&mut read).await;
    });
    address
}

/// Two of three VMs with a disk restart just as a turn has sent all of its answer but the end, which waits
/// for its text to be kept. Both are known to be lost, but for a moment only: they are back well within
/// the time for keeping. Were the end given up at once, the caller would have the whole turn again. It
/// is given up once they have been lost for longer than a restart takes.
#[tokio::test]
async fn an_end_waits_for_members_that_restart() {
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("it is sound"),
        Clock::System,
    );
    let entry = support::entry(runner().await);
    node.fleet().set("i-1", entry, 0);
    for look in [Check::Enough, Check::TooFew, Check::TooFew] {
        node.member_health().record_check(look, node.clock.now());
    }
    assert!(!node.can_serve_turns());
    let lost = Instant::now();
    let table = support::table("stream", r#","retain":true"#);
    let job = support::job(&node, &table, "q-1");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let response = stream::serve(job, guard).await;
    assert_eq!(response.status(), StatusCode::OK);
    let body = response.into_body().collect().await;
    assert!(body.is_err(), "it can't be kept");
    assert!(lost.elapsed() > RESTART, "{:?}", lost.elapsed());
    assert!(lost.elapsed() < Duration::from_millis(1_400));
}
