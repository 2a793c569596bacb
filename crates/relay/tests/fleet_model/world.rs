//! The fleet, what is done to it, and how long it takes to agree.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use adapter::kv::Freshness;
use fakes::store;
use relay::subject::Subject;
use wire::clock::Clock;

use super::count::Count;
use super::network::Cut;
use super::network::End;
use super::network::Network;
use super::queue::Event;
use super::queue::Queue;
use super::queue::Step;
use super::store::Store;
use super::view::Return;
use super::view::View;
use super::vm::Vm;

/// When the model's time begins: long after the epoch, as on machines.
pub const BEGIN: u64 = 1_000_000_000;
/// How long a start of many VMs takes.
const STARTS: usize = 200;
/// How often it is looked whether all agree.
const LOOK: u64 = 10;
/// The service of all runners.
const SERVICE: &str = "models";
/// Of a thousand messages, so many are lost.
const LOST: u32 = 2;

/// How large a fleet is.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// VMs.
    pub vms: usize,
    /// Runners.
    pub runners: usize,
    /// Data centres.
    pub centres: usize,
    /// Requests that each VM has under way.
    pub under_way: usize,
    /// What all is drawn from.
    pub seed: u64,
}

/// The fleet.
#[derive(Debug)]
pub struct World {
    /// Its size at the start.
    pub size: Size,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The key-value service.
    pub store: Store,
    /// The ways.
    pub network: Network,
    /// Runners that left and were put back.
    pub returns: Vec<Return>,
    pub(super) queue: Queue,
    pub(super) watches: Vec<Watch>,
    pub(super) watched: u64,
    /// When each VM's lease lapses; 0 where it has none.
    pub(super) leases: Vec<u64>,
    pub(super) left: BTreeSet<String>,
    time: Arc<AtomicU64>,
    version: u64,
    entered: usize,
}

/// A watch that waits at the service.
#[derive(Clone, Copy, Debug)]
pub struct Watch {
    pub(super) number: u64,
    pub(super) vm: usize,
    pub(super) life: u64,
    pub(super) follower: usize,
    pub(super) after: u64,
    pub(super) until: u64,
}

impl World {
    /// Makes a fleet whose VMs all start now, with a configuration and all runners.
    pub fn new(size: Size) -> Self {
        let mut world = Self {
            vms: Vec::new(),
            store: Store::default(),
            network: Network::new(size.seed, LOST),
            returns: Vec::new(),
            queue: Queue::default(),
            watches: Vec::new(),
            watched: 0,
            leases: Vec::new(),
            left: BTreeSet::new(),
            time: Arc::new(AtomicU64::new(BEGIN)),
            version: 0,
            entered: 0,
            size,
        };
        world.configure();
        for _ in 0..size.runners {
            world.enter_runner();
        }
        world.store.renew_copy();
        world.queue.put(BEGIN + 1_000, Event::Second);
        world.queue.put(BEGIN + 1_000, Event::Copy);
        world.add(size.vms);
        world
    }

    /// Yields the time.
    pub fn now(&self) -> u64 {
        self.time.load(Ordering::SeqCst)
    }

    /// Yields the time since the start.
    pub fn since_start(&self) -> u64 {
        self.now() - BEGIN
    }

    pub(super) fn set_now(&self, now: u64) {
        self.time.store(now, Ordering::SeqCst);
    }

    /// Adds VMs, which start within [`STARTS`] milliseconds.
    pub fn add(&mut self, count: usize) {
        let first = self.vms.len();
        for at in first..first + count {
            self.vms.push(Vm::new(at, self.size.centres));
            self.leases.push(0);
            self.start(at);
        }
    }

    /// Starts a VM's process.
    pub fn start(&mut self, vm: usize) {
        let after = self.network.below(STARTS) as u64;
        self.vms[vm].start(Clock::Manual(self.time.clone()));
        for follower in 0..3 {
            self.later(vm, after, Step::Follow(follower));
        }
        for step in [Step::Exchange, Step::Register, Step::Sweep, Step::Load] {
            self.later(vm, after, step);
        }
    }

    /// Kills a VM's process; its entry stays until its lease lapses.
    pub fn kill(&mut self, vm: usize) {
        self.vms[vm].kill();
    }

    /// Puts a step of a VM's present process into the queue.
    pub(super) fn later(&mut self, vm: usize, after: u64, step: Step) {
        let life = self.vms[vm].life;
        let event = Event::Process { vm, life, step };
        self.queue.put(self.now() + after, event);
    }

    /// Writes the next version of the configuration.
    pub fn configure(&mut self) {
        self.version += 1;
        let document = store::configuration(self.version, "");
        self.put(Subject::Config.prefix(), document.as_bytes());
    }

    /// Has a runner come; yields its id.
    pub fn enter_runner(&mut self) -> String {
        let id = format!("r-{:04}", self.entered);
        self.write_runner(&id, self.entered, "ready");
        self.entered += 1;
        id
    }

    /// Has a runner tell that it leaves.
    pub fn leave_runner(&mut self, number: usize) -> String {
        let id = format!("r-{number:04}");
        self.write_runner(&id, number, "draining");
        self.left.insert(id.clone());
        id
    }

    /// Removes the entry of a runner that left.
    pub fn remove_runner(&mut self, id: &str) {
        self.left.insert(id.to_owned());
        let key = format!("{}{id}", Subject::Runners.prefix());
        self.store.remove(&key);
        self.notify();
    }

    fn write_runner(&mut self, id: &str, number: usize, state: &str) {
        let centre = format!("dc-{}", number % self.size.centres);
        let port = 2_000 + u16::try_from(number).expect("some thousand runners");
        let address = ([10, 8, 0, 1], port).into();
        let entry = store::entry(SERVICE, address, &centre, state);
        let key = format!("{}{id}", Subject::Runners.prefix());
        self.put(&key, entry.as_bytes());
    }

    pub(super) fn put(&mut self, key: &str, value: &[u8]) {
        self.store.put(key, value);
        self.notify();
    }

    /// Cuts the ways between two groups, both ways.
    pub fn cut_apart(&mut self, a: &[End], b: &[End]) {
        self.cut_off(a, b);
        self.cut_off(b, a);
    }

    /// Cuts the ways from one group to another.
    pub fn cut_off(&mut self, from: &[End], to: &[End]) {
        self.network.cut(Cut {
            from: from.to_vec(),
            to: to.to_vec(),
        });
    }

    /// Plays for so many milliseconds.
    pub fn run(&mut self, span: u64) {
        let end = self.now() + span;
        while let Some((at, event)) = self.queue.take(end) {
            self.set_now(at);
            self.play(event);
        }
        self.set_now(end);
    }

    /// Plays until `holds`, for `most` milliseconds; yields how long it took.
    pub fn run_until(&mut self, most: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let begin = self.now();
        while self.now() - begin <= most {
            if holds(self) {
                return Some(self.now() - begin);
            }
            self.run(LOOK);
        }
        None
    }

    /// Yields the numbers of the VMs with a process.
    pub fn living(&self) -> impl Iterator<Item = usize> {
        let vms = self.vms.iter().enumerate();
        vms.filter(|(_, vm)| vm.process.is_some()).map(|(at, _)| at)
    }

    /// Tells whether all living VMs have the last configuration in force.
    pub fn agree_on_config(&self) -> bool {
        let processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        let mut versions = processes.map(|process| process.node.table().version);
        versions.all(|version| version == self.version)
    }

    /// Tells whether all living VMs give a runner requests.
    pub fn agree_to_use(&self, runner: &str) -> bool {
        let mut processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        processes.all(|process| process.uses(runner))
    }

    /// Tells whether no living VM gives a runner requests.
    pub fn agree_to_drop(&self, runner: &str) -> bool {
        let mut processes = self.vms.iter().filter_map(|vm| vm.process.as_ref());
        !processes.any(|process| process.uses(runner))
    }

    /// Names the living VMs that see other runners than the service has, or another configuration.
    pub fn disagreeing(&self) -> Vec<String> {
        let view = View::of_store(self);
        let other = |vm: &&Vm| {
            let process = vm.process.as_ref();
            process.is_some_and(|process| View::of(process) != view)
        };
        let vms = self.vms.iter().filter(other);
        vms.map(|vm| vm.name.clone()).collect()
    }

    /// Names the living VMs that know of fewer requests at a runner.
    pub fn counting_less(&self, runner: &str, requests: u32) -> Vec<String> {
        let less = |vm: &&Vm| {
            let process = vm.process.as_ref();
            process.is_some_and(|process| process.counted(runner) < requests)
        };
        self.vms
            .iter()
            .filter(less)
            .map(|vm| vm.name.clone())
            .collect()
    }

    /// Names the living VMs that know of so many requests at a runner.
    pub fn counting(&self, runner: &str, requests: u32) -> Vec<String> {
        let less = self.counting_less(runner, requests);
        let counts = |vm: &&Vm| vm.process.is_some() && !less.contains(&vm.name);
        self.vms
            .iter()
            .filter(counts)
            .map(|vm| vm.name.clone())
            .collect()
    }

    /// Has a VM begin, or end where `requests` is 0, so many requests at a runner.
    pub fn set_requests(&self, vm: usize, runner: &str, requests: u32) {
        let process = self.vms[vm].process.as_ref();
        let node = &process.expect("the VM runs").node;
        let mut fleet = node.fleet();
        fleet
            .runner(runner)
            .expect("the VM knows the runner")
            .own_requests = requests;
    }

    /// Forgets what was counted.
    pub fn clear_counts(&mut self) {
        for vm in &mut self.vms {
            vm.count = Count::default();
        }
    }

    /// Counts the entries of VMs that the service has.
    pub fn listed_vms(&self) -> usize {
        let prefix = relay::subject::vm_prefix();
        self.store.list(&prefix, Freshness::Latest).entries.len()
    }
}
