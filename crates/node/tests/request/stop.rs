//! A node that is told to end while requests run, wait and arrive.

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
/// What the tests with a short grace set.
const GRACE: Duration = Duration::from_secs(2);
/// The endpoint's slots in the tests' configuration; some of them are kept for urgent calls.
const SLOTS: usize = 8;

/// Starts a fleet with a short grace whose answers of 200 tokens take 5 s.
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

// A turn runs longer than the grace. The shutdown waits one grace for the shard and a second one
// for the task, so whoever stops the process kills it in between, and all connections break off at
// once. One grace has to hold for the whole.
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

// A turn outlasts the grace. Its caller's connection is cut when the process ends, and the caller
// can't tell it from a crash. In time before the end it is told that the VM stops and that the
// turn may have run.
#[tokio::test]
async fn what_outlasts_the_grace_ends_with_a_refusal() {
    let fleet = short().await;
    let callers = fleet.callers;
    let chat = client::chat("plan #tokens=200");
    let ask = tokio::spawn(async move { client::ask(callers, CHAT, &[], &chat).await });
    fleet.until_started(1).await;
    let _late = timeout(GRACE, fleet.node.shutdown()).await;
    // What the caller has by now left the node before its end.
    let answer = timeout(Duration::from_millis(100), ask).await;
    let answer = answer.expect("no answer at the end").unwrap();
    assert_eq!(refusal(&answer), ("CY4105", "unknown"));
}

// An order was sent, and the platform goes away before its outcome is recorded. The node is told
// to end; the outcome can't become durable, and the caller is left without an answer when the
// process ends. It is told that the order may have run.
#[tokio::test]
async fn an_order_without_a_record_ends_with_a_refusal() {
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

// The platform is away and nothing runs. No shard's record can be removed; the shutdown ends all
// the same, long before its grace, as the lease's end frees the shards.
#[tokio::test]
async fn a_shutdown_without_the_platform_ends() {
    let fleet = Fleet::plain().await;
    fleet.platform.set_down(true);
    fleet.until_outage().await;
    let ended = timeout(Duration::from_secs(5), fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "still waits");
}

// The slots of a service are taken and more calls wait, for as long as the settings let them. The
// node is told to end. The task that gives waiting calls up ends with the shards, before the calls
// do, so they wait on, and their callers are cut off. They are given up in their time.
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

// All slots are taken for longer than the grace, and calls wait for one. At the end of the grace
// their callers are told only that they may have run, and don't dare to send them elsewhere. They
// have had no slot: they are told so while the time for it is left.
#[tokio::test]
async fn calls_that_still_wait_at_the_end_are_told_that_they_did_not_run() {
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

// Calls wait for a slot while a node that stops has half a second left. Those whose callers' time is over
// before the process is can still be served; refused with the others, they would have to go elsewhere with
// little of their time left.
#[tokio::test]
async fn a_waiting_call_that_ends_before_the_process_is_served() {
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

// A turn whose runner turned it away finds another one when the node has less than half a second left. Sent
// there, it would be cut off with the process, and its caller told that it may have run. It isn't sent.
#[tokio::test]
async fn a_call_that_comes_after_the_last_call_is_not_sent() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    let last = core.clock.now().plus(Millis::new(400));
    core.stop.set(ends_at(last)).unwrap();
    let program = id::Program::parse("berth").unwrap();
    let shard = route::shard(&core.settings, &program);
    let (sender, mut replies) = mpsc::unbounded_channel();
    let taken = core.registry.ask(&shard, chat_of(program), sender);
    assert!(taken.is_ok());
    let reply = replies.recv().await;
    let Some(Reply::Refused(refusal)) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert!(fleet.attempts().await.is_empty());
}

// Half a body has come when a node is told to end, and the rest doesn't come. Read on to the end of the
// process, the connection is cut without a word; half a second before it the caller is told that nothing ran.
#[tokio::test]
async fn the_sender_of_half_a_body_is_told_of_the_end() {
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

/// Plans a stop under which all that was taken is over at `last`.
fn ends_at(last: Millis) -> Stop {
    let grace = Millis::new(10_000);
    let span = Stop::new(Millis::ZERO, grace).deadline();
    Stop::new(last.since(span), grace)
}

// A caller has opened a connection and sent nothing yet. The node is told to end with nothing under
// way, and waits for that connection until the time for a request's headers is over: the supervisor
// kills it meanwhile. A connection without a request doesn't count.
#[tokio::test]
async fn a_connection_without_a_request_holds_no_shutdown_up() {
    let fleet = Fleet::plain().await;
    let mut streams = vec![TcpStream::connect(fleet.callers).unwrap()];
    let mut half = TcpStream::connect(fleet.callers).unwrap();
    half.write_all(b"GET /hea").unwrap();
    streams.push(half);
    let core = fleet.node.core().clone();
    while core.door.open() < 2 {
        tokio::task::yield_now().await;
    }
    let ended = timeout(Duration::from_secs(3), fleet.node.shutdown()).await;
    assert!(ended.is_ok(), "still waits");
}

/// Starts a turn that takes 1.5 s, and tells the node to end.
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

// A node that stops still has a turn under way, and callers whose balancer hasn't noticed send
// more. What states no time, or more of it than the process has, could be cut off when the process
// ends; it is refused at once as not run, with the time to come again.
#[rstest]
#[case::no_limit(None)]
#[case::beyond_the_end(Some("60000"))]
#[tokio::test]
async fn a_stopping_node_refuses_what_may_outlast_it(#[case] deadline: Option<&'static str>) {
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

// A node that stops is asked for an order under a key. Whether an earlier asking of it ran, only
// the journal knows; told "no" here, the caller would give another order and both might run.
#[tokio::test]
async fn a_stopping_node_says_no_of_no_order() {
    let (callers, ended) = stopping().await;
    let key = [("idempotency-key", "order-1")];
    let order = json!({});
    let asked = client::ask(callers, SWITCH, &key, &order);
    let answer = timeout(Duration::from_millis(500), asked).await;
    let answer = answer.expect("not refused at once");
    assert_eq!(refusal(&answer), ("CY4105", "unknown"));
    ended.await;
}

// A node that stops keeps a caller's connection open after its answer, and closes it when it is idle,
// just as the caller's next request is on its way: the request is lost with it, and its caller can't
// tell whether it ran. The answer says that the connection ends, so that the next request takes
// another one.
#[tokio::test]
async fn a_stopping_node_keeps_no_connection_after_its_answer() {
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

// A node that stops is asked for what ends in time. It isn't refused for being late: it waits for
// an owner as long as its caller does. None comes, and nobody has taken it, so its caller is told that
// it has not run; told that it may have, it couldn't ask elsewhere.
#[tokio::test]
async fn a_stopping_node_takes_what_ends_in_time() {
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

// What a node that stops takes is served as long as the shard is here: the program whose turn runs is
// shown.
#[tokio::test]
async fn a_stopping_node_shows_a_program_whose_turn_runs() {
    let (callers, ended) = stopping().await;
    let answer = send(callers, "GET", "/v1/programs/berth", "").await;
    assert_eq!(answer.0, 200, "{}", answer.1);
    ended.await;
}

// A call goes on after the shards are given up. Where the listeners for VMs and operators close with
// the callers', a probe of the process fails and other VMs take this one for dead while it still
// works. They answer until the last work is done; only callers find the door closed.
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
    assert!(beat.is_some(), "other VMs find nobody");
    assert_eq!(read.await.unwrap().0, 200);
    shutdown.await.unwrap();
    assert!(TcpStream::connect(admin).is_err());
    assert!(TcpStream::connect(peers).is_err());
}

// A caller's connection is made and its request sent in the moment in which the listener closes. The
// kernel has accepted the connection, the node hasn't yet; with the listener it would be reset, and
// the caller couldn't tell whether its request ran. It is answered.
#[tokio::test]
async fn a_connection_made_as_the_listener_closes_is_answered() {
    let fleet = Fleet::plain().await;
    let core = fleet.node.core().clone();
    // Nothing of the node runs on this thread until the test waits.
    let mut stream = TcpStream::connect(fleet.callers).unwrap();
    stream
        .write_all(b"GET /health HTTP/1.1\r\nhost: vm\r\n\r\n")
        .unwrap();
    core.closing.cancel();
    stream.set_nonblocking(true).unwrap();
    let mut stream = tokio::net::TcpStream::from_std(stream).unwrap();
    let mut answer = Vec::new();
    let read = timeout(client::PATIENCE, stream.read_to_end(&mut answer)).await;
    read.unwrap().expect("the connection broke");
    let answer = String::from_utf8(answer).unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

// The caller of an order leaves, and the node is told to end while the service still works on it.
// The outcome is recorded before the process ends, so that the order asked again elsewhere gets its
// answer and not an unknown outcome.
#[tokio::test]
async fn an_order_whose_caller_has_left_is_recorded() {
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
