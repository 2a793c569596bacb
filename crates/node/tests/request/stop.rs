//! Shutting down a node while requests run, wait and arrive.

use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;
use std::time::Instant;

use node::filters::route;
use node::peer;
use platform::edge::Entry;
use platform::edge::Platform;
use policy::stop::Stop;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;
use standin::client;
use standin::runner;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::ask::Reply;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::id;

use crate::fleet::CHAT;
use crate::fleet::Fleet;
use crate::fleet::Plan;
use crate::fleet::chat_of;
use crate::fleet::named;
use crate::fleet::refusal;
use crate::fleet::send;
use crate::fleet::slow;

const READ: &str = "/v1/services/shore/read";
pub const SWITCH: &str = "/v1/services/shore/switch";
/// The grace in tests with a short one.
const GRACE: Duration = Duration::from_secs(2);
/// The endpoint's slots in the tests' configuration; some of them are reserved for urgent calls.
const SLOTS: usize = 8;

/// Starts a fleet with a short grace and runners that take 5 s for an answer of 200 tokens.
pub async fn short() -> Fleet {
    Fleet::start(Plan {
        limits: "[limits]\ngrace = \"2s\"\n",
        runner: slow(),
        ..Plan::default()
    })
    .await
}

async fn service_faults(fleet: &Fleet, faults: &Value) {
    client::post(fleet.service.address(), "/faults", &[], faults).await;
}

// A turn runs longer than the grace. If the shutdown waited one grace for the shard and a second
// one for the task, the supervisor would kill the process in between, and all connections would
// break at once. One grace must suffice for the whole shutdown.
#[tokio::test]
async fn a_shutdown_takes_one_grace_at_most() {
    let fleet = short().await;
    let callers = fleet.callers;
    let mut chat = client::chat("plan #tokens=200");
    chat["stream"] = json!(true);
    let ask = tokio::spawn(async move { client::ask(callers, CHAT, &[], &chat).await });
    fleet.until_started(1).await;
    let ended = timeout(GRACE, fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "longer than the grace");
    ask.abort();
}

// A turn outlasts the grace. If its caller's connection were cut when the process ends, the caller
// couldn't tell that from a crash. Before the end, the caller is told that the VM stops and that
// the turn may have run.
#[tokio::test]
async fn a_turn_that_outlasts_the_grace_ends_with_a_refusal() {
    let fleet = short().await;
    let callers = fleet.callers;
    let chat = client::chat("plan #tokens=200");
    let ask = tokio::spawn(async move { client::ask(callers, CHAT, &[], &chat).await });
    fleet.until_started(1).await;
    let _late = timeout(GRACE, fleet.node.shutdown()).await;
    // What the caller gets at once was sent before the node's end.
    let answer = timeout(Duration::from_millis(100), ask).await;
    let answer = answer.expect("no answer at the end").unwrap();
    assert_eq!(refusal(&answer), ("CY4105", "unknown"));
}

// A call was sent, and the platform goes down before the outcome is recorded. The node is told to
// stop, and the outcome can't become durable. The caller must not be left without an answer when
// the process ends: it is told that the call may have run.
#[tokio::test]
async fn a_call_without_a_recorded_outcome_ends_with_a_refusal() {
    let fleet = short().await;
    service_faults(&fleet, &json!({"delay_ms": 500})).await;
    let callers = fleet.callers;
    let ask = tokio::spawn(async move {
        let key = [("idempotency-key", "order-1")];
        client::ask(callers, SWITCH, &key, &json!({})).await
    });
    let running = |stats: &Value| stats["runs"].as_array().is_some_and(|r| !r.is_empty());
    client::until(fleet.service.address(), "/stats", running).await;
    fleet.platform.set_down(true);
    let ended = timeout(GRACE, fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "longer than the grace");
    let answer = timeout(Duration::from_millis(100), ask).await;
    let answer = answer.expect("no answer at the end").unwrap();
    assert_eq!(refusal(&answer).1, "unknown", "{}", answer.1);
}

// The platform is down and nothing runs. The shards' records can't be removed. The shutdown still
// ends long before its grace, because the shards become free when the lease ends.
#[tokio::test]
async fn a_shutdown_without_the_platform_ends() {
    let fleet = Fleet::plain().await;
    fleet.platform.set_down(true);
    fleet.until_outage().await;
    let ended = timeout(Duration::from_secs(5), fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "the shutdown still waits");
}

// The slots of a service are taken, more calls wait for as long as the settings allow, and the node
// is told to stop. If the task that gives up waiting calls ended with the shards, the calls would
// wait on, and their callers would be cut off. They must be given up in time.
#[tokio::test]
async fn a_waiting_call_is_given_up_in_time_while_the_node_stops() {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\nwait = \"600ms\"\n",
        ..Plan::default()
    })
    .await;
    service_faults(&fleet, &json!({"delay_ms": 3_000})).await;
    let callers = fleet.callers;
    let read = move || async move {
        let asked = Instant::now();
        let answer = client::ask(callers, READ, &[], &json!({})).await;
        (answer, asked.elapsed())
    };
    let asked: Vec<_> = (0..SLOTS).map(|_| tokio::spawn(read())).collect();
    while fleet.node.core().scheduler.waiting() == 0 {
        tokio::task::yield_now().await;
    }
    let shutdown = tokio::spawn(fleet.node.shutdown());
    let mut given_up = 0;
    for answer in asked {
        let (answer, took) = answer.await.unwrap();
        if answer.0 == 200 {
            continue;
        }
        assert_eq!(refusal(&answer), ("CY2205", "no"));
        assert!(took < Duration::from_secs(2), "only after {took:?}");
        given_up += 1;
    }
    assert!(given_up > 0);
    shutdown.await.unwrap();
}

// All slots are taken for longer than the grace, and calls wait for one. If their callers were told
// only at the end of the grace, and that the calls may have run, they couldn't safely send them
// elsewhere. The calls never had a slot, and their callers are told so in time.
#[tokio::test]
async fn calls_that_still_wait_at_the_end_are_refused_as_not_run() {
    let fleet = short().await;
    service_faults(&fleet, &json!({"delay_ms": 5_000})).await;
    let callers = fleet.callers;
    let read = move || async move { client::ask(callers, READ, &[], &json!({})).await };
    let asked: Vec<_> = (0..SLOTS).map(|_| tokio::spawn(read())).collect();
    while fleet.node.core().scheduler.waiting() == 0 {
        tokio::task::yield_now().await;
    }
    let sent = SLOTS - fleet.node.core().scheduler.waiting();
    let ended = timeout(GRACE, fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "longer than the grace");
    let mut ran = Vec::new();
    for answer in asked {
        let answer = timeout(Duration::from_millis(100), answer).await;
        let answer = answer.expect("no answer at the end").unwrap();
        assert_eq!(refusal(&answer).0, "CY4105", "{}", answer.1);
        ran.push(refusal(&answer).1.to_owned());
    }
    ran.sort();
    assert_eq!(ran.iter().filter(|ran| *ran == "no").count(), SLOTS - sent);
    assert_eq!(ran.iter().filter(|ran| *ran == "unknown").count(), sent);
}

// Calls wait for a slot while a stopping node has half a second left. Those whose deadline is
// before the end of the process can still be served. If they were refused with the others, they
// would have to go elsewhere with little of their time left.
#[tokio::test]
async fn a_waiting_call_with_a_deadline_before_the_end_is_served() {
    let fleet = Fleet::plain().await;
    service_faults(&fleet, &json!({"delay_ms": 100})).await;
    let core = fleet.node.core().clone();
    let callers = fleet.callers;
    let read = move || async move {
        let headers = [("chestnutyoke-deadline-ms", "560")];
        client::ask(callers, READ, &headers, &json!({})).await
    };
    let asked: Vec<_> = (0..SLOTS).map(|_| tokio::spawn(read())).collect();
    while core.scheduler.waiting() == 0 {
        tokio::task::yield_now().await;
    }
    let last = core.clock.now().plus(Millis::new(570));
    core.stop.set(ends_at(last)).unwrap();
    for answer in asked {
        let answer = answer.await.unwrap();
        assert_eq!(answer.0, 200, "{}", answer.1);
    }
}

// A turn that a runner refused finds another runner when the node has less than half a second left.
// If it were sent there, it would be cut off with the process, and its caller told that it may have
// run. It isn't sent.
#[tokio::test]
async fn a_turn_that_comes_too_late_in_the_stop_is_not_sent() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    let last = core.clock.now().plus(Millis::new(400));
    core.stop.set(ends_at(last)).unwrap();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    let (sender, mut replies) = mpsc::unbounded_channel();
    let accepted = core.registry.ask(&shard, chat_of(program), sender);
    assert!(accepted.is_ok());
    let reply = replies.recv().await;
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert!(fleet.attempts().await.is_empty());
}

// Half a body has arrived when a node is told to stop, and the rest doesn't arrive. If the node
// waited for it until the process ends, the connection would be cut without an answer. Half a
// second before the end, the caller is told that nothing ran.
#[tokio::test]
async fn an_incomplete_body_is_refused_before_the_end() {
    let fleet = short().await;
    let mut stream = tokio::net::TcpStream::connect(fleet.callers).await.unwrap();
    let half = "POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 99\r\n\r\n{";
    stream.write_all(half.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.node.shutdown().await;
    let mut rest = String::new();
    let read = timeout(Duration::from_millis(100), stream.read_to_string(&mut rest));
    let _ended = read.await.expect("the connection ends");
    assert!(rest.contains("CY4105"), "{rest:?}");
    assert!(rest.contains(r#""ran":"no""#), "{rest}");
}

/// Returns a stop whose deadline for accepted work is `last`.
fn ends_at(last: Millis) -> Stop {
    let grace = Millis::new(10_000);
    let span = Stop::new(Millis::ZERO, grace).deadline();
    Stop::new(last.since(span), grace)
}

// A caller has opened a connection and sent no complete request yet, and the node is told to stop.
// If the node waited for that connection until the timeout for headers, the supervisor would kill
// it meanwhile. A connection without a request doesn't delay the shutdown.
#[tokio::test]
async fn a_connection_without_a_request_does_not_delay_the_shutdown() {
    let fleet = Fleet::plain().await;
    let mut streams = vec![TcpStream::connect(fleet.callers).unwrap()];
    let mut half = TcpStream::connect(fleet.callers).unwrap();
    half.write_all(b"GET /hea").unwrap();
    streams.push(half);
    let core = fleet.node.core().clone();
    while core.connections.open() < 2 {
        tokio::task::yield_now().await;
    }
    let ended = timeout(Duration::from_secs(3), fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "the shutdown still waits");
}

/// Starts a turn that takes 1.5 s, and tells the node to stop. The future that is returned waits
/// for the turn's answer and the end of the shutdown.
pub async fn stopping() -> (SocketAddr, impl Future<Output = ()>) {
    let fleet = Fleet::start(Plan {
        limits: "[limits]\ngrace = \"10s\"\n",
        runner: runner::Settings {
            tokens_per_second: 40.0,
            ..runner::Settings::default()
        },
        ..Plan::default()
    })
    .await;
    let callers = fleet.callers;
    let chat = client::chat("plan #tokens=60");
    let first = named("berth", "1");
    let first = tokio::spawn(async move { client::ask(callers, CHAT, &first, &chat).await });
    fleet.until_started(1).await;
    let core = fleet.node.core().clone();
    let shutdown = tokio::spawn(fleet.node.shutdown());
    core.stopping.cancelled().await;
    (callers, async move {
        assert_eq!(first.await.unwrap().0, 200, "the first turn was cut off");
        shutdown.await.unwrap();
        drop(fleet.runners);
    })
}

// A turn still runs on a stopping node, and callers whose balancer hasn't noticed the stop send
// more. A request without a deadline, or with one after the end of the process, could be cut off
// when the process ends. It is refused at once as not run, with a time for the retry.
#[rstest]
#[case::no_deadline(None)]
#[case::beyond_the_end(Some("60000"))]
#[tokio::test]
async fn a_stopping_node_refuses_requests_that_may_outlast_it(
    #[case] deadline: Option<&'static str>,
) {
    let (callers, ended) = stopping().await;
    let mut headers = named("late", "1").to_vec();
    headers.extend(deadline.map(|span| ("chestnutyoke-deadline-ms", span)));
    let chat = client::chat("late");
    let asked = client::ask(callers, CHAT, &headers, &chat);
    let answer = timeout(Duration::from_millis(500), asked).await;
    let answer = answer.expect("not refused at once");
    assert_eq!(refusal(&answer), ("CY4105", "no"));
    assert!(answer.1["error"]["retry_after_ms"].is_number());
    ended.await;
}

// A stopping node gets a call with an idempotency key. Only the journal knows whether an earlier
// request with the key ran. If the refusal said "no", the caller would send the call under another
// key, and both might run.
#[tokio::test]
async fn a_call_refused_by_a_stopping_node_may_have_run() {
    let (callers, ended) = stopping().await;
    let key = [("idempotency-key", "order-1")];
    let body = json!({});
    let asked = client::ask(callers, SWITCH, &key, &body);
    let answer = timeout(Duration::from_millis(500), asked).await;
    let answer = answer.expect("not refused at once");
    assert_eq!(refusal(&answer), ("CY4105", "unknown"));
    ended.await;
}

// If a stopping node kept a caller's connection open after its answer and closed it when idle, the
// caller's next request could already be on its way. It would be lost, and the caller couldn't tell
// whether it ran. The answer says that the connection closes, so that the next request uses another
// one.
#[tokio::test]
async fn a_stopping_node_closes_each_connection_after_its_answer() {
    let (callers, ended) = stopping().await;
    let mut stream = tokio::net::TcpStream::connect(callers).await.unwrap();
    let probe = b"GET /ready HTTP/1.1\r\nhost: vm\r\n\r\n";
    stream.write_all(probe).await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(Duration::from_millis(500), stream.read_to_end(&mut answer));
    read.await.expect("kept open").unwrap();
    let answer = String::from_utf8(answer).unwrap().to_lowercase();
    assert!(answer.starts_with("http/1.1 503"), "{answer:?}");
    assert!(answer.contains("connection: close\r\n"), "{answer:?}");
    ended.await;
}

// A stopping node gets a request whose deadline is before the end of the process. It isn't refused
// because of the stop; it waits for an owner until its deadline. None appears, and no VM has
// accepted the request, so its caller is told that it hasn't run. If told that it may have run, the
// caller couldn't ask elsewhere.
#[tokio::test]
async fn a_stopping_node_accepts_requests_that_end_in_time() {
    let (callers, ended) = stopping().await;
    let headers = [("chestnutyoke-deadline-ms", "700")];
    let asked = Instant::now();
    let answer = client::ask(callers, CHAT, &headers, &client::chat("late")).await;
    let waited = asked.elapsed();
    // The node counts whole milliseconds.
    assert!(waited >= Duration::from_millis(690), "{waited:?}");
    assert_eq!(refusal(&answer), ("CY2203", "no"), "{}", answer.1);
    assert!(answer.1["error"]["retry_after_ms"].is_number());
    ended.await;
}

// A request that a stopping node accepts is served as long as the node owns the shard: the program
// whose turn runs is shown.
#[tokio::test]
async fn a_stopping_node_shows_a_program_whose_turn_runs() {
    let (callers, ended) = stopping().await;
    let answer = send(callers, "GET", "/v1/programs/berth", "").await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    ended.await;
}

// A call continues after the shards are released. If the listeners for VMs and operators closed
// with the callers' listener, health probes would fail and other VMs would consider this one dead
// while it still works. They answer until the last work is done; only the callers' listener is
// closed.
#[tokio::test]
async fn operators_and_vms_are_answered_until_the_work_is_done() {
    let fleet = Fleet::plain().await;
    service_faults(&fleet, &json!({"delay_ms": 3_500})).await;
    let callers = fleet.callers;
    let read = tokio::spawn(async move { client::ask(callers, READ, &[], &json!({})).await });
    let running = |load: &Value| load["running"] == 1;
    client::until(fleet.service.address(), "/load", running).await;
    let (admin, peers) = (fleet.node.admin(), fleet.node.peers());
    let core = fleet.node.core().clone();
    let shutdown = tokio::spawn(fleet.node.shutdown());
    core.closing.cancelled().await;
    while TcpStream::connect(callers).is_ok() {
        tokio::task::yield_now().await;
    }
    let health = client::send(admin, "GET", "/health", &[], "").await;
    assert!(health.is_some_and(|answer| answer.status().is_success()));
    let beat = client::send(peers, "POST", peer::BEAT, &[], "").await;
    assert!(beat.is_some(), "the listener for VMs is closed");
    assert_eq!(read.await.unwrap().0, 200);
    shutdown.await.unwrap();
    assert!(TcpStream::connect(admin).is_err());
    assert!(TcpStream::connect(peers).is_err());
}

// A caller connects and sends its request just as the listener closes. The kernel has accepted the
// connection, but the node hasn't yet. If the connection were reset with the listener, the caller
// couldn't tell whether its request ran. It is answered.
#[tokio::test]
async fn a_connection_made_as_the_listener_closes_is_answered() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    // No task of the node runs on this thread until the test awaits something.
    let mut stream = TcpStream::connect(fleet.callers).unwrap();
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: vm\r\n\r\n")
        .unwrap();
    core.closing.cancel();
    stream.set_nonblocking(true).unwrap();
    let mut stream = tokio::net::TcpStream::from_std(stream).unwrap();
    let mut answer = Vec::new();
    let read = timeout(client::TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.unwrap().expect("the connection broke");
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

// The caller of a service call disconnects, and the node is told to stop while the service still
// works on it. The outcome is recorded before the process ends, so that a retry elsewhere gets the
// answer and not an unknown outcome.
#[tokio::test]
async fn a_call_whose_caller_has_disconnected_is_recorded() {
    let fleet = short().await;
    service_faults(&fleet, &json!({"delay_ms": 500})).await;
    let callers = fleet.callers;
    let ask = tokio::spawn(async move {
        let key = [("idempotency-key", "order-1")];
        client::ask(callers, SWITCH, &key, &json!({})).await
    });
    let running = |load: &Value| load["running"] == 1;
    client::until(fleet.service.address(), "/load", running).await;
    ask.abort();
    assert!(ask.await.is_err());
    let ended = timeout(GRACE, fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "longer than the grace");
    let journal = fleet.platform.range("journal/", "", 100).await.unwrap();
    let part = b"Outcome";
    let holds = |entry: &Entry| entry.value.windows(part.len()).any(|bytes| bytes == part);
    assert!(journal.iter().any(holds));
}
