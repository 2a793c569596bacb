//! Plays lists that are read page by page, watches, messages between VMs and restarts in random order against a simple oracle:
//! what a VM knows of the runners at a revision has to be what the key-value service held then.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use adapter::kv::Listing;
use adapter::kv::pages::Pages;
use adapter::runner::State;
use adapter::settings;
use oracle::Oracle;
use platform::edge::Change;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use relay::exchange;
use relay::exchange::incoming;
use relay::exchange::outgoing;
use relay::exchange::outgoing::Message;
use relay::ingest;
use relay::node::Node;
use relay::peers::Recipient;
use relay::peers::Status;
use relay::subject::Subject;
use rstest::rstest;
use wire::clock::Clock;

#[path = "entries/oracle.rs"]
mod oracle;

const VMS: usize = 4;
const FIRST_RUNNERS: u64 = 8;
const STEPS: usize = 400;
/// The simulated time in milliseconds, which stands still: no entry lapses.
const NOW_MS: u64 = 1_000_000;

/// A list that is being read.
enum Reading {
    /// Further pages follow.
    Pages(Pages),
    /// All pages are read.
    AllPages(Pages),
    /// Also the changes between the pages are.
    Whole(Listing),
}

/// A VM, and what is on its way to it.
struct Vm {
    node: Arc<Node>,
    list: Option<Reading>,
    /// The revision after which it watches.
    watches_after: Option<u64>,
    watch: Option<(Vec<Change>, u64)>,
    /// What it last heard of each VM's state.
    statuses: [Status; VMS],
    /// The answers to its exchanges.
    answers: Vec<(usize, Message)>,
}

impl Vm {
    fn new(number: usize) -> Self {
        let mut settings = settings::parse(&fakes::settings::alone()).expect("they are valid");
        settings.vm = name(number);
        let clock = Clock::Manual(Arc::new(AtomicU64::new(NOW_MS)));
        Self {
            node: Node::new(settings, clock),
            list: None,
            watches_after: None,
            watch: None,
            statuses: [Status::default(); VMS],
            answers: Vec::new(),
        }
    }

    /// Returns the runners that it uses, sorted by id.
    fn used(&self) -> Vec<String> {
        let fleet = self.node.fleet();
        let runners = fleet.runners().iter();
        let ready = runners.filter(|runner| runner.entry.state == State::Ready);
        ready.map(|runner| runner.id.clone()).collect()
    }
}

fn name(vm: usize) -> String {
    format!("vm-{vm}")
}

struct World {
    oracle: Oracle,
    vms: Vec<Vm>,
    draws: ChaCha8Rng,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut oracle = Oracle::default();
        for _ in 0..FIRST_RUNNERS {
            oracle.add();
        }
        Self {
            oracle,
            vms: (0..VMS).map(Vm::new).collect(),
            draws: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    fn below(&mut self, bound: usize) -> usize {
        self.draws.random_range(0..bound)
    }

    /// Takes a random step and returns what it was.
    fn step(&mut self) -> String {
        let vm = self.below(VMS);
        let other = (vm + 1 + self.below(VMS - 1)) % VMS;
        match self.below(28) {
            0 => format!("add {}", self.oracle.add()),
            1 => {
                let number = self.below(usize::MAX);
                format!("drain {:?}", self.oracle.drain(number))
            }
            2 => {
                let number = self.below(usize::MAX);
                format!("remove {:?}", self.oracle.remove(number))
            }
            3 => {
                self.oracle.write_other_key();
                "other key".to_owned()
            }
            4 => {
                self.vms[vm] = Vm::new(vm);
                format!("restart {vm}")
            }
            5 => {
                self.vms[vm].list = Some(Reading::Pages(Pages::default()));
                self.read_list(vm)
            }
            6..=8 | 19..=22 => self.read_list(vm),
            9..=10 => {
                let after = self.vms[vm].watches_after;
                self.vms[vm].watch = after.map(|after| self.oracle.changes(after));
                format!("watch for {vm}")
            }
            11..=13 => self.take_watch(vm),
            14..=18 => self.ask(vm, other),
            _ => self.take_answer(vm),
        }
    }

    /// A VM reads the next page of its list, then the changes between the pages, and then takes the list.
    fn read_list(&mut self, vm: usize) -> String {
        let vm_state = &mut self.vms[vm];
        match vm_state.list.take() {
            None => "nothing".to_owned(),
            Some(Reading::Pages(mut pages)) => {
                let is_last = self.oracle.read_page(&mut pages);
                let reading = if is_last {
                    Reading::AllPages(pages)
                } else {
                    Reading::Pages(pages)
                };
                vm_state.list = Some(reading);
                format!("page for {vm}")
            }
            Some(Reading::AllPages(mut pages)) => {
                if let Some(after) = pages.incomplete_after() {
                    let (changes, revision) = self.oracle.changes(after);
                    pages.add_changes(changes, revision);
                }
                vm_state.list = Some(Reading::Whole(pages.into_listing()));
                format!("changes between pages for {vm}")
            }
            Some(Reading::Whole(list)) => {
                vm_state.watches_after = Some(list.revision);
                vm_state.watch = None;
                ingest::listing(&vm_state.node, Subject::Runners, list);
                format!("{vm} takes its list")
            }
        }
    }

    /// A VM takes a list that it reads in one piece.
    fn take_list(&mut self, vm: usize) {
        self.vms[vm].list = Some(Reading::Whole(self.oracle.list()));
        self.read_list(vm);
    }

    fn take_watch(&mut self, vm: usize) -> String {
        let vm_state = &mut self.vms[vm];
        if let Some((changes, revision)) = vm_state.watch.take() {
            vm_state.watches_after = Some(revision);
            ingest::changes(&vm_state.node, Subject::Runners, changes);
        }
        format!("{vm} takes its watch")
    }

    /// A VM starts an exchange; the answer to it is on its way.
    fn ask(&mut self, vm: usize, other: usize) -> String {
        let stamp = Some(self.vms[other].node.stamp());
        let recipient = Recipient {
            stamp,
            cursor: None,
        };
        let theirs = self.vms[vm].statuses[other];
        let message = outgoing::message(&self.vms[vm].node, &name(other), &theirs, recipient);
        self.vms[other].statuses[vm] = message.status;
        let answer = exchange::respond(&self.vms[other].node, message);
        self.vms[vm].answers.push((other, answer));
        format!("{vm} asks {other}")
    }

    /// A VM takes any of the answers on their way, or a message is lost.
    fn take_answer(&mut self, vm: usize) -> String {
        let waiting = self.vms[vm].answers.len();
        if waiting == 0 {
            return "nothing".to_owned();
        }
        let number = self.below(waiting);
        let vm_state = &mut self.vms[vm];
        let (other, answer) = vm_state.answers.swap_remove(number);
        vm_state.statuses[other] = answer.status;
        incoming::apply(&vm_state.node, answer);
        format!("{vm} takes the answer of {other}")
    }

    /// Fails unless each VM knows of the runners what the service held at the VM's revision.
    fn check(&self, steps: &[String]) {
        for (number, vm) in self.vms.iter().enumerate() {
            let revision = vm.node.roster().revision;
            let expected = self.oracle.ready_at(revision);
            let last = &steps[steps.len().saturating_sub(20)..];
            assert_eq!(
                vm.used(),
                expected,
                "{}, VM {number} at revision {revision} after {last:#?}",
                steps[0]
            );
        }
    }

    /// Lets one VM list the entries and all exchange until nothing is on its way.
    fn settle(&mut self) {
        self.take_list(0);
        for round in 0..4 {
            for vm in 0..VMS {
                let other = (vm + 1 + round % (VMS - 1)) % VMS;
                self.ask(vm, other);
                while !self.vms[vm].answers.is_empty() {
                    self.take_answer(vm);
                }
            }
        }
    }
}

/// A VM that starts after a runner's entry was removed has never seen it. If what it tells counted as
/// all that changed, the others would use the runner for as long as it answers.
#[rstest]
#[case::by_the_last_change(false)]
#[case::before_another_change(true)]
fn a_runner_removed_before_a_vm_starts_is_dropped_by_those_that_it_tells(#[case] later: bool) {
    let mut world = World::new(1);
    for vm in 0..3 {
        world.take_list(vm);
    }
    world.ask(2, 0);
    world.take_answer(2);
    world.oracle.remove(0);
    if later {
        world.oracle.drain(1);
    }
    world.vms[0] = Vm::new(0);
    world.take_list(0);
    world.ask(2, 0);
    world.take_answer(2);
    world.check(&[]);
}

/// A VM vouches for a revision that it knows only in part, or an older list or message undoes a newer
/// one. A leaving runner would get requests for as long as it answers.
#[rstest]
fn a_vm_knows_what_the_service_held_at_its_revision(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 50..(block + 1) * 50 {
        let mut world = World::new(seed);
        let mut steps = vec![format!("seed {seed}")];
        for _ in 0..STEPS {
            steps.push(world.step());
            world.check(&steps);
        }
        world.settle();
        world.check(&steps);
        assert_eq!(world.vms[0].used(), world.oracle.ready_at(u64::MAX));
    }
}
