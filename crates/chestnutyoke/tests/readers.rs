//! What a real process holds for callers and runners that read slowly or stop reading.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use fakes::caller;
use fakes::settings as file;
use fakes::store;
use fakes::store::HOST;
use fakes::store::Store;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body;
use link::body::Body;
use link::listen;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body as AskBody;
use replica::message::Chain;
use replica::message::Link;
use replica::message::Status;
use replica::record::Key;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Bytes of memory of the smallest VM.
const SMALLEST_VM: u64 = 96_000_000;
/// Bytes of a long answer; under the longest that is passed on whole.
const LONG_ANSWER: u64 = 8_000_000;
/// Bytes of a long body; nearly as long as the configuration allows.
const LONG_BODY: usize = 4_000_000;
/// How many requests with long answers are held at once.
const LONG_REQUESTS: usize = 4;
/// How many long requests come at once, each of which would fill the smallest VM with half a dozen others.
const LONG_FLOOD: usize = 20;
/// How many usual requests are held at once: nearly twice what a VM gets within their deadline.
const USUAL_REQUESTS: usize = 90;
/// Bytes of a usual turn's text.
const TURN: usize = 17_000;
/// How many turns a turn continues.
const HISTORY_TURNS: u128 = 8;
/// How many turns a turn continues whose history fills the longest answer of a VM with a disk.
const LONG_HISTORY_TURNS: u128 = 30;
/// The deadline of all requests.
const DEADLINE: Duration = Duration::from_secs(4);
/// How long an unread answer may be held: the deadline, the longest partition that a caller would
/// wait out (10 s), and some time in which the system notices.
const HELD_AT_MOST: Duration = Duration::from_secs(20);

/// A process that takes callers, its platform and a runner.
struct Deployment {
    child: Child,
    ip: IpAddr,
    folder: PathBuf,
    _store: Store,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
        let _absent = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    async fn start(net: u8, history_turns: u128) -> Self {
        let [_, _, high, low] = process::id().to_be_bytes();
        let ip = |last: u8| IpAddr::V4(Ipv4Addr::new(127, net, high ^ last, low));
        let store = Store::start(SocketAddr::new(ip(1), 8142)).await;
        for (last, service) in [(2, "ops"), (3, "models")] {
            let address = SocketAddr::new(ip(last), 8080);
            run_runner(address).await;
            store.put_runner(&format!("i-{service}"), service, address, "ready");
        }
        start_members(&store, &[ip(11), ip(12), ip(13)], history_turns).await;
        let routes = [
            store::route("plain", "non_idempotent", "ops", 60_000, r#","attempts":1"#),
            store::route("events", "stream", "models", 60_000, r#","attempts":1"#),
            store::route(
                "turns",
                "stream",
                "models",
                60_000,
                r#","attempts":1,"retain":true,"retainS":60.0"#,
            ),
        ];
        store.configure(1, &format!(",{}", routes.join(",")));
        let folder = std::env::temp_dir().join(format!("chestnutyoke-readers-{net}-{low}-{high}"));
        fs::create_dir_all(&folder).unwrap();
        let settings = folder.join("settings.toml");
        let text = file::text(&file::Vm {
            name: "front-a-1",
            centre: "a",
            ip: ip(0),
            advertised: None,
            store: store.address,
            disk: None,
        });
        fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_chestnutyoke"))
            .arg("front")
            .env("CHESTNUTYOKE_CONFIG", settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        let deployment = Self {
            child,
            ip: ip(0),
            folder,
            _store: store,
        };
        let url = SocketAddr::new(deployment.ip, file::METRICS);
        for _ in 0..200 {
            sleep(Duration::from_millis(50)).await;
            if TcpStream::connect(url).await.is_ok()
                && deployment.metric("runners ").await == 2
                && deployment.metric("ready").await == 1
            {
                return deployment;
            }
        }
        panic!("the process isn't ready");
    }

    async fn metric(&self, name: &str) -> u64 {
        let text = caller::text(SocketAddr::new(self.ip, file::METRICS), "/metrics").await;
        let name = format!("chestnutyoke_{name}");
        let line = text.lines().find(|line| line.starts_with(&name)).unwrap();
        line.split(' ').next_back().unwrap().parse().unwrap()
    }

    /// Sends the head and body of a request in the background; nothing of the answer is read. The
    /// connection is kept unless it breaks off.
    fn ask(&self, path: &str, id: &str, body: usize) -> JoinHandle<io::Result<TcpStream>> {
        let deadline_ms = DEADLINE.as_millis();
        let address = SocketAddr::new(self.ip, file::CALLERS);
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: {id}\r\ndeadline-ms: {deadline_ms}\r\nprevious-turn: before-{id}\r\ncontent-length: {body}\r\n\r\n"
        );
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(address).await?;
            stream.write_all(head.as_bytes()).await?;
            stream.write_all(&vec![b'x'; body]).await?;
            Ok(stream)
        })
    }
}

/// Starts members that hold a history of `turns` turns before each turn.
async fn start_members(store: &Store, ips: &[IpAddr], turns: u128) {
    let mut members = Vec::new();
    for (ip, centre) in ips.iter().zip(["a", "b", "c"]) {
        let address = SocketAddr::new(*ip, file::PEERS);
        let listener = listen::bind(address).await.unwrap();
        let answer = move |request| answer_member(request, turns);
        tokio::spawn(listen::run(listener, Arc::default(), answer));
        members.push(Member {
            vm: format!("store-{centre}-1"),
            centre: centre.to_owned(),
            address,
            disk: 1,
        });
    }
    let list = List {
        version: 1,
        members,
        before: Vec::new(),
        reset: None,
    };
    store.put("chestnutyoke/members", &rmp_serde::to_vec(&list).unwrap());
}

async fn answer_member(request: Request<Incoming>, history: u128) -> Response<Body> {
    let bytes = body::read(request.into_body(), 1 << 24).await.unwrap();
    let ask: Ask = rmp_serde::from_slice(&bytes).unwrap();
    let answer = match ask.body {
        AskBody::Apply(_) => Answer::Applied(Vec::new()),
        AskBody::Chain(Key(last)) => Answer::Chain(Chain {
            turns: (0..history)
                .map(|earlier| Link {
                    key: Key(last.wrapping_add(earlier)),
                    text: vec![b'x'; TURN].into(),
                })
                .collect(),
            next: None,
        }),
        _ => Answer::Status(Status {
            disk: 1,
            version: 1,
            ready: 1,
        }),
    };
    Response::new(Body::whole(rmp_serde::to_vec(&answer).unwrap()))
}

/// Starts a runner whose answers follow from the paths: `/plain/BYTES` asks for a plain answer, others,
/// such as `/events/COUNT/BYTES`, for a stream; the body of a request to `/turns/unread` isn't read.
async fn run_runner(address: SocketAddr) {
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(answer(stream));
        }
    });
}

async fn answer(mut stream: TcpStream) -> Option<()> {
    let mut read = Vec::new();
    while !read.windows(4).any(|four| four == b"\r\n\r\n") {
        let mut piece = [0; 1024];
        let count = stream.read(&mut piece).await.ok().filter(|n| *n > 0)?;
        read.extend_from_slice(&piece[..count]);
    }
    let head = String::from_utf8_lossy(&read).into_owned();
    let path: Vec<&str> = head.split(' ').nth(1)?.split('/').collect();
    let fields = head.lines().filter_map(|line| line.split_once(": "));
    let mut ids = fields.filter(|(name, _)| *name == "request-id");
    let (_, id) = ids.next()?;
    if path[2] == "unread" {
        sleep(Duration::from_secs(30)).await;
        return None;
    }
    if path[1] == "plain" {
        let bytes: usize = path[2].parse().ok()?;
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ncontent-length: {bytes}\r\nconnection: close\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        stream.write_all(&vec![b'x'; bytes]).await.ok()?;
    } else {
        let (count, bytes): (usize, usize) = (path[2].parse().ok()?, path[3].parse().ok()?);
        let head = format!(
            "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-stamp: s\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        for id in 1..=count {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(bytes));
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            stream.write_all(chunk.as_bytes()).await.ok()?;
        }
        stream.write_all(b"0\r\n\r\n").await.ok()?;
    }
    let mut rest = Vec::new();
    stream.read_to_end(&mut rest).await.ok()?;
    Some(())
}

/// The most that the process held above its memory at the start, and what it held in the end.
struct Held {
    peak: u64,
    end: u64,
}

/// Sends `requests` requests whose answers nobody reads, and waits until the process has ended all of
/// their connections, or for `limit`.
async fn hold(
    deployment: &Deployment,
    requests: usize,
    path: &str,
    body: usize,
    limit: Duration,
) -> Held {
    let before = deployment.metric("memory_bytes").await;
    let started = Instant::now();
    let mut callers = Vec::new();
    for number in 0..requests {
        callers.push(deployment.ask(path, &format!("q{number}"), body));
    }
    let mut held = Held { peak: 0, end: 0 };
    while started.elapsed() < limit {
        sleep(Duration::from_millis(250)).await;
        let open = deployment.metric("connections ").await;
        let memory = deployment.metric("memory_bytes").await;
        let counted = deployment.metric("request_bytes").await;
        assert!(
            memory < SMALLEST_VM,
            "{memory} bytes of memory, {counted} counted"
        );
        held.end = memory.saturating_sub(before);
        held.peak = held.peak.max(held.end);
        if open == 0 {
            break;
        }
    }
    println!(
        "{path}: {requests} requests, {before} bytes before, {} at most, {} in the end, after {:?}",
        held.peak,
        held.end,
        started.elapsed()
    );
    held
}

/// Guards against a VM that runs out of memory because callers read nothing for ever, be it of a whole
/// answer, of a stream without an end or of one that the runner has ended.
#[rstest]
#[case::whole_answer(0x51, "/plain/8000000")]
#[case::endless_stream(0x52, "/events/1000000/200000")]
#[case::endless_stream_of_short_events(0x53, "/events/100000000/160")]
#[case::ended_stream(0x54, "/events/32/200000")]
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_read_nothing_are_ended(#[case] net: u8, #[case] path: &str) {
    let deployment = Deployment::start(net, HISTORY_TURNS).await;
    let held = hold(&deployment, LONG_REQUESTS, path, TURN, HELD_AT_MOST).await;
    assert_eq!(deployment.metric("connections ").await, 0);
    assert!(held.end < LONG_ANSWER, "{} bytes stay", held.end);
}

/// Guards against the smallest VM's running out of memory under requests of the usual size, none of
/// which is read by its caller, or by its runner.
#[rstest]
#[case::callers(0x55, "/turns/22/990")]
#[case::runners(0x56, "/turns/unread")]
#[tokio::test(flavor = "multi_thread")]
async fn usual_turns_fit_the_smallest_vm(#[case] net: u8, #[case] path: &str) {
    let deployment = Deployment::start(net, HISTORY_TURNS).await;
    hold(&deployment, USUAL_REQUESTS, path, TURN, DEADLINE * 2).await;
    assert_eq!(deployment.metric("refusals{code=\"CY2209\"}").await, 0);
}

/// Guards against a VM that runs out of memory because of many long answers, streams, bodies or histories at
/// once: what can't be held is refused before it runs. The first request tells how long answers are.
#[rstest]
#[case::answers(0x57, "/plain/8000000", TURN, LONG_FLOOD)]
#[case::streams(0x58, "/events/1000000/200000", TURN, LONG_FLOOD)]
#[case::bodies(0x59, "/turns/unread", LONG_BODY, LONG_FLOOD)]
#[case::histories(0x5a, "/turns/22/990", TURN, USUAL_REQUESTS)]
#[tokio::test(flavor = "multi_thread")]
async fn a_flood_of_long_requests_fits_the_smallest_vm(
    #[case] net: u8,
    #[case] path: &str,
    #[case] body: usize,
    #[case] requests: usize,
) {
    let deployment = Deployment::start(net, LONG_HISTORY_TURNS).await;
    hold(&deployment, 1, path, TURN, DEADLINE / 2).await;
    hold(&deployment, requests, path, body, HELD_AT_MOST).await;
    let refused = deployment.metric("refusals{code=\"CY2209\"}").await;
    println!("{path}: {refused} refused");
    assert!(refused > 0 || !path.starts_with("/plain"));
    assert_eq!(deployment.metric("request_bytes").await, 0);
}

/// Guards against a few callers that announce long bodies and send nothing, and so keep the memory for
/// bodies from all others.
#[tokio::test(flavor = "multi_thread")]
async fn callers_that_send_nothing_hold_up_nobody() {
    let deployment = Deployment::start(0x5b, HISTORY_TURNS).await;
    let address = SocketAddr::new(deployment.ip, file::CALLERS);
    let mut silent = Vec::new();
    for number in 0..5 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let head = format!(
            "POST /plain/1 HTTP/1.1\r\nhost: {HOST}\r\nrequest-id: s{number}\r\ndeadline-ms: 60000\r\ncontent-length: {LONG_BODY}\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).await.unwrap();
        silent.push(stream);
    }
    while deployment.metric("requests_without_memory").await == 0 {
        sleep(Duration::from_millis(10)).await;
    }
    let caller = deployment.ask("/plain/1", "q", TURN).await.unwrap();
    let mut caller = caller.unwrap();
    let mut status = [0; 12];
    caller.read_exact(&mut status).await.unwrap();
    assert_eq!(&status, b"HTTP/1.1 200");
}
