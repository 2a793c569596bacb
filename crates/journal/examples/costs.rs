//! Measures the costs of a shard: appends per second on a platform that answers in 2 ms, memory per
//! program, CPU time per turn, and the time to rebuild a shard. Everything runs on one thread. CPU
//! times are those of this thread as counted by the operating system, so other load doesn't affect
//! them.
//!
//! `cargo run --release -p journal --example costs`

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use journal::claim;
use journal::copy;
use journal::decision;
use journal::log::Log;
use journal::log::Setup;
use journal::record::Record;
use journal::snapshot::Image;
use journal::state::State;
use platform::edge;
use platform::edge::Platform;
use platform::memory::Memory;
use serde_json::Map;
use serde_json::Value;
use tokio::sync::mpsc;
use wire::chat;
use wire::clock::Millis;
use wire::id;

/// The response time of the platform.
const RESPONSE_TIME: Duration = Duration::from_millis(2);
/// How long each append load is measured.
const MEASURED_TIME: Duration = Duration::from_secs(3);
/// The size of a turn's question and of its answer in bytes, about 250 tokens each.
const TEXT_LEN: usize = 1_000;

#[tokio::main(flavor = "current_thread")]
async fn main() {
    measure_appends().await;
    measure_programs();
    measure_rebuilds().await;
}

async fn measure_appends() {
    println!(
        "\nappends of one committed turn, its question and answer of {TEXT_LEN} bytes each, \
         platform answers in 2 ms"
    );
    println!("callers  turns/s  writes/s  turns/write  p50 ms  p95 ms        CPU us/turn");
    for callers in [1_usize, 8, 32, 256] {
        let memory = Memory::default();
        let opened = open(&memory, RESPONSE_TIME).await;
        let before = memory.writes();
        let (start, cpu_start) = (Instant::now(), cpu_time());
        let tasks: Vec<_> = (0..callers)
            .map(|caller| tokio::spawn(append_turns(opened.log.clone(), caller, start)))
            .collect();
        let mut durations = Vec::new();
        for task in tasks {
            durations.extend(task.await.expect("a caller's task ends"));
        }
        let seconds = start.elapsed().as_secs_f64();
        let turns = count(durations.len());
        let writes = count(usize::try_from(memory.writes() - before).unwrap_or(usize::MAX));
        durations.sort();
        let percentile =
            |share: usize| durations[(durations.len() - 1) * share / 100].as_secs_f64() * 1e3;
        println!(
            "{callers:7}  {:7.0}  {:8.0}  {:11.1}  {:6.2}  {:6.2}  {:17.1}",
            turns / seconds,
            writes / seconds,
            turns / writes,
            percentile(50),
            percentile(95),
            cpu_time_since(cpu_start).as_secs_f64() * 1e6 / turns,
        );
    }
}

/// Appends turns one after another for the measured time, and returns how long each append took.
async fn append_turns(log: Log, caller: usize, start: Instant) -> Vec<Duration> {
    let mut durations = Vec::new();
    while start.elapsed() < MEASURED_TIME {
        let append_start = Instant::now();
        let record = committed(caller, 1, 1);
        log.append(vec![record]).await.expect("the append succeeds");
        durations.push(append_start.elapsed());
    }
    durations
}

fn measure_programs() {
    println!(
        "\nstate in memory, programs of 2 turns, each question and answer of {TEXT_LEN} bytes"
    );
    println!("programs  KB/program  decide+apply us/turn  image MB  image ms");
    for programs in [1_000, 10_000, 100_000] {
        let before = resident_bytes();
        let mut state = opened_state();
        for program in 0..programs {
            state.apply(&created(program));
            run_turn(&mut state, program, 1);
        }
        let start = cpu_time();
        for program in 0..programs {
            run_turn(&mut state, program, 2);
        }
        let micros = cpu_time_since(start).as_secs_f64() * 1e6 / count(programs);
        let kilobytes = count(resident_bytes().saturating_sub(before)) / 1e3 / count(programs);
        let start = cpu_time();
        let image = Image::of(&state);
        let millis = cpu_time_since(start).as_secs_f64() * 1e3;
        println!(
            "{programs:8}  {kilobytes:10.2}  {micros:20.2}  {:8.1}  {millis:8.1}",
            count(image.size()) / 1e6,
        );
    }
}

/// Starts and commits a turn through the decision functions.
fn run_turn(state: &mut State, program: usize, number: u32) {
    let attempt = id::Attempt(program as u64 * 100 + u64::from(number));
    let messages = [message("user")];
    let begin = decision::Begin {
        program: &program_id(program),
        caller: &caller(),
        turn: Some(number),
        messages: &messages,
        digest: id::Digest(u64::from(number)),
        max_tokens: 1_000,
        attempt,
        endpoint: None,
        now: Millis::ZERO,
    };
    let Ok(decision::Turn::Start(start)) = decision::begin(state, &begin) else {
        panic!("a turn doesn't start");
    };
    start.records.iter().for_each(|record| state.apply(record));
    let [question] = messages;
    let commit = decision::Commit {
        program: &program_id(program),
        attempt,
        messages: vec![question],
        answer: answer(),
        used: 250,
        endpoint: &endpoint(),
        now: Millis::ZERO,
    };
    let record = decision::commit(state, commit).expect("the turn fits in the value of one key");
    state.apply(&record.expect("the attempt is running"));
}

async fn measure_rebuilds() {
    println!("\ntakeover of a shard, platform answers in 2 ms, a turn in every three batches");
    println!("batches    from the journal, ms (CPU ms)    from an image, ms (CPU ms)");
    for batches in [1_000_usize, 10_000] {
        let memory = Memory::default();
        fill(&memory, batches).await;
        let (start, cpu_start) = (Instant::now(), cpu_time());
        let opened = open(&memory, RESPONSE_TIME).await;
        let journal = format_elapsed(start, cpu_start);
        opened.log.snapshot(Image::of(&opened.state));
        while memory
            .read("snapshot/c/0")
            .await
            .is_ok_and(|index| index.is_none())
        {
            tokio::time::sleep(RESPONSE_TIME).await;
        }
        let (start, cpu_start) = (Instant::now(), cpu_time());
        open(&memory, RESPONSE_TIME).await;
        let image = format_elapsed(start, cpu_start);
        println!("{batches:7}  {journal:>31}  {image:>28}");
    }
}

/// Writes `batches / 2` programs of one turn each, in three batches per program.
async fn fill(memory: &Memory, batches: usize) {
    let mut opened = open(memory, Duration::ZERO).await;
    for program in 0..batches / 2 {
        for record in [created(program), started(program)] {
            opened.state.apply(&record);
            opened
                .log
                .append(vec![record])
                .await
                .expect("the append succeeds");
        }
        let record = committed(program, 1, 1);
        let append = opened.log.append(vec![record]);
        append.await.expect("the append succeeds");
    }
}

async fn open(memory: &Memory, response_time: Duration) -> claim::Opened {
    let lease = memory.grant(Millis::new(60_000)).await.expect("a lease");
    let setup = Setup {
        platform: Arc::new(DelayedPlatform {
            memory: memory.clone(),
            response_time,
        }),
        peers: Arc::new(NoPeers),
        vm: id::Vm::parse("vm").expect("an id"),
        shard: id::Shard {
            centre: id::Centre::parse("c").expect("an id"),
            index: 0,
        },
        seed: memory.writes() + 1,
        copy_holders: Vec::new(),
        acks: 0,
    };
    claim::open(setup, lease).await.expect("the shard opens")
}

fn opened_state() -> State {
    let opened = Record::Opened {
        vm: id::Vm::parse("vm").expect("an id"),
        epoch: 1,
        copies: Vec::new(),
    };
    State::rebuild([&opened]).expect("the record matches the state")
}

fn created(program: usize) -> Record {
    Record::Created {
        program: program_id(program),
        caller: caller(),
        tokens: 440_000,
        turns: 77,
        idle: Millis::new(60_000),
        at: Millis::ZERO,
    }
}

fn started(program: usize) -> Record {
    Record::Started {
        program: program_id(program),
        turn: 1,
        attempt: id::Attempt(1),
        digest: id::Digest(1),
        reserved: 1_000,
        endpoint: None,
        at: Millis::ZERO,
    }
}

fn committed(program: usize, turn: u32, attempt: u64) -> Record {
    Record::Committed {
        program: program_id(program),
        turn,
        attempt: id::Attempt(attempt),
        messages: vec![message("user")],
        answer: answer(),
        used: 250,
        endpoint: endpoint(),
        at: Millis::ZERO,
    }
}

fn message(role: &str) -> chat::Message {
    chat::Message {
        role: role.to_owned(),
        content: Value::from("x".repeat(TEXT_LEN)),
        rest: Map::new(),
    }
}

fn answer() -> chat::Answer {
    chat::Answer {
        message: message("assistant"),
        finish: "stop".to_owned(),
        usage: chat::Usage::default(),
    }
}

fn program_id(program: usize) -> id::Program {
    // Distributes the names evenly, like random names.
    let hash = id::Digest::of(&program.to_be_bytes()).0;
    id::Program::parse(&format!("c-{hash:016x}")).expect("an id")
}

fn caller() -> id::Caller {
    id::Caller::parse("crew").expect("an id")
}

fn endpoint() -> id::Endpoint {
    id::Endpoint::parse("runner-1").expect("an id")
}

fn count(number: usize) -> f64 {
    f64::from(u32::try_from(number).unwrap_or(u32::MAX))
}

fn format_elapsed(start: Instant, cpu_start: Duration) -> String {
    let wall = start.elapsed().as_millis();
    format!("{wall} ({})", cpu_time_since(cpu_start).as_millis())
}

fn cpu_time_since(start: Duration) -> Duration {
    cpu_time().saturating_sub(start)
}

/// Returns the CPU time of this thread; zero if the system doesn't provide it.
fn cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}

/// Returns the resident memory of the process in bytes; 0 if the system doesn't provide it.
fn resident_bytes() -> usize {
    const PAGE_BYTES: usize = 4_096;
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

/// A platform with a delay before each response.
struct DelayedPlatform {
    memory: Memory,
    response_time: Duration,
}

impl DelayedPlatform {
    async fn wait(&self) {
        if !self.response_time.is_zero() {
            tokio::time::sleep(self.response_time).await;
        }
    }
}

#[async_trait]
impl Platform for DelayedPlatform {
    async fn range(
        &self,
        prefix: &str,
        from: &str,
        limit: usize,
    ) -> edge::Result<Vec<edge::Entry>> {
        self.wait().await;
        self.memory.range(prefix, from, limit).await
    }

    async fn read(&self, key: &str) -> edge::Result<Option<edge::Entry>> {
        self.wait().await;
        self.memory.read(key).await
    }

    async fn commit(
        &self,
        txn: &edge::Txn,
        priority: edge::Priority,
    ) -> edge::Result<edge::Outcome> {
        self.wait().await;
        self.memory.commit(txn, priority).await
    }

    async fn grant(&self, ttl: Millis) -> edge::Result<edge::Lease> {
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: edge::Lease) -> edge::Result<bool> {
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: edge::Lease) -> edge::Result<()> {
        self.memory.revoke(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> edge::Result<mpsc::Receiver<edge::Change>> {
        self.memory.watch(prefix, revision).await
    }

    async fn machines(&self) -> edge::Result<Vec<edge::Machine>> {
        self.memory.machines().await
    }
}

/// A centre with a single VM.
struct NoPeers;

#[async_trait]
impl copy::Peers for NoPeers {
    async fn hold(
        &self,
        _holder: &copy::Holder,
        _shard: &id::Shard,
        _batch: &copy::Batch,
    ) -> copy::Result<()> {
        Err(copy::Fault::Unreachable)
    }

    async fn collect(
        &self,
        _vm: &id::Vm,
        _shard: &id::Shard,
        _epoch: u64,
    ) -> copy::Result<copy::Collected> {
        Err(copy::Fault::Unreachable)
    }

    async fn keep(&self, _shard: &id::Shard, _held: Vec<copy::Batch>) {}

    async fn drained(&self, _holder: &copy::Holder, _shard: &id::Shard, _epoch: u64, _seq: u64) {}
}
