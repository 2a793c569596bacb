//! Stateful fuzzing of the configuration: racing operators, lost answers, outages, restarts and
//! paused nodes that resume, checked against the sequence of documents that the platform accepted.

#[path = "support/runs.rs"]
mod runs;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use node::controllers::config;
use node::controllers::config::Boot;
use node::controllers::config::Current;
use node::controllers::config::KEY;
use node::controllers::config::Source;
use node::controllers::config::change::Change;
use node::controllers::config::change::Outcome;
use node::controllers::config::change::Step;
use node::controllers::config::edit::Edit;
use node::controllers::config::edit::Subject;
use platform::edge::Entry;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::memory::Injection;
use platform::memory::Memory;
use proptest::prelude::*;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;
use proptest_state_machine::prop_state_machine;
use runs::runs;
use settings::config::Config;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::id;

const NODES: usize = 4;
const MAX_PENDING: usize = 3;
const SEED: u64 = 5;
const CASES: u32 = 512;
const DEADLINE: Millis = Millis::new(1_000);

#[derive(Clone, Debug)]
enum Operation {
    Begin { node: usize, with_expected: bool },
    Advance { change: usize },
    Lose(Injection),
    Outage(bool),
    Deliver,
    Wait,
    Heartbeat { from: usize, to: usize },
    Poll { node: usize },
    Pause { node: usize },
    Wake { node: usize },
    Crash { node: usize },
    Restart { node: usize },
}

#[derive(Clone, Debug)]
struct Scenario;

impl ReferenceStateMachine for Scenario {
    type State = ();
    type Transition = Operation;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Operation> {
        let node = 0..NODES;
        let play = prop_oneof![
            Just(Injection::LoseAnswer),
            Just(Injection::LoseWrite),
            Just(Injection::Delay),
        ];
        prop_oneof![
            4 => (node.clone(), any::<bool>())
                .prop_map(|(node, with_expected)| Operation::Begin { node, with_expected }),
            12 => (0..MAX_PENDING).prop_map(|change| Operation::Advance { change }),
            2 => play.prop_map(Operation::Lose),
            2 => any::<bool>().prop_map(Operation::Outage),
            1 => Just(Operation::Deliver),
            1 => Just(Operation::Wait),
            4 => (node.clone(), node.clone())
                .prop_map(|(from, to)| Operation::Heartbeat { from, to }),
            2 => node.clone().prop_map(|node| Operation::Poll { node }),
            1 => node.clone().prop_map(|node| Operation::Pause { node }),
            2 => node.clone().prop_map(|node| Operation::Wake { node }),
            1 => node.clone().prop_map(|node| Operation::Crash { node }),
            2 => node.prop_map(|node| Operation::Restart { node }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Operation) {}
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Running,
    Paused,
    Dead,
}

struct Node {
    phase: Phase,
    held: Current,
    /// The highest revision in force since this node started.
    highest_revision: u64,
}

struct Pending {
    node: usize,
    nonce: u64,
    change: Change,
    step: Step,
}

struct Fleet {
    runtime: tokio::runtime::Runtime,
    time: Arc<AtomicU64>,
    memory: Memory,
    down: bool,
    nodes: Vec<Node>,
    pending: Vec<Pending>,
    last_nonce: u64,
    /// All documents that the platform has stored, by revision from 1.
    history: Vec<Config>,
    /// Nonces of changes that an operator was told won't take effect.
    rejected: Vec<u64>,
}

impl Fleet {
    fn now(&self) -> Millis {
        Millis::new(self.time.load(Ordering::SeqCst))
    }

    fn read(&self) -> platform::edge::Result<Option<Entry>> {
        self.runtime.block_on(self.memory.read(KEY))
    }

    /// Reads the key even in an outage, which only the test can.
    fn stored(&self) -> Config {
        self.memory.set_down(false);
        let entry = self.read().unwrap();
        self.memory.set_down(self.down);
        entry.map_or_else(Config::default, |e| config::parse(&e.value).unwrap())
    }

    fn record(&mut self) {
        let stored = self.stored();
        let known = self.history.len() as u64;
        if stored.revision == known {
            let last = self.history.last().cloned().unwrap_or_default();
            assert_eq!(stored, last, "a document changed without a new revision");
            return;
        }
        assert_eq!(stored.revision, known + 1, "a revision was skipped");
        let labels = |c: &Config| c.programs.first().map_or(0, |p| p.labels.iter().count());
        assert_eq!(
            labels(&stored) as u64,
            stored.revision,
            "an accepted change is lost"
        );
        self.history.push(stored);
    }

    fn begin(&mut self, node: usize, with_expected: bool) {
        if self.pending.len() >= MAX_PENDING || self.nodes[node].phase != Phase::Running {
            return;
        }
        self.last_nonce += 1;
        let nonce = self.last_nonce;
        let edit = Edit::Label {
            subject: Subject::Program(id::Program::parse("p").unwrap()),
            name: format!("change{nonce}"),
            value: Some("set".to_owned()),
        };
        let expected = with_expected.then(|| self.nodes[node].held.revision());
        let deadline = self.now().plus(DEADLINE);
        self.pending.push(Pending {
            node,
            nonce,
            change: Change::new(edit, nonce, expected, deadline),
            step: Step::Read,
        });
    }

    fn advance(&mut self, at: usize) {
        if at >= self.pending.len() || self.nodes[self.pending[at].node].phase != Phase::Running {
            return;
        }
        let now = self.now();
        let step = self.pending[at].step.clone();
        let next = match step {
            Step::Read => {
                let read = self.read();
                self.pending[at].change.on_read(read, now)
            }
            Step::Commit(txn) => {
                let commit = self.memory.commit(&txn, Priority::Change);
                let outcome = self.runtime.block_on(commit);
                self.pending[at].change.on_commit(outcome, now)
            }
            Step::Done(_) => unreachable!("a finished change is still pending"),
        };
        if let Step::Done(outcome) = next {
            let pending = self.pending.remove(at);
            self.record();
            self.finish(&pending, outcome);
        } else {
            self.pending[at].step = next;
        }
    }

    fn finish(&mut self, pending: &Pending, outcome: Outcome) {
        match outcome {
            Outcome::Accepted(config) => {
                let at = usize::try_from(config.revision).unwrap() - 1;
                let stored = self
                    .history
                    .get(at)
                    .expect("an accepted revision was never stored");
                assert_eq!(
                    stored.nonce, pending.nonce,
                    "an accepted revision contains another change"
                );
                let config = Arc::new(*config);
                for node in &mut self.nodes {
                    if node.phase == Phase::Running {
                        node.held.offer(&config);
                    }
                }
            }
            Outcome::Unknown { .. } => {}
            Outcome::Conflict { .. } | Outcome::NotSent(_) | Outcome::Bad(_) => {
                self.rejected.push(pending.nonce);
            }
        }
    }

    fn heartbeat(&mut self, from: usize, to: usize) {
        let both = [from, to].map(|at| &self.nodes[at]);
        if from == to || both.iter().any(|n| n.phase != Phase::Running) {
            return;
        }
        // Both offer their document, whatever the other has: a node that resumes may offer an old
        // one.
        let held = both.map(|node| node.held.config().cloned());
        for (at, config) in [(to, &held[0]), (from, &held[1])] {
            if let Some(config) = config {
                self.nodes[at].held.offer(config);
            }
        }
    }

    fn poll(&mut self, node: usize) {
        if self.nodes[node].phase != Phase::Running {
            return;
        }
        if let Ok(Some(entry)) = self.read() {
            let config = Arc::new(config::parse(&entry.value).unwrap());
            self.nodes[node].held.offer(&config);
        }
    }

    fn crash(&mut self, node: usize) {
        self.nodes[node].phase = Phase::Dead;
        self.nodes[node].held = Current::default();
        // The operator gets no answer for changes in progress there, but their writes may still
        // take effect.
        self.pending.retain(|pending| pending.node != node);
    }

    fn restart(&mut self, node: usize) {
        if self.nodes[node].phase != Phase::Dead {
            return;
        }
        let platform = match self.read() {
            Ok(Some(entry)) => Source::Holds(Arc::new(config::parse(&entry.value).unwrap())),
            Ok(None) => Source::Holds(Arc::default()),
            Err(_) => Source::Silent,
        };
        let peers: Vec<Source> = self.nodes.iter().map(source).collect();
        let highest = peers.iter().chain([&platform]).filter_map(|s| match s {
            Source::Holds(config) => Some(config.revision),
            Source::Waiting | Source::Silent => None,
        });
        let highest = highest.max();
        let Boot::Serve(config) = config::boot(&platform, &peers) else {
            assert_eq!(highest, None, "a node waits although a source has answered");
            return;
        };
        assert_eq!(
            Some(config.revision),
            highest,
            "a node serves with a revision lower than the highest it received"
        );
        self.nodes[node].held.offer(&config);
        self.nodes[node].highest_revision = config.revision;
        self.nodes[node].phase = Phase::Running;
    }

    fn check(&mut self) {
        self.record();
        for nonce in &self.rejected {
            let held = self.history.iter().any(|c| c.nonce == *nonce);
            assert!(
                !held,
                "change {nonce} was reported as rejected but is in force"
            );
        }
        for node in self.nodes.iter_mut().filter(|n| n.phase != Phase::Dead) {
            let revision = node.held.revision();
            assert!(
                revision >= node.highest_revision,
                "a node's revision decreased"
            );
            node.highest_revision = revision;
            let Some(config) = node.held.config().filter(|c| c.revision > 0) else {
                continue;
            };
            let at = usize::try_from(config.revision).unwrap() - 1;
            let stored = self.history.get(at);
            assert_eq!(
                stored,
                Some(&**config),
                "a node has a document that was not accepted"
            );
        }
    }

    fn end_faults(&mut self) {
        self.down = false;
        self.memory.set_down(false);
        self.memory.deliver();
        self.check();
        for node in 0..NODES {
            self.restart(node);
            self.nodes[node].phase = Phase::Running;
        }
        while !self.pending.is_empty() {
            self.advance(0);
            self.check();
        }
        self.poll(0);
        for to in 1..NODES {
            self.heartbeat(0, to);
        }
        self.check();
        for node in &self.nodes {
            let last = self.history.len() as u64;
            assert_eq!(
                node.held.revision(),
                last,
                "an accepted change isn't in force"
            );
        }
    }
}

fn source(node: &Node) -> Source {
    match (node.phase, node.held.config()) {
        (Phase::Running, Some(config)) => Source::Holds(Arc::clone(config)),
        _ => Source::Silent,
    }
}

impl StateMachineTest for Fleet {
    type SystemUnderTest = Self;
    type Reference = Scenario;

    fn init_test((): &()) -> Self {
        let time = Arc::new(AtomicU64::new(0));
        let mut fleet = Self {
            runtime: tokio::runtime::Builder::new_current_thread()
                .build()
                .unwrap(),
            time: Arc::clone(&time),
            memory: Memory::new(Clock::Manual(time)),
            down: false,
            nodes: Vec::new(),
            pending: Vec::new(),
            last_nonce: 0,
            history: Vec::new(),
            rejected: Vec::new(),
        };
        for at in 0..NODES {
            fleet.nodes.push(Node {
                phase: Phase::Dead,
                held: Current::default(),
                highest_revision: 0,
            });
            fleet.restart(at);
        }
        fleet
    }

    fn apply(mut fleet: Self, (): &(), action: Operation) -> Self {
        match action {
            Operation::Begin {
                node,
                with_expected,
            } => fleet.begin(node, with_expected),
            Operation::Advance { change } => fleet.advance(change),
            Operation::Lose(play) => fleet.memory.inject(play),
            Operation::Outage(down) => {
                fleet.down = down;
                fleet.memory.set_down(down);
            }
            Operation::Deliver => fleet.memory.deliver(),
            Operation::Wait => {
                fleet.time.fetch_add(DEADLINE.as_u64(), Ordering::SeqCst);
            }
            Operation::Heartbeat { from, to } => fleet.heartbeat(from, to),
            Operation::Poll { node } => fleet.poll(node),
            Operation::Pause { node } if fleet.nodes[node].phase == Phase::Running => {
                fleet.nodes[node].phase = Phase::Paused;
            }
            Operation::Wake { node } if fleet.nodes[node].phase == Phase::Paused => {
                fleet.nodes[node].phase = Phase::Running;
            }
            Operation::Pause { .. } | Operation::Wake { .. } => {}
            Operation::Crash { node } => fleet.crash(node),
            Operation::Restart { node } => fleet.restart(node),
        }
        fleet.check();
        fleet
    }

    fn teardown(mut fleet: Self, (): ()) {
        fleet.end_faults();
    }
}

prop_state_machine! {
    #![proptest_config(runs(CASES, SEED))]

    #[test]
    fn an_accepted_change_holds_and_a_rejected_one_never_does(sequential 1..80 => Fleet);
}
