//! The simulated VMs, the platform that they share, and the steps.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use journal::claim;
use journal::copy;
use journal::copy::Batch;
use journal::copy::Collected;
use journal::copy::Holder;
use journal::copy::Peers;
use journal::copy::Store;
use journal::log::Log;
use journal::log::Setup;
use journal::log::Status;
use platform::edge;
use platform::edge::Machine;
use platform::edge::Platform;
use platform::edge::Standing;
use platform::memory::Memory;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::id;

use super::Step;
use super::VMS;
use super::oracle::Oracle;
use super::owner::Owner;

/// The duration of leases.
const LEASE_DURATION: Millis = Millis::new(5_000);
/// The number of scheduler yields after which every task that doesn't wait for time has run.
const SCHEDULER_YIELDS: usize = 30;
/// How many bytes of copies a VM holds for other VMs.
const COPY_LIMIT_BYTES: usize = 4_096;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Run,
    Paused,
    Dead,
}

/// The part of a VM that other VMs can reach.
struct SharedVm {
    mode: watch::Receiver<Mode>,
    store: Store,
    /// The logs that the VM has or had, with their epochs.
    logs: Vec<(u64, Log)>,
}

type SharedVms = Arc<Mutex<Vec<SharedVm>>>;

pub struct Vm {
    pub mode: watch::Sender<Mode>,
    cut_off: Arc<AtomicBool>,
    pub owner: Option<Owner>,
    claiming: Option<JoinHandle<claim::Result<claim::Opened>>>,
}

impl Vm {
    fn is_owner(&self) -> bool {
        self.owner.as_ref().is_some_and(Owner::is_open)
    }
}

pub struct World {
    pub memory: Memory,
    time: Arc<AtomicU64>,
    shared_vms: SharedVms,
    pub vms: Vec<Vm>,
    pub oracle: Oracle,
    /// The last number handed out for attempts, seeds and incarnations.
    last_number: u64,
    /// Deaths since the last time that everything callers were told was in the journal.
    deaths: u32,
    /// The highest epoch that any VM has opened.
    last_epoch: u64,
}

impl World {
    pub fn new() -> Self {
        let time = Arc::new(AtomicU64::new(1));
        let mut world = Self {
            memory: Memory::new(Clock::Manual(Arc::clone(&time))),
            time,
            shared_vms: Arc::default(),
            vms: Vec::new(),
            oracle: Oracle::default(),
            last_number: 0,
            deaths: 0,
            last_epoch: 0,
        };
        for _ in 0..VMS {
            let (vm, shared) = world.start();
            world.vms.push(vm);
            world.shared_vms.lock().unwrap().push(shared);
        }
        world.update_machines();
        world
    }

    pub fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    pub fn now(&self) -> Millis {
        Millis::new(self.time.load(Ordering::SeqCst))
    }

    pub fn is_running(&self, vm: usize) -> bool {
        *self.vms[vm].mode.borrow() == Mode::Run
    }

    fn start(&mut self) -> (Vm, SharedVm) {
        let (sender, mode) = watch::channel(Mode::Run);
        let vm = Vm {
            mode: sender,
            cut_off: Arc::default(),
            owner: None,
            claiming: None,
        };
        let shared = SharedVm {
            mode,
            store: Store::new(self.next_number(), COPY_LIMIT_BYTES),
            logs: Vec::new(),
        };
        (vm, shared)
    }

    /// Picks a VM that believes it owns the shard, if there is one.
    fn owner_vm(&self, pick: usize) -> usize {
        let owners = (0..VMS).filter(|vm| self.is_running(*vm) && self.vms[*vm].is_owner());
        let owners: Vec<usize> = owners.collect();
        owners
            .get(pick % owners.len().max(1))
            .copied()
            .unwrap_or(pick)
    }

    pub async fn step(&mut self, step: Step) {
        match step {
            Step::Claim(vm) => self.claim(vm),
            Step::Turn(vm, program, content) => self.new_turn(self.owner_vm(vm), program, content),
            Step::ReplayTurn(pick, program) => self.replay_turn(self.owner_vm(pick), program),
            Step::AnswerTurn(pick, used) => self.answer_turn(pick, used),
            Step::FailTurn(pick, after) => self.fail_turn(pick, after),
            Step::Call(vm, key, content) => self.new_call(self.owner_vm(vm), key, content),
            Step::ResolveCall(pick, outcome) => self.resolve_call(pick, outcome),
            Step::Snapshot(pick) => self.snapshot(self.owner_vm(pick)),
            Step::ChangeHolders(pick) => self.change_holders(self.owner_vm(pick)),
            Step::InjectFault(fault) => self.memory.inject(fault),
            Step::DeliverWrites => self.memory.deliver(),
            Step::SetDown(down) => self.memory.set_down(down),
            Step::SetCutOff(vm, cut_off) => self.vms[vm].cut_off.store(cut_off, Ordering::SeqCst),
            Step::ExpireLeases => {
                self.time
                    .fetch_add(LEASE_DURATION.as_u64() + 1, Ordering::SeqCst);
            }
            Step::Pause(vm, paused) => self.pause(vm, paused),
            Step::Kill(vm) => self.kill(vm),
            Step::Restart(vm) => self.restart(vm),
            Step::UpdateMachines => self.update_machines(),
            Step::Wait(millis) => {
                tokio::time::sleep(Millis::new(millis).as_duration()).await;
            }
        }
    }

    /// Lets tasks run, then lets owners act on the appends that became durable.
    pub async fn run_until_idle(&mut self) {
        for _ in 0..3 {
            for _ in 0..SCHEDULER_YIELDS {
                tokio::task::yield_now().await;
            }
            for vm in 0..VMS {
                self.finish_claim(vm).await;
                self.act(vm);
            }
        }
        // A node drops a shard that it has lost.
        for shared in self.shared_vms.lock().unwrap().iter_mut() {
            shared.logs.retain(|(_, log)| log.status() != Status::Lost);
        }
        if !self.is_exposed() {
            self.deaths = 0;
        }
    }

    /// Repairs all faults, and checks the state that a new owner reads against what callers were
    /// told.
    pub async fn check_final_state(&mut self) {
        self.memory.set_down(false);
        self.memory.deliver();
        for vm in 0..VMS {
            self.vms[vm].cut_off.store(false, Ordering::SeqCst);
            self.pause(vm, false);
            self.restart(vm);
        }
        self.update_machines();
        self.let_time_pass().await;
        let epoch = self.take_over(0).await;
        self.let_time_pass().await;
        self.memory.deliver();
        self.let_time_pass().await;
        self.oracle.check();
        let owner = self.vms[0].owner.as_ref().unwrap();
        assert_eq!(
            owner.epoch, epoch,
            "the owner lost the shard although nobody claimed it"
        );
        self.oracle.check_rebuilt(&owner.state);
        self.take_over(1).await;
    }

    async fn let_time_pass(&mut self) {
        for _ in 0..10 {
            tokio::time::sleep(Millis::new(1_000).as_duration()).await;
            self.run_until_idle().await;
        }
    }

    /// Makes a VM take over, which must succeed once all faults are repaired.
    async fn take_over(&mut self, vm: usize) -> u64 {
        for _ in 0..20 {
            self.time
                .fetch_add(LEASE_DURATION.as_u64() + 1, Ordering::SeqCst);
            let owner = self.vms[vm].owner.as_ref().filter(|owner| owner.is_open());
            let epoch = owner.map(|owner| owner.epoch);
            if let Some(epoch) = epoch.filter(|epoch| *epoch == self.last_epoch) {
                return epoch;
            }
            self.claim(vm);
            for _ in 0..5 {
                tokio::time::sleep(Millis::new(1_000).as_duration()).await;
                self.run_until_idle().await;
            }
        }
        panic!("no takeover although all faults are repaired");
    }

    pub fn setup(&mut self, vm: usize) -> Setup {
        let platform = VmPlatform {
            memory: self.memory.clone(),
            mode: self.vms[vm].mode.subscribe(),
            cut_off: Arc::clone(&self.vms[vm].cut_off),
        };
        let peers = VmPeers {
            vm,
            mode: self.vms[vm].mode.subscribe(),
            shared_vms: Arc::clone(&self.shared_vms),
        };
        Setup {
            platform: Arc::new(platform),
            peers: Arc::new(peers),
            vm: name(vm),
            shard: shard(),
            seed: self.next_number(),
            copy_holders: self.holders(vm),
            acks: 1,
        }
    }

    /// Returns the current holders of a VM's copies.
    pub fn holders(&self, vm: usize) -> Vec<Holder> {
        let shared_vms = self.shared_vms.lock().unwrap();
        let others = (0..VMS).filter(|other| *other != vm);
        let holder = |other: usize| Holder {
            vm: name(other),
            incarnation: shared_vms[other].store.incarnation(),
        };
        others.map(holder).collect()
    }

    fn claim(&mut self, vm: usize) {
        if !self.is_running(vm) || self.vms[vm].claiming.is_some() {
            return;
        }
        let setup = self.setup(vm);
        let claim = async move {
            let lease = setup.platform.grant(LEASE_DURATION).await?;
            claim::open(setup, lease).await
        };
        self.vms[vm].claiming = Some(tokio::spawn(claim));
    }

    async fn finish_claim(&mut self, vm: usize) {
        let done = |claim: &mut JoinHandle<_>| claim.is_finished();
        let Some(claim) = self.vms[vm].claiming.take_if(done) else {
            return;
        };
        let opened = match claim.await.unwrap() {
            Ok(opened) => opened,
            Err(claim::Fault::Damaged(why)) if !why.contains("missing") => panic!("{why}"),
            Err(fault) => {
                if std::env::var_os("FUZZ_TRACE").is_some() {
                    eprintln!("claim of {vm}: {fault}");
                }
                return;
            }
        };
        self.compare_states(&opened);
        self.last_epoch = self.last_epoch.max(opened.epoch);
        let log = (opened.epoch, opened.log.clone());
        self.shared_vms.lock().unwrap()[vm].logs.push(log);
        self.vms[vm].owner = Some(Owner::new(opened));
    }

    /// Compares a rebuilt state with the state of the previous owner, if that owner has no pending
    /// appends.
    fn compare_states(&self, opened: &claim::Opened) {
        let owners = self.vms.iter().filter_map(|vm| vm.owner.as_ref());
        for owner in owners {
            let next = owner.epoch + 1 == opened.epoch;
            if next && owner.has_no_pending_appends() && owner.log.status() == Status::Open {
                let copies = opened.state.copy_holders().to_vec();
                let mut live = owner.state.clone();
                live.apply(&journal::record::Record::Opened {
                    vm: opened.state.owner().unwrap().clone(),
                    epoch: opened.epoch,
                    copies,
                });
                assert_eq!(
                    live, opened.state,
                    "the rebuilt state differs from the live one"
                );
            }
        }
    }

    fn snapshot(&mut self, vm: usize) {
        if let Some(owner) = self.vms[vm].owner.as_ref().filter(|_| self.is_running(vm)) {
            owner
                .log
                .snapshot(journal::snapshot::Image::of(&owner.state));
        }
    }

    fn pause(&mut self, vm: usize, paused: bool) {
        let to = if paused { Mode::Paused } else { Mode::Run };
        if *self.vms[vm].mode.borrow() != Mode::Dead {
            self.vms[vm].mode.send_replace(to);
        }
    }

    /// Returns whether something that a caller was told exists only in copies.
    fn is_exposed(&self) -> bool {
        let owners = self.vms.iter().filter_map(|vm| vm.owner.as_ref());
        let mut exposed = owners.filter(|owner| owner.is_exposed());
        exposed.any(|owner| owner.epoch == self.last_epoch)
    }

    fn kill(&mut self, vm: usize) {
        let dead = *self.vms[vm].mode.borrow() == Mode::Dead;
        if dead || (self.is_exposed() && self.deaths > 0) {
            return;
        }
        self.deaths += 1;
        self.vms[vm].mode.send_replace(Mode::Dead);
        // What this owner told callers remains exposed until another VM opens the shard.
        if let Some(owner) = &mut self.vms[vm].owner {
            owner.die();
        }
        self.vms[vm].claiming = None;
    }

    fn restart(&mut self, vm: usize) {
        if *self.vms[vm].mode.borrow() != Mode::Dead {
            return;
        }
        let (mut fresh, shared) = self.start();
        fresh.owner = self.vms[vm].owner.take().filter(Owner::is_exposed);
        self.vms[vm] = fresh;
        self.shared_vms.lock().unwrap()[vm] = shared;
    }

    fn update_machines(&mut self) {
        let live = (0..VMS).filter(|vm| *self.vms[*vm].mode.borrow() != Mode::Dead);
        let machine = |vm| Machine {
            name: name(vm).to_string(),
            centre: shard().centre,
            standing: Standing::Live,
        };
        self.memory.set_machines(live.map(machine).collect());
    }
}

fn name(vm: usize) -> id::Vm {
    id::Vm::parse(&format!("vm-{vm}")).unwrap()
}

pub fn shard() -> id::Shard {
    id::Shard {
        centre: id::Centre::parse("c").unwrap(),
        index: 0,
    }
}

/// Waits while a VM is paused, and for ever once it is dead.
async fn wait_while_paused(mode: &watch::Receiver<Mode>) {
    tokio::task::yield_now().await;
    let mut mode = mode.clone();
    let running = mode.wait_for(|mode| *mode != Mode::Paused).await;
    if running.is_ok_and(|mode| *mode == Mode::Run) {
        return;
    }
    std::future::pending::<()>().await;
}

/// The platform as seen by one VM.
struct VmPlatform {
    memory: Memory,
    mode: watch::Receiver<Mode>,
    cut_off: Arc<AtomicBool>,
}

impl VmPlatform {
    async fn reach(&self) -> edge::Result<()> {
        wait_while_paused(&self.mode).await;
        if self.cut_off.load(Ordering::SeqCst) {
            return Err(edge::Fault::Down("cut off".to_owned()));
        }
        Ok(())
    }
}

#[async_trait]
impl Platform for VmPlatform {
    async fn range(
        &self,
        prefix: &str,
        from: &str,
        limit: usize,
    ) -> edge::Result<Vec<edge::Entry>> {
        self.reach().await?;
        let listed = self.memory.range(prefix, from, limit).await;
        wait_while_paused(&self.mode).await;
        listed
    }

    async fn read(&self, key: &str) -> edge::Result<Option<edge::Entry>> {
        self.reach().await?;
        let entry = self.memory.read(key).await;
        wait_while_paused(&self.mode).await;
        entry
    }

    async fn commit(&self, txn: &edge::Txn, weight: edge::Priority) -> edge::Result<edge::Outcome> {
        self.reach().await?;
        let outcome = self.memory.commit(txn, weight).await;
        wait_while_paused(&self.mode).await;
        outcome
    }

    async fn grant(&self, ttl: Millis) -> edge::Result<edge::Lease> {
        self.reach().await?;
        self.memory.grant(ttl).await
    }

    async fn renew(&self, lease: edge::Lease) -> edge::Result<bool> {
        self.reach().await?;
        self.memory.renew(lease).await
    }

    async fn revoke(&self, lease: edge::Lease) -> edge::Result<()> {
        self.reach().await?;
        self.memory.revoke(lease).await
    }

    async fn watch(
        &self,
        prefix: &str,
        revision: u64,
    ) -> edge::Result<mpsc::Receiver<edge::Change>> {
        self.reach().await?;
        self.memory.watch(prefix, revision).await
    }

    async fn machines(&self) -> edge::Result<Vec<Machine>> {
        self.reach().await?;
        self.memory.machines().await
    }
}

/// The other VMs as seen by one VM.
struct VmPeers {
    vm: usize,
    mode: watch::Receiver<Mode>,
    shared_vms: SharedVms,
}

impl VmPeers {
    async fn reach(&self, vm: &id::Vm) -> copy::Result<usize> {
        wait_while_paused(&self.mode).await;
        let at = (0..VMS).find(|at| name(*at) == *vm).unwrap();
        let mut mode = self.shared_vms.lock().unwrap()[at].mode.clone();
        match mode.wait_for(|mode| *mode != Mode::Paused).await.as_deref() {
            Ok(Mode::Run) => Ok(at),
            Ok(_) | Err(_) => Err(copy::Fault::Unreachable),
        }
    }
}

#[async_trait]
impl Peers for VmPeers {
    async fn hold(&self, holder: &Holder, shard: &id::Shard, batch: &Batch) -> copy::Result<()> {
        let at = self.reach(&holder.vm).await?;
        let mut shared_vms = self.shared_vms.lock().unwrap();
        shared_vms[at].store.hold(holder.incarnation, shard, batch)
    }

    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> copy::Result<Collected> {
        let at = self.reach(vm).await?;
        let logs = self.shared_vms.lock().unwrap()[at].logs.clone();
        for (_, log) in logs.into_iter().filter(|(old, _)| *old < epoch) {
            log.step_down().await;
        }
        let found = self.shared_vms.lock().unwrap()[at]
            .store
            .collect(shard, epoch);
        wait_while_paused(&self.mode).await;
        found
    }

    async fn keep(&self, shard: &id::Shard, held: Vec<Batch>) {
        wait_while_paused(&self.mode).await;
        self.shared_vms.lock().unwrap()[self.vm]
            .store
            .keep(shard, held);
    }

    async fn drained(&self, holder: &Holder, shard: &id::Shard, epoch: u64, seq: u64) {
        if let Ok(at) = self.reach(&holder.vm).await {
            let mut shared_vms = self.shared_vms.lock().unwrap();
            shared_vms[at].store.drained(shard, epoch, seq);
        }
    }
}
