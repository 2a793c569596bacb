//! Requests that are at their runners when the process ends: what their callers see.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::config;
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

/// The last call comes after 1.1 s of it, and its last moment after 1.6 s.
const GRACE: Millis = Millis::new(2_000);

/// What callers get.
#[derive(Debug)]
struct Got {
    status: u16,
    body: String,
}

/// Has a runner that takes each request and closes its connection after so long; counts requests.
async fn runner(closes: Duration, taken: Arc<AtomicU32>) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let taken = taken.clone();
            tokio::spawn(async move {
                let mut read = [0; 4_096];
                let Ok(1..) = stream.read(&mut read).await else {
                    return;
                };
                taken.fetch_add(1, Ordering::Relaxed);
                sleep(closes).await;
            });
        }
    });
    address
}

/// Makes a VM that knows two runners.
async fn node(closes: Duration, taken: &Arc<AtomicU32>) -> Arc<Node> {
    let settings = settings::parse(&fakes::settings::alone()).expect("it is sound");
    let settings = Settings {
        grace: GRACE,
        ..settings
    };
    let node = Node::new(settings, Clock::System);
    for id in ["i-1", "i-2"] {
        let entry = support::entry(runner(closes, taken.clone()).await);
        node.fleet().set(id, entry, 0);
    }
    node
}

/// Has a request that came before the stop answered, on a route of a kind that gives it 20 s.
async fn ask(node: &Arc<Node>, kind: &str, rest: &str) -> Got {
    let job = support::job(node, &support::table(kind, rest), "q-1");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let response = match job.route.kind {
        config::Kind::Stream => stream::serve(job, guard).await,
        _ => plain::serve(job, guard).await,
    };
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.expect("it is whole");
    Got {
        status,
        body: String::from_utf8_lossy(&body.to_bytes()).into_owned(),
    }
}

/// A request came before the stop and its runner works on it without end. The process's end would close the
/// caller's connection without a word. The caller is told before that its outcome isn't known, with a
/// status that doesn't promise that nothing has run, as 503 would.
#[rstest]
#[case::repeatable("idempotent")]
#[case::once("non_idempotent")]
#[case::turn("stream")]
#[tokio::test]
async fn a_request_at_its_runner_by_the_end_is_told_so(#[case] kind: &str) {
    let taken = Arc::default();
    let node = node(Duration::from_secs(20), &taken).await;
    let stop = node.begin_stop();
    let got = timeout(GRACE.as_duration(), ask(&node, kind, "")).await;
    let got = got.expect("it is answered before the process is killed");
    assert!(node.clock.now() >= stop.deadline());
    assert!(node.clock.now() < stop.exit_at());
    assert_eq!(got.status, 504, "{got:?}");
    assert!(got.body.contains(r#""ran":"unknown""#), "{got:?}");
    assert_eq!(taken.load(Ordering::Relaxed), 1);
    // What may run once goes on until the process ends.
    let goes_on = usize::from(kind == "non_idempotent");
    sleep(Duration::from_millis(10)).await;
    assert_eq!(node.work.answers(), goes_on);
}

/// A runner breaks a request off after the last call. The next runner couldn't be done before the process
/// ends either, so the request would only be cut off a second time: it isn't tried again. The caller
/// hears that it may have run.
#[rstest]
#[case::repeatable("idempotent")]
#[case::turn("stream")]
#[tokio::test]
async fn nothing_is_tried_again_after_the_last_call(#[case] kind: &str) {
    let taken = Arc::default();
    let node = node(Duration::from_millis(250), &taken).await;
    let stop = node.begin_stop();
    sleep(Duration::from_secs(1)).await;
    let got = ask(&node, kind, r#","attempts":3,"resumable":true"#).await;
    assert!(node.clock.now() < stop.deadline(), "{got:?}");
    assert_eq!(got.status, 502, "{got:?}");
    assert!(got.body.contains(r#""ran":"unknown""#), "{got:?}");
    assert_eq!(taken.load(Ordering::Relaxed), 1);
}
