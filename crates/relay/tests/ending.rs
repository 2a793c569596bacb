//! Tests what callers see of requests that are at their runners when the process ends.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::config;
use adapter::runner::Entry;
use adapter::settings;
use adapter::settings::Settings;
use http_body_util::BodyExt;
use relay::node::Node;
use relay::plain;
use relay::stream;
use relay::work::Kind;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;

/// The grace period. The send deadline is 1.1 s after its start, the answer deadline 1.6 s.
const GRACE: Millis = Millis::new(2_000);

/// The answer that a caller gets.
#[derive(Debug)]
struct Reply {
    status: u16,
    body: String,
}

/// Starts a runner that accepts each request, counts it, and closes its connection after
/// `closes_after`.
async fn runner(closes_after: Duration, request_count: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let request_count = request_count.clone();
            tokio::spawn(async move {
                let mut read = [0; 4_096];
                let Ok(1..) = stream.read(&mut read).await else {
                    return;
                };
                request_count.fetch_add(1, Ordering::Relaxed);
                sleep(closes_after).await;
            });
        }
    });
    address
}

/// Creates a VM that knows two runners.
async fn node(closes_after: Duration, request_count: &Arc<AtomicU32>) -> Arc<Node> {
    let settings = settings::parse(&fakes::settings::alone()).expect("valid settings");
    let settings = Settings {
        grace: GRACE,
        ..settings
    };
    let node = Node::new(settings, Clock::System);
    for id in ["i-1", "i-2"] {
        let entry = support::entry(runner(closes_after, request_count.clone()).await);
        // The runner answers nothing, so it isn't asked when it started either.
        let entry = Entry {
            born: None,
            ..entry
        };
        node.fleet().set(id, entry, 0);
    }
    node
}

/// Serves a request that was accepted before the stop, on a route of this kind with a time limit of
/// 20 s.
async fn ask(node: &Arc<Node>, kind: &str, rest: &str) -> Reply {
    let job = support::job(node, &support::table(kind, rest), "q-1");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let response = match job.route.kind {
        config::Kind::Stream => stream::serve(job, guard).await,
        _ => plain::serve(job, guard).await,
    };
    let status = response.status().as_u16();
    let body = response
        .into_body()
        .collect()
        .await
        .expect("the body is complete");
    Reply {
        status,
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

/// A request was accepted before the stop, and its runner works on it without end. When the process
/// ends, the caller's connection would be closed without an answer. So the caller is told before
/// the end that the outcome is unknown, with a status that doesn't promise that nothing has run, as
/// 503 would.
#[rstest]
#[case::repeatable("idempotent")]
#[case::once("non_idempotent")]
#[case::turn("stream")]
#[tokio::test]
async fn request_at_its_runner_is_answered_before_the_process_ends(#[case] kind: &str) {
    let request_count = Arc::default();
    let node = node(Duration::from_secs(20), &request_count).await;
    let stop = node.begin_stop();
    let reply = timeout(GRACE.as_duration(), ask(&node, kind, "")).await;
    let reply = reply.expect("it is answered before the process is killed");
    assert!(node.clock.now() >= stop.deadline());
    assert!(node.clock.now() < stop.exit_at());
    assert_eq!(reply.status, 504, "{reply:?}");
    assert!(reply.body.contains(r#""ran":"unknown""#), "{reply:?}");
    assert_eq!(request_count.load(Ordering::Relaxed), 1);
    // A call that may run at most once goes on until the process ends.
    let still_running = usize::from(kind == "non_idempotent");
    sleep(Duration::from_millis(10)).await;
    assert_eq!(node.work.answers(), still_running);
}

/// A runner breaks a request off after the send deadline. Another runner couldn't finish before the
/// process ends either, so the request would only be cut off a second time. It isn't retried, and
/// the caller is told that it may have run.
#[rstest]
#[case::repeatable("idempotent")]
#[case::turn("stream")]
#[tokio::test]
async fn nothing_is_retried_after_the_send_deadline(#[case] kind: &str) {
    let request_count = Arc::default();
    let node = node(Duration::from_millis(250), &request_count).await;
    let stop = node.begin_stop();
    sleep(Duration::from_secs(1)).await;
    let reply = ask(&node, kind, r#","attempts":3,"resumable":true"#).await;
    assert!(node.clock.now() < stop.deadline(), "{reply:?}");
    assert_eq!(reply.status, 502, "{reply:?}");
    assert!(reply.body.contains(r#""ran":"unknown""#), "{reply:?}");
    assert_eq!(request_count.load(Ordering::Relaxed), 1);
}
