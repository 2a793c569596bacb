//! Measures the overhead of the system: the time to the first token and to the whole answer through
//! a node, compared with the same calls sent directly to the runner, in one run.
//!
//! The example starts itself as the platform, the runner and the node, each as a process of its
//! own, and sends the load itself. Direct and routed calls alternate in short blocks, so that
//! changes in the machine's load affect both alike. It prints the ratios at the 50th, 95th and 99th
//! percentile, the node's CPU time per turn and the platform's writes per turn.

use std::io::BufRead;
use std::io::BufReader;
use std::net::SocketAddr;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use clap::Arg;
use clap::value_parser;
use hdrhistogram::Histogram;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;
use standin::client;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::id::Digest;

/// The numbers of concurrent calls.
const CONCURRENCY: [usize; 3] = [1, 32, 256];
/// Blocks of direct and of routed calls at each concurrency.
const BLOCKS: usize = 3;
/// The duration of a block.
const BLOCK: Duration = Duration::from_secs(3);
/// The platform's response time in milliseconds.
const PLATFORM_MS: u64 = 2;
/// The length of a prompt in bytes: about 1,000 tokens, 50 ms of prefill.
const PROMPT_BYTES: usize = 4_000;
/// The length of an answer in tokens.
const ANSWER_TOKENS: u64 = 16;
/// The runner's speed: 20 ms between tokens, against the target's 58 ms.
const TOKENS_PER_SECOND: f64 = 50.0;
/// The runner's slots: more than there are concurrent calls, because waiting isn't measured here.
const SLOTS: u32 = 1_024;
/// The longest time that the histograms resolve, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Ticks per second in the CPU times that the kernel reports.
const TICKS_PER_SECOND: f64 = 100.0;

type Http = legacy::Client<HttpConnector, Full<bytes::Bytes>>;

#[tokio::main]
async fn main() {
    let matches = clap::Command::new("overhead")
        .arg(Arg::new("role").default_value("load"))
        .arg(
            Arg::new("platform")
                .long("platform")
                .default_value("127.0.0.1:1"),
        )
        .arg(
            Arg::new("writes")
                .long("writes")
                .default_value("60")
                .value_parser(value_parser!(u32))
                .help("Maximum platform writes per second of the node"),
        )
        .arg(
            Arg::new("shards")
                .long("shards")
                .default_value("1")
                .value_parser(value_parser!(u32))
                .help("Number of shards"),
        )
        .get_matches();
    let text = |name: &str| matches.get_one::<String>(name).cloned().unwrap_or_default();
    let number = |name: &str| matches.get_one::<u32>(name).copied().unwrap_or(1);
    let (writes, shards) = (number("writes"), number("shards"));
    match text("role").as_str() {
        "platform" => platform().await,
        "runner" => runner().await,
        "node" => node(&text("platform"), writes, shards).await,
        _ => load(writes, shards).await,
    }
}

async fn platform() {
    let settings = standin::platform::Settings {
        writes: 1_000_000,
        reads: 1_000_000,
        ..standin::platform::Settings::default()
    };
    let server = standin::platform::serve(bind().await, settings, Clock::System);
    serve(server.expect("the platform starts")).await;
}

async fn runner() {
    let settings = standin::runner::Settings {
        slots: SLOTS,
        tokens_per_second: TOKENS_PER_SECOND,
        crowding: 0.0,
        answer_tokens: ANSWER_TOKENS,
        ..standin::runner::Settings::default()
    };
    let server = standin::runner::serve(bind().await, settings, Clock::System);
    serve(server.expect("the runner starts")).await;
}

async fn serve(server: standin::http::Server) {
    println!("listening {}", server.address());
    server.wait().await;
}

async fn node(platform: &str, writes: u32, shards: u32) {
    let text = format!(
        r#"
centres = [{{ name = "a", shards = {shards} }}]
[vm]
name = "a1"
centre = "a"
[listen]
callers = "127.0.0.1:0"
peers = "127.0.0.1:0"
admin = "127.0.0.1:0"
[platform]
addresses = ["{platform}"]
writes = "{writes}/s"
"#
    );
    let settings = settings::vm::parse(&text).expect("the settings are right");
    let node = node::start::start(settings, Clock::System).await;
    let node = node.expect("the node starts");
    println!("listening {}", node.callers());
    std::future::pending::<()>().await;
}

async fn bind() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.expect("a free port")
}

/// A child process of this example, killed when dropped.
struct Role {
    child: Child,
    address: SocketAddr,
}

impl Role {
    fn start(arguments: &[&str]) -> Self {
        let binary = std::env::current_exe().expect("the example knows its file");
        let mut command = Command::new(binary);
        command.args(arguments).stdout(Stdio::piped());
        let mut child = command.spawn().expect("the example starts itself");
        let mut line = String::new();
        let out = child.stdout.take().expect("stdout is piped");
        BufReader::new(out).read_line(&mut line).expect("a line");
        let address = line.split_whitespace().last().and_then(|a| a.parse().ok());
        Self {
            child,
            address: address.expect("an address"),
        }
    }

    /// Returns the CPU time used so far, in seconds.
    fn cpu_seconds(&self) -> f64 {
        let path = format!("/proc/{}/stat", self.child.id());
        let text = std::fs::read_to_string(path).unwrap_or_default();
        // The fields after the process name in parentheses. User and system time are at the indexes
        // 12 and 13.
        let fields: Vec<&str> = text.rsplit(')').next().unwrap_or("").split(' ').collect();
        let ticks = |index: usize| fields.get(index).and_then(|f| f.parse::<f64>().ok());
        (ticks(12).unwrap_or(0.0) + ticks(13).unwrap_or(0.0)) / TICKS_PER_SECOND
    }
}

impl Drop for Role {
    fn drop(&mut self) {
        let _gone = self.child.kill();
        let _status = self.child.wait();
    }
}

async fn load(writes: u32, shards: u32) {
    let platform = Role::start(&["platform"]);
    let runner = Role::start(&["runner"]);
    configure(platform.address, runner.address).await;
    let faults = json!({"slow_ms": PLATFORM_MS});
    client::post(platform.address, "/faults", &[], &faults).await;
    let address = platform.address.to_string();
    let writes = writes.to_string();
    let shards = shards.to_string();
    let arguments = [
        "node",
        "--platform",
        &address,
        "--writes",
        &writes,
        "--shards",
        &shards,
    ];
    let node = Role::start(&arguments);
    client::until(node.address, "/ready", |a| a["status"] == "ready").await;
    println!("write budget {writes}/s, {shards} shards, platform answers in {PLATFORM_MS} ms");
    println!(
        "calls | first token ms direct p50 p95 p99 | ratio p50 p95 p99 | whole ms direct p50 p95 \
         p99 | ratio p50 p95 p99 | turns/s | node ms/turn | writes/turn"
    );
    for calls in CONCURRENCY {
        measure(calls, &platform, &runner, &node).await;
    }
}

/// The latencies of direct or of routed calls.
struct Latencies {
    first: Histogram<u64>,
    whole: Histogram<u64>,
}

impl Latencies {
    fn new() -> Self {
        let empty =
            || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are right");
        Self {
            first: empty(),
            whole: empty(),
        }
    }
}

async fn measure(calls: usize, platform: &Role, runner: &Role, node: &Role) {
    let mut direct = Latencies::new();
    let mut routed = Latencies::new();
    let (mut cpu, mut written, mut elapsed) = (0.0, 0, Duration::ZERO);
    block(runner.address, calls, &mut Latencies::new()).await;
    block(node.address, calls, &mut Latencies::new()).await;
    for _ in 0..BLOCKS {
        block(runner.address, calls, &mut direct).await;
        let before = (
            node.cpu_seconds(),
            writes(platform.address).await,
            Instant::now(),
        );
        block(node.address, calls, &mut routed).await;
        cpu += node.cpu_seconds() - before.0;
        written += writes(platform.address).await - before.1;
        elapsed += before.2.elapsed();
    }
    report(calls, &direct, &routed, cpu, written, elapsed);
}

#[expect(
    clippy::cast_precision_loss,
    reason = "counts and microseconds are far below 2^52"
)]
fn report(
    calls: usize,
    direct: &Latencies,
    routed: &Latencies,
    cpu: f64,
    written: u64,
    elapsed: Duration,
) {
    let at = |latencies: &Histogram<u64>, q: f64| latencies.value_at_quantile(q) as f64;
    let quantiles = [0.5, 0.95, 0.99];
    let columns = |direct: &Histogram<u64>, routed: &Histogram<u64>| {
        let millis = quantiles.map(|q| format!("{:.1}", at(direct, q) / 1_000.0));
        let ratio = quantiles.map(|q| format!("{:.2}", at(routed, q) / at(direct, q)));
        format!("{} | {}", millis.join(" "), ratio.join(" "))
    };
    let turns = routed.whole.len() as f64;
    println!(
        "{calls:5} | {} | {} | {:.0} | {:.3} | {:.2}",
        columns(&direct.first, &routed.first),
        columns(&direct.whole, &routed.whole),
        turns / elapsed.as_secs_f64(),
        cpu * 1_000.0 / turns,
        written as f64 / turns
    );
}

async fn writes(platform: SocketAddr) -> u64 {
    let stats = client::get(platform, "/stats").await;
    stats["writes"].as_u64().unwrap_or(0)
}

/// Keeps `calls` calls running for the duration of a block: each caller sends its next call when
/// the last one has ended.
async fn block(address: SocketAddr, calls: usize, measured: &mut Latencies) {
    let http: Arc<Http> = Arc::new(legacy::Client::builder(TokioExecutor::new()).build_http());
    let end = Instant::now() + BLOCK;
    let mut callers = tokio::task::JoinSet::new();
    for caller in 0..calls {
        let http = http.clone();
        callers.spawn(async move {
            let mut latencies = Vec::new();
            // The callers start spread over the duration of a turn, as they would be after a while.
            let delay = 370 * caller / calls;
            tokio::time::sleep(Duration::from_millis(delay as u64)).await;
            while Instant::now() < end {
                latencies.push(turn(&http, address).await);
            }
            latencies
        });
    }
    while let Some(latencies) = callers.join_next().await {
        for (first, whole) in latencies.expect("a caller doesn't panic") {
            measured.first.saturating_record(micros(first));
            measured.whole.saturating_record(micros(whole));
        }
    }
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Sends one call and measures the time to its first token and to its end marker.
async fn turn(http: &Http, address: SocketAddr) -> (Duration, Duration) {
    let text = format!(
        "{:016x}{}",
        rand::random::<u64>(),
        "word ".repeat(PROMPT_BYTES / 5)
    );
    let mut chat = client::chat(&text);
    chat["stream"] = json!(true);
    let request = Request::post(format!("http://{address}/v1/chat/completions"))
        .header("authorization", format!("Bearer {}", client::TOKEN))
        .header("content-type", "application/json")
        .body(Full::from(chat.to_string()))
        .expect("the request is right");
    let started = Instant::now();
    let response = http.request(request).await.expect("an answer");
    let status = response.status();
    let mut body = response.into_body();
    let mut first = None;
    let mut received = Vec::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.expect("a whole stream").into_data() else {
            continue;
        };
        received.extend_from_slice(&data);
        if first.is_none() && has_token(&received) {
            first = Some(started.elapsed());
        }
    }
    let whole = started.elapsed();
    let text = String::from_utf8_lossy(&received);
    assert!(text.ends_with("data: [DONE]\n\n"), "{status}: {text}");
    (first.expect("a token"), whole)
}

/// Returns whether the events contain any text.
fn has_token(events: &[u8]) -> bool {
    let text = String::from_utf8_lossy(events);
    !client::content(&text).is_empty()
}

async fn configure(platform: SocketAddr, runner: SocketAddr) {
    let config: Value = json!({
        "revision": 1,
        "nonce": 1,
        "callers": [{"name": "tug", "token": Digest::of(client::TOKEN.as_bytes())}],
        "endpoints": [{"name": "runner", "kind": "runner", "address": runner.to_string(),
                       "centre": "a", "serves": ["m"], "slots": SLOTS}],
        "selectors": [{"name": "all"}],
    });
    client::configure(platform, &config).await;
}
