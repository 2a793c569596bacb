//! Several real nodes in one process, on loopback, with an in-memory platform: tests the
//! controllers' tasks together with their decisions.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use node::controllers::config::change::Outcome;
use node::controllers::config::edit::Edit;
use node::controllers::config::edit::Subject;
use node::controllers::run::config;
use node::core::Core;
use node::start;
use node::start::Handle;
use platform::edge::Machine;
use platform::edge::Standing;
use platform::memory::Memory;
use serde_json::json;
use settings::config::Endpoint;
use settings::config::Kind;
use settings::label;
use settings::vm::Settings;
use standin::client;
use standin::http::Server;
use standin::runner;
use tokio::net::TcpListener;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::id;

/// How long to wait for an event. Far longer than any event takes, so that a busy machine doesn't
/// change a result.
const EVENT_TIMEOUT: Duration = Duration::from_mins(1);
const SHARDS: usize = 6;

fn settings(name: &str, seeds: &[(&str, SocketAddr)]) -> Settings {
    let head = format!(
        r#"
        [vm]
        name = "{name}"
        centre = "c"
        [listen]
        callers = "127.0.0.1:0"
        peers = "127.0.0.1:0"
        admin = "127.0.0.1:0"
        [platform]
        addresses = ["127.0.0.1:1"]
        lease = "1s"
        [[centres]]
        name = "c"
        shards = {SHARDS}
        "#
    );
    let peers = seeds.iter().map(|(name, address)| {
        format!("[[peers]]\nname = \"{name}\"\ncentre = \"c\"\naddress = \"{address}\"\n")
    });
    let text: String = std::iter::once(head).chain(peers).collect();
    settings::vm::parse(&text).unwrap()
}

async fn start_node(name: &str, memory: &Memory, seeds: &[(&str, SocketAddr)]) -> Handle {
    let platform = Arc::new(memory.clone());
    let started = start::start_on(settings(name, seeds), Clock::System, platform);
    timeout(EVENT_TIMEOUT, started)
        .await
        .expect("starts")
        .unwrap()
}

async fn start_three(memory: &Memory) -> Vec<Handle> {
    let first = start_node("a", memory, &[]).await;
    let seed = [("a", first.peers())];
    let second = start_node("b", memory, &seed).await;
    let third = start_node("c", memory, &seed).await;
    vec![first, second, third]
}

/// Waits until a condition holds for a node's view.
async fn wait_for_view(core: &Core, what: &str, holds: impl Fn(&node::view::View) -> bool) {
    let mut views = core.view.subscribe();
    let waited = timeout(EVENT_TIMEOUT, views.wait_for(|view| holds(view))).await;
    waited
        .unwrap_or_else(|_| panic!("{what}: {:?}", core.view()))
        .unwrap();
}

/// Waits until a node knows an owner of each shard, and each owner is one of `vms`.
async fn owned_by(handle: &Handle, vms: &[&str]) {
    let core = handle.core();
    wait_for_view(core, "owners", |view| {
        let known = |o: &node::view::Owner| vms.contains(&o.vm.as_str());
        view.owners.len() == SHARDS && view.owners.iter().all(known)
    })
    .await;
}

fn label(value: &str) -> Edit {
    Edit::Label {
        subject: Subject::Program(id::Program::parse("p").unwrap()),
        name: "priority".to_owned(),
        value: Some(value.to_owned()),
    }
}

async fn change(handle: &Handle, value: &str) -> (Outcome, usize) {
    let (outcome, rollout) = config::make(handle.core(), label(value), None).await;
    (outcome, rollout.reached.len())
}

// An operator changes a label at one VM. When the operator is answered, the change is in force on
// all three. The platform then goes down at once and the accepting VM is replaced: the new VM takes
// the change from a peer, and mustn't serve before.
#[tokio::test]
async fn an_accepted_change_survives_an_outage_and_a_restart() {
    let memory = Memory::default();
    let mut nodes = start_three(&memory).await;
    for node in &nodes {
        wait_for_view(node.core(), "three up", |view| view.peers.len() == 3).await;
    }
    let (outcome, reached) = change(&nodes[0], "high").await;
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
    assert_eq!(reached, 3);
    memory.set_down(true);
    let seed = [("b", nodes[1].peers())];
    nodes.remove(0).shutdown().await;
    let again = start_node("a", &memory, &seed).await;
    assert_eq!(again.core().view().config.revision, 1);
}

// Two operators change the same label at two VMs at once. Both are told "accepted", each with a
// different revision, and every VM ends up with the later one.
#[tokio::test]
async fn racing_operators_both_get_a_correct_answer() {
    let memory = Memory::default();
    let nodes = start_three(&memory).await;
    let (one, two) = tokio::join!(change(&nodes[0], "high"), change(&nodes[1], "low"));
    let revision = |outcome: &Outcome| match outcome {
        Outcome::Accepted(config) => config.revision,
        other => panic!("not accepted: {other:?}"),
    };
    let mut revisions = [revision(&one.0), revision(&two.0)];
    revisions.sort_unstable();
    assert_eq!(revisions, [1, 2]);
    for node in &nodes {
        wait_for_view(node.core(), "revision 2", |view| view.config.revision == 2).await;
    }
}

// Three VMs share the shards and one shuts down. The others get its shards without waiting for a
// lease to expire, because it announces its leave.
#[tokio::test]
async fn shards_of_a_vm_that_stops_go_to_the_others() {
    let memory = Memory::default();
    let mut nodes = start_three(&memory).await;
    for node in &nodes {
        owned_by(node, &["a", "b", "c"]).await;
    }
    nodes.remove(0).shutdown().await;
    for node in &nodes {
        owned_by(node, &["b", "c"]).await;
    }
}

// A VM that owns shards dies without notice. Its peer suspects it, then marks it down, retries the
// claims until the lease has expired, and then has all shards.
#[test]
fn shards_of_a_vm_that_dies_go_to_the_others() {
    let memory = Memory::default();
    let runtimes = [0, 1].map(|_| tokio::runtime::Runtime::new().unwrap());
    let first = runtimes[0].block_on(start_node("a", &memory, &[]));
    let seed = [("a", first.peers())];
    let second = runtimes[1].block_on(start_node("b", &memory, &seed));
    runtimes[1].block_on(owned_by(&second, &["a", "b"]));
    let [dies, stays] = runtimes;
    dies.shutdown_background();
    stays.block_on(owned_by(&second, &["b"]));
    assert_eq!(second.core().registry.owned().len(), SHARDS);
}

async fn start_runner() -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = runner::Settings {
        lag: Millis::ZERO,
        ..runner::Settings::default()
    };
    runner::serve(listener, settings, Clock::System).unwrap()
}

async fn add_endpoint(handle: &Handle, name: &str, runner: &Server) {
    let endpoint = Endpoint {
        name: id::Endpoint::parse(name).unwrap(),
        kind: Kind::Runner,
        address: runner.address().to_string(),
        centre: id::Centre::parse("c").unwrap(),
        serves: vec!["m".to_owned()],
        fences: true,
        slots: 4,
        repeatable: Vec::new(),
        labels: label::Set::default(),
    };
    let (outcome, _) = config::make(handle.core(), Edit::Endpoint(endpoint), None).await;
    assert!(matches!(outcome, Outcome::Accepted(_)), "{outcome:?}");
}

// One runner is drained by hand and says so only in its load report; another is marked as leaving
// in the platform's list while its report doesn't say so. Every VM must learn of both, whichever VM
// polls the runners or reads the list.
#[tokio::test]
async fn every_vm_learns_that_an_endpoint_is_leaving() {
    let memory = Memory::default();
    let nodes = start_three(&memory).await;
    let runners = [start_runner().await, start_runner().await];
    for (name, runner) in ["reports", "listed"].iter().zip(&runners) {
        add_endpoint(&nodes[0], name, runner).await;
    }
    let has_status = |view: &node::view::View, name: &str, leaving: bool| {
        let load = view.load(&id::Endpoint::parse(name).unwrap());
        load.is_some_and(|l| l.up && l.leaving == leaving)
    };
    for node in &nodes {
        let both = |v: &_| has_status(v, "reports", false) && has_status(v, "listed", false);
        wait_for_view(node.core(), "loads", both).await;
    }
    memory.set_machines(vec![Machine {
        name: "listed".to_owned(),
        centre: id::Centre::parse("c").unwrap(),
        standing: Standing::Leaving,
    }]);
    let drain = json!({"order": "drain", "fence": 1});
    client::post(runners[0].address(), "/orders", &[], &drain).await;
    for node in &nodes {
        let both = |v: &_| has_status(v, "reports", true) && has_status(v, "listed", true);
        wait_for_view(node.core(), "leaving", both).await;
    }
}

// A runner holds the cache of a program that no journal knows, for example because the release was
// lost with the VM that ordered it. The poller finds it and its owner says that it is gone. After
// the grace period the runner is told to release it.
#[tokio::test]
async fn cache_of_a_gone_program_is_swept() {
    let memory = Memory::default();
    let time = Arc::new(AtomicU64::new(1_000_000));
    let clock = Clock::Manual(time.clone());
    let single = start::start_on(settings("a", &[]), clock, Arc::new(memory)).await;
    let single = single.unwrap();
    owned_by(&single, &["a"]).await;
    let runner = start_runner().await;
    let turn = json!({"model": "m", "messages": [{"role": "user", "content": "hello #tokens=1"}]});
    let headers = [(runner::PROGRAM, "gone")];
    client::ask(runner.address(), "/v1/chat/completions", &headers, &turn).await;
    let held = async || client::get(runner.address(), "/cache").await["programs"].to_string();
    assert!(held().await.contains("gone"));
    add_endpoint(&single, "r", &runner).await;
    let swept = async {
        while held().await.contains("gone") {
            time.fetch_add(100, Ordering::SeqCst);
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(EVENT_TIMEOUT, swept).await.expect("swept");
}
