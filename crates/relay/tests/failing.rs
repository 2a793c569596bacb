//! Runners that answer, but fail what they answer, or are slow: what their callers see.

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
const PLAYED: Duration = Duration::from_secs(3);
/// What the work of a request takes.
const WORK: Duration = Duration::from_millis(20);

const DONE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
const FAILED: &str = "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n";

/// What a runner does with a request.
#[derive(Clone, Copy, Debug)]
enum Manner {
    /// It answers after its work.
    Sound(Duration),
    /// It answers at once that it failed.
    Fails,
    /// It answers two of five at once that it failed, the others after its work.
    FailsSome(Duration),
    /// It breaks its answer off at once.
    BreaksOff,
    /// It answers that the time is over, when it is.
    Hangs(Duration),
    /// It turns requests away, and the body that it announces for that doesn't come.
    TurnsAwayInHalf,
}

async fn runner(manner: Manner) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream, manner));
        }
    });
    address
}

/// Answers the requests of a connection, which have no bodies.
async fn answer(mut stream: TcpStream, manner: Manner) {
    let mut read = Vec::new();
    while let Ok(1..) = stream.read_buf(&mut read).await {
        if !read.ends_with(b"\r\n\r\n") {
            continue;
        }
        read.clear();
        let said = match manner {
            Manner::FailsSome(_) if rand::rng().random_ratio(2, 5) => FAILED,
            Manner::Sound(work) | Manner::FailsSome(work) => {
                sleep(work).await;
                DONE
            }
            Manner::Fails => FAILED,
            Manner::Hangs(time) => {
                sleep(time).await;
                "HTTP/1.1 504 Late\r\nContent-Length: 0\r\n\r\n"
            }
            Manner::TurnsAwayInHalf => {
                "HTTP/1.1 503 Full\r\nNot-Executed: 1\r\nContent-Length: 9\r\n\r\n"
            }
            Manner::BreaksOff => "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no",
        };
        if stream.write_all(said.as_bytes()).await.is_err() {
            return;
        }
        if matches!(manner, Manner::BreaksOff) {
            return;
        }
    }
}

/// Makes a VM that knows a runner of each manner.
async fn node(manners: &[Manner]) -> Arc<Node> {
    let node = Node::new(
        settings::parse(&fakes::settings::alone()).expect("it is sound"),
        Clock::System,
    );
    for (at, manner) in manners.iter().enumerate() {
        let entry = support::entry(runner(*manner).await);
        node.fleet().set(&format!("i-{at}"), entry, 0);
    }
    node
}

/// What the callers got.
#[derive(Clone, Copy, Debug, Default)]
struct Got {
    requests: u32,
    failed: u32,
    /// Those that took several times the usual work.
    late: u32,
}

/// Has callers send one request after the other.
async fn play(node: &Arc<Node>) -> Got {
    let table = support::table("idempotent", "");
    let until = Instant::now() + PLAYED;
    let mut callers = JoinSet::new();
    for caller in 0..CALLERS {
        let (node, table) = (node.clone(), table.clone());
        callers.spawn(async move {
            let mut got = Got::default();
            while Instant::now() < until {
                let id = format!("q-{caller}-{}", got.requests);
                let job = support::job(&node, &table, &id);
                let sent = job.arrived;
                let guard = node.work.begin(Kind::Answer, &id);
                let response = plain::serve(job, guard).await;
                got.requests += 1;
                got.failed += u32::from(response.status() != StatusCode::OK);
                got.late += u32::from(sent.elapsed() > WORK * 4);
            }
            got
        });
    }
    let got = callers.join_all().await;
    got.iter().fold(Got::default(), |sum, got| Got {
        requests: sum.requests + got.requests,
        failed: sum.failed + got.failed,
        late: sum.late + got.late,
    })
}

/// One runner of four fails all or some of what it gets, faster than the others work. With nothing under way it
/// is always the idle one, and the fastest if its failures count as work that it did: callers would
/// see nearly nothing but failures.
#[rstest]
#[case::fails(Manner::Fails)]
#[case::fails_some(Manner::FailsSome(WORK))]
#[case::breaks_off(Manner::BreaksOff)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_fails_at_once_gets_little(#[case] manner: Manner) {
    let sound = Manner::Sound(WORK);
    let node = node(&[manner, sound, sound, sound]).await;
    let got = play(&node).await;
    assert!(got.requests > 200, "{got:?}");
    assert!(got.failed * 20 < got.requests, "{got:?}");
}

/// One runner of four takes twenty times as long as the others, or hangs until the time is over. Given
/// an equal share it would hold all callers up in turn; its pace, once learnt, keeps them from it.
#[rstest]
#[case::works_on(Manner::Sound(WORK * 20))]
#[case::hangs(Manner::Hangs(WORK * 20))]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_runner_that_is_slow_gets_little(#[case] manner: Manner) {
    let sound = Manner::Sound(WORK);
    let node = node(&[manner, sound, sound, sound]).await;
    let got = play(&node).await;
    assert!(got.requests > 200, "{got:?}");
    assert!(got.late * 20 < got.requests, "{got:?}");
}

/// A runner turns a request away and stalls within the refusal's body, which is read only so that the
/// connection can be used again. The request, which nobody has, is held for it beyond all its time,
/// and beyond the process's last call. The body isn't waited for.
#[tokio::test]
async fn a_refusal_that_stalls_holds_no_request() {
    let node = node(&[Manner::TurnsAwayInHalf]).await;
    let table = support::table("idempotent", "");
    let guard = node.work.begin(Kind::Answer, "q-1");
    let served = plain::serve(support::job(&node, &table, "q-1"), guard);
    let response = timeout(Duration::from_secs(1), served).await;
    let response = response.expect("it is answered");
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
}
