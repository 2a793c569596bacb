//! Stateful fuzzing of the configuration: racing operators, lost answers, outages, restarts and old
//! nodes that wake up, against the sequence of documents that the platform accepted.

#[path = "support/runs.rs"]
mod runs;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use node::controllers::config;
use node::controllers::config::Boot;
use node::controllers::config::Held;
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
const OPEN: usize = 3;
const SEED: u64 = 5;
const CASES: u32 = 512;
const DEADLINE: Millis = Millis::new(1_000);

#[derive(Clone, Debug)]
enum Move {
    Begin { node: usize, named: bool },
    Advance { change: usize },
    Lose(Injection),
    Outage(bool),
    Deliver,
    Wait,
    Beat { from: usize, to: usize },
    Poll { node: usize },
    Pause { node: usize },
    Wake { node: usize },
    Crash { node: usize },
    Restart { node: usize },
}

#[derive(Clone, Debug)]
struct Script;

impl ReferenceStateMachine for Script {
    type State = ();
    type Transition = Move;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Move> {
        let node = 0..NODES;
        let play = prop_oneof![
            Just(Injection::LoseAnswer),
            Just(Injection::LoseWrite),
            Just(Injection::Delay),
        ];
        prop_oneof![
            4 => (node.clone(), any::<bool>()).prop_map(|(node, named)| Move::Begin { node, named }),
            12 => (0..OPEN).prop_map(|change| Move::Advance { change }),
            2 => play.prop_map(Move::Lose),
            2 => any::<bool>().prop_map(Move::Outage),
            1 => Just(Move::Deliver),
            1 => Just(Move::Wait),
            4 => (node.clone(), node.clone()).prop_map(|(from, to)| Move::Beat { from, to }),
            2 => node.clone().prop_map(|node| Move::Poll { node }),
            1 => node.clone().prop_map(|node| Move::Pause { node }),
            2 => node.clone().prop_map(|node| Move::Wake { node }),
            1 => node.clone().prop_map(|node| Move::Crash { node }),
            2 => node.prop_map(|node| Move::Restart { node }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Move) {}
}

#[derive(Clone, Copy, PartialEq)]
enum Phase {
    Running,
    Paused,
    Dead,
}

struct Node {
    phase: Phase,
    held: Held,
    /// The highest revision that this run of the node had in force.
    reached: u64,
}

struct Open {
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
    open: Vec<Open>,
    nonces: u64,
    /// Every document that the platform ever held, by revision from 1.
    history: Vec<Config>,
    /// Nonces of changes that an operator was told won't happen.
    rejected: Vec<u64>,
}

impl Fleet {
    fn now(&self) -> Millis {
        Millis::new(self.time.load(Ordering::SeqCst))
    }

    fn read(&self) -> platform::edge::Result<Option<Entry>> {
        self.runtime.block_on(self.memory.read(KEY))
    }

    /// Reads the key past any outage, as only the oracle can.
    fn truth(&self) -> Config {
        self.memory.set_down(false);
        let entry = self.read().unwrap();
        self.memory.set_down(self.down);
        entry.map_or_else(Config::default, |e| config::parse(&e.value).unwrap())
    }

    fn record(&mut self) {
        let truth = self.truth();
        let known = self.history.len() as u64;
        if truth.revision == known {
            let last = self.history.last().cloned().unwrap_or_default();
            assert_eq!(truth, last, "a document changed without a new revision");
            return;
        }
        assert_eq!(truth.revision, known + 1, "a revision was left out");
        let labels = |c: &Config| c.programs.first().map_or(0, |p| p.labels.iter().count());
        assert_eq!(
            labels(&truth) as u64,
            truth.revision,
            "an accepted change is lost"
        );
        self.history.push(truth);
    }

    fn begin(&mut self, node: usize, named: bool) {
        if self.open.len() >= OPEN || self.nodes[node].phase != Phase::Running {
            return;
        }
        self.nonces += 1;
        let nonce = self.nonces;
        let edit = Edit::Label {
            subject: Subject::Program(id::Program::parse("p").unwrap()),
            name: format!("change{nonce}"),
            value: Some("set".to_owned()),
        };
        let expected = named.then(|| self.nodes[node].held.revision());
        let deadline = self.now().plus(DEADLINE);
        self.open.push(Open {
            node,
            nonce,
            change: Change::new(edit, nonce, expected, deadline),
            step: Step::Read,
        });
    }

    fn advance(&mut self, at: usize) {
        if at >= self.open.len() || self.nodes[self.open[at].node].phase != Phase::Running {
            return;
        }
        let now = self.now();
        let step = self.open[at].step.clone();
        let next = match step {
            Step::Read => {
                let read = self.read();
                self.open[at].change.on_read(read, now)
            }
            Step::Commit(txn) => {
                let commit = self.memory.commit(&txn, Priority::Change);
                let outcome = self.runtime.block_on(commit);
                self.open[at].change.on_commit(outcome, now)
            }
            Step::Done(_) => unreachable!("a change that is over was kept"),
        };
        if let Step::Done(outcome) = next {
            let open = self.open.remove(at);
            self.record();
            self.finish(&open, outcome);
        } else {
            self.open[at].step = next;
        }
    }

    fn finish(&mut self, open: &Open, outcome: Outcome) {
        match outcome {
            Outcome::Accepted(config) => {
                let at = usize::try_from(config.revision).unwrap() - 1;
                let truth = self.history.get(at).expect("accepted, but never held");
                assert_eq!(truth.nonce, open.nonce, "accepted, but another's revision");
                let config = Arc::new(*config);
                for node in &mut self.nodes {
                    if node.phase == Phase::Running {
                        node.held.offer(&config);
                    }
                }
            }
            Outcome::Unknown { .. } => {}
            Outcome::Conflict { .. } | Outcome::NotSent(_) | Outcome::Bad(_) => {
                self.rejected.push(open.nonce);
            }
        }
    }

    fn beat(&mut self, from: usize, to: usize) {
        let both = [from, to].map(|at| &self.nodes[at]);
        if from == to || both.iter().any(|n| n.phase != Phase::Running) {
            return;
        }
        // Both offer what they hold, whatever the other says: an old node may do so on waking.
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
        self.nodes[node].held = Held::default();
        // The operator hears nothing of changes under way there; their writes may still land.
        self.open.retain(|open| open.node != node);
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
            "a node serves with less than it heard"
        );
        self.nodes[node].held.offer(&config);
        self.nodes[node].reached = config.revision;
        self.nodes[node].phase = Phase::Running;
    }

    fn check(&mut self) {
        self.record();
        for nonce in &self.rejected {
            let held = self.history.iter().any(|c| c.nonce == *nonce);
            assert!(!held, "change {nonce} was told as rejected and is in force");
        }
        for node in self.nodes.iter_mut().filter(|n| n.phase != Phase::Dead) {
            let revision = node.held.revision();
            assert!(revision >= node.reached, "a node went back");
            node.reached = revision;
            let Some(config) = node.held.config().filter(|c| c.revision > 0) else {
                continue;
            };
            let at = usize::try_from(config.revision).unwrap() - 1;
            let truth = self.history.get(at);
            assert_eq!(truth, Some(&**config), "a node holds what wasn't accepted");
        }
    }

    fn calm(&mut self) {
        self.down = false;
        self.memory.set_down(false);
        self.memory.deliver();
        self.check();
        for node in 0..NODES {
            self.restart(node);
            self.nodes[node].phase = Phase::Running;
        }
        while !self.open.is_empty() {
            self.advance(0);
            self.check();
        }
        self.poll(0);
        for to in 1..NODES {
            self.beat(0, to);
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
    type Reference = Script;

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
            open: Vec::new(),
            nonces: 0,
            history: Vec::new(),
            rejected: Vec::new(),
        };
        for at in 0..NODES {
            fleet.nodes.push(Node {
                phase: Phase::Dead,
                held: Held::default(),
                reached: 0,
            });
            fleet.restart(at);
        }
        fleet
    }

    fn apply(mut fleet: Self, (): &(), action: Move) -> Self {
        match action {
            Move::Begin { node, named } => fleet.begin(node, named),
            Move::Advance { change } => fleet.advance(change),
            Move::Lose(play) => fleet.memory.inject(play),
            Move::Outage(down) => {
                fleet.down = down;
                fleet.memory.set_down(down);
            }
            Move::Deliver => fleet.memory.deliver(),
            Move::Wait => {
                fleet.time.fetch_add(DEADLINE.as_u64(), Ordering::SeqCst);
            }
            Move::Beat { from, to } => fleet.beat(from, to),
            Move::Poll { node } => fleet.poll(node),
            Move::Pause { node } if fleet.nodes[node].phase == Phase::Running => {
                fleet.nodes[node].phase = Phase::Paused;
            }
            Move::Wake { node } if fleet.nodes[node].phase == Phase::Paused => {
                fleet.nodes[node].phase = Phase::Running;
            }
            Move::Pause { .. } | Move::Wake { .. } => {}
            Move::Crash { node } => fleet.crash(node),
            Move::Restart { node } => fleet.restart(node),
        }
        fleet.check();
        fleet
    }

    fn teardown(mut fleet: Self, (): ()) {
        fleet.calm();
    }
}

prop_state_machine! {
    #![proptest_config(runs(CASES, SEED))]

    #[test]
    fn an_accepted_change_holds_and_a_rejected_one_never_does(sequential 1..80 => Fleet);
}
