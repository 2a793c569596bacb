//! Callers' results if a runner fails its requests, or is slow.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use adapter::settings;
use hyper::StatusCode;
use rand::RngExt;
use relay::node::Node;
use relay::plain;
use relay::work::Kind;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Clock;

const CALLERS: u32 = 8;
const RUN_TIME: Duration = Duration::from_secs(3);
/// How long the work of a request takes.
const WORK_TIME: Duration = Duration::from_millis(20);

const OK_RESPONSE: &str = "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\nok";
const FAILED_RESPONSE: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// What a runner does with a request.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    /// Answers after its work.
    Healthy(Duration),
    /// Answers at once with a failure.
    Fails,
    /// Answers two of five requests at once with a failure, the others after its work.
    FailsSome(Duration),
    /// Breaks its answer off at once.
    BreaksOff,
    /// Answers with a gateway timeout after this time.
    Hangs(Duration),
    /// Turns requests away, and never sends the announced body of the refusal.
    StallsRefusal,
}

async fn runner(behaviour: Behaviour) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, behaviour));
        }
    });
    address
}

/// Answers the requests of a connection, which have no bodies.
async fn answer(mut stream: TcpStream, behaviour: Behaviour) {
    let mut read = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut read).await {
        if !read.ends_with(b"\r\n\r\n") {
            continue;
        }
        read.clear();
        let response = match behaviour {
            Behaviour::FailsSome(_) if rand::rng().random_ratio(2, 5) => FAILED_RESPONSE,
            Behaviour::Healthy(work) | Behaviour::FailsSome(work) => {
                sleep(work).await;
                OK_RESPONSE
            }
            Behaviour::Fails => FAILED_RESPONSE,
            Behaviour::Hangs(time) => {
                sleep(time).await;
                "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
            }
            Behaviour::StallsRefusal => {
                "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\n"
            }
            Behaviour::BreaksOff => {
                "HTTP/1.1 200 OK\r\nServer-Stamp: s\r\nContent-Length: 2\r\n\r\no"
            }
        };
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
        if matches!(behaviour, Behaviour::BreaksOff) {
            return;
        }
    }
}

/// Creates a VM that knows one runner of each behaviour.
async fn node(behaviours: &[Behaviour]) -> Arc<Node> {
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("the settings are valid"),
        Clock::System,
    );
    for (at, behaviour) in behaviours.iter().enumerate() {
        let entry = support::entry(runner(*behaviour).await);
        node.fleet().set(&format!("i-{at}"), entry, 0);
    }
    node
}

/// Counts of callers' requests.
#[derive(Clone, Copy, Debug, Default)]
struct Results {
    requests: u32,
    failed: u32,
    /// Requests that took more than four times [`WORK_TIME`].
    slow: u32,
}

/// Runs callers that each send one request after the other.
async fn run_callers(node: &Arc<Node>) -> Results {
    let table = support::table("idempotent", "");
    let run_end = Instant::now() + RUN_TIME;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (node, table) = (node.clone(), table.clone());
        callers.spawn(async move {
            let mut results = Results::default();
            while Instant::now() < run_end {
                let id = format!("q-{caller}-{}", results.requests);
                let job = support::job(&node, &table, &id);
                let sent_at = job.arrived;
                let guard = node.work.begin(Kind::Answer, &id);
                let response = plain::serve(job, guard).await;
                results.requests += 1;
                results.failed += u32::from(response.status() != StatusCode::OK);
                results.slow += u32::from(sent_at.elapsed() > WORK_TIME * 4);
            }
            results
        });
    }
    let results = callers.join_all().await;
    results
        .iter()
        .fold(Results::default(), |sum, results| Results {
            requests: sum.requests + results.requests,
            failed: sum.failed + results.failed,
            slow: sum.slow + results.slow,
        })
}

/// One runner of four fails all or some of its requests, faster than the others work. With no
/// request in progress it is always the idle runner, and the fastest one if its failures count as
/// finished work. Without a pause for failing runners, callers would see almost nothing but
/// failures.
#[rstest]
#[case::fails(Behaviour::Fails)]
#[case::fails_some(Behaviour::FailsSome(WORK_TIME))]
#[case::breaks_off(Behaviour::BreaksOff)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn runner_that_fails_at_once_gets_few_requests(#[case] behaviour: Behaviour) {
    let healthy = Behaviour::Healthy(WORK_TIME);
    let node = node(&[behaviour, healthy, healthy, healthy]).await;
    let results = run_callers(&node).await;
    assert!(results.requests > 200, "{results:?}");
    assert!(results.failed * 20 < results.requests, "{results:?}");
}

/// One runner of four takes twenty times as long as the others, or hangs until the deadline. With
/// an equal share it would delay all callers in turn; once its pace is learnt, callers are kept
/// away from it.
#[rstest]
#[case::works_on(Behaviour::Healthy(WORK_TIME * 20))]
#[case::hangs(Behaviour::Hangs(WORK_TIME * 20))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn slow_runner_gets_few_requests(#[case] behaviour: Behaviour) {
    let healthy = Behaviour::Healthy(WORK_TIME);
    let node = node(&[behaviour, healthy, healthy, healthy]).await;
    let results = run_callers(&node).await;
    assert!(results.requests > 200, "{results:?}");
    assert!(results.slow * 20 < results.requests, "{results:?}");
}

/// A runner turns a request away and stalls within the refusal's body, which is read only so that
/// the connection can be reused. If the body were waited for, the request, which no runner has,
/// would be held beyond its deadline and beyond the send deadline of a stopping process.
#[tokio::test]
async fn stalled_refusal_body_does_not_delay_the_answer() {
    let node = node(&[Behaviour::StallsRefusal]).await;
    let table = support::table("idempotent", "");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let served = plain::serve(support::job(&node, &table, "q-1"), guard);
    let response = timeout(Duration::from_secs(1), served).await;
    let response = response.expect("the request is answered in time");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
}
