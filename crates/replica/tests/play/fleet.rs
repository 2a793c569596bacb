//! The VMs of a play: each has a disk, a member and a driver, which can be lost, restarted, cut off,
//! stopped for a while and retired.

use std::future::pending;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body::Body as ResponseBody;
use link::client::Client;
use link::client::Limits;
use link::intake::Intake;
use link::listen;
use platform::edge::Compare;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use platform::memory::Memory;
use replica::client::Replicas;
use replica::list::List;
use replica::list::Member;
use replica::member::Driver;
use replica::member::Phase;
use replica::message;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::server;
use tokio::sync::watch;
use tokio::task::AbortHandle;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::network::Cut;
use crate::network::FRONT;
use crate::network::Gate;
use crate::network::Network;
use crate::network::describe;
use crate::support::Disk;

/// The most bytes of requests that a member reads at once.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// How long a request may take to come.
const READ_TIME: Duration = Duration::from_secs(5);
/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;
/// How many members may be lost at once.
pub const LOSSES: usize = 1;
/// How often retired VMs are looked for.
const RETIRED_INTERVAL: Duration = Duration::from_millis(50);
/// The data centres.
const CENTRES: [&str; 3] = ["a", "b", "c"];
/// The list's key.
const KEY: &str = "members";

/// Whether a VM's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pace {
    Running,
    Standing,
}

/// Whether a VM may start again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Present,
    Gone,
}

struct Process {
    /// `None` while the VM is down.
    member: Option<Arc<server::Member>>,
    disk: Disk,
    driver: Option<AbortHandle>,
    presence: Presence,
}

/// A VM with a disk.
pub struct Vm {
    pub name: String,
    centre: &'static str,
    process: Mutex<Process>,
    pace: watch::Sender<Pace>,
    phase: watch::Sender<Phase>,
}

impl Vm {
    fn lock(&self) -> MutexGuard<'_, Process> {
        self.process.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn member(&self) -> Option<Arc<server::Member>> {
        self.lock().member.clone()
    }

    /// Ends the process at once, as a power loss does.
    fn end(&self) -> Disk {
        let mut process = self.lock();
        process.member = None;
        if let Some(driver) = process.driver.take() {
            driver.abort();
        }
        process.disk.clone()
    }
}

/// The VMs of a play, and what they share.
pub struct Fleet {
    pub network: Arc<Network>,
    memory: Memory,
    vms: Mutex<Vec<Arc<Vm>>>,
    next_disk: AtomicU64,
    max_silence: Millis,
}

impl Fleet {
    /// Starts VMs whose members are listed and complete. Where the list can't change without a VM, it is
    /// given up after `max_silence`.
    pub async fn start(vms: usize, max_silence: Millis) -> Arc<Self> {
        let fleet = Arc::new(Self {
            network: Network::new(),
            memory: Memory::new(Clock::System),
            vms: Mutex::default(),
            next_disk: AtomicU64::new(1),
            max_silence,
        });
        for at in 0..vms {
            fleet.open_vm(at).await;
        }
        let mut list = List::default();
        for vm in fleet.vms() {
            list = list.with(&fleet.entry(&vm, FRONT, &vm.member().unwrap()));
        }
        fleet.write_first_list(&list).await;
        for vm in fleet.vms() {
            let member = vm.member().unwrap();
            let seen = fleet.network.translate(&list, &vm.name);
            member.adopt(&seen).await.unwrap();
            member.set_ready(list.version).await.unwrap();
            fleet.drive(&vm);
        }
        tokio::spawn(remove_retired(fleet.clone()));
        fleet
    }

    async fn write_first_list(&self, list: &List) {
        let txn = Txn {
            compares: vec![Compare {
                key: KEY.to_owned(),
                revision: 0,
            }],
            writes: vec![Write::Put {
                key: KEY.to_owned(),
                value: rmp_serde::to_vec(list).unwrap(),
                lease: None,
            }],
        };
        self.memory.commit(&txn, Priority::Claim).await.unwrap();
    }

    /// Returns the VMs that aren't gone.
    pub fn vms(&self) -> Vec<Arc<Vm>> {
        let vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.clone()
    }

    pub fn vm(&self, name: &str) -> Option<Arc<Vm>> {
        self.vms().into_iter().find(|vm| vm.name == name)
    }

    /// Returns the list in the platform, as programs' VMs see it.
    pub async fn list(&self) -> Option<List> {
        let entry = self.gate(FRONT).read(KEY).await.ok()??;
        rmp_serde::from_slice(&entry.value).ok()
    }

    /// Returns a client of the members with the present list.
    pub async fn replicas(&self) -> Replicas {
        let replicas = Replicas::new(client(), CENTRES[0], LOSSES);
        if let Some(list) = self.list().await {
            replicas.adopt(list);
        }
        replicas
    }

    fn gate(&self, vm: &str) -> Gate {
        Gate {
            memory: self.memory.clone(),
            network: self.network.clone(),
            vm: vm.to_owned(),
        }
    }

    fn entry(&self, vm: &Vm, reader: &str, member: &server::Member) -> Member {
        Member {
            vm: vm.name.clone(),
            centre: vm.centre.to_owned(),
            address: self.network.address(reader, &vm.name).unwrap(),
            disk: member.status().disk,
        }
    }

    /// Starts a VM with an empty disk that isn't a member yet. `at` names it and its data centre.
    pub async fn add(&self, at: usize) {
        let vm = self.open_vm(at).await;
        self.network.trace.note(&format!("{} added", vm.name));
        self.drive(&vm);
    }

    async fn open_vm(&self, at: usize) -> Arc<Vm> {
        let vm = Arc::new(Vm {
            name: name(at),
            centre: CENTRES[at % CENTRES.len()],
            process: Mutex::new(Process {
                member: None,
                disk: Disk::default(),
                driver: None,
                presence: Presence::Present,
            }),
            pace: watch::Sender::new(Pace::Running),
            phase: watch::Sender::new(Phase::Member),
        });
        self.open_member(&vm, Disk::default()).await;
        for other in self.vms() {
            self.listen(&vm.name, &other).await;
            self.listen(&other.name, &vm).await;
        }
        self.listen(&vm.name, &vm).await;
        self.listen(FRONT, &vm).await;
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.push(vm.clone());
        drop(vms);
        vm
    }

    async fn open_member(&self, vm: &Vm, disk: Disk) {
        let number = self.next_disk.fetch_add(1, Ordering::SeqCst);
        let member = server::open_on(disk.medium(), DISK_BYTES, number, Clock::System);
        let member = member.await.unwrap();
        member.set_losses(LOSSES);
        let mut process = vm.lock();
        if process.presence == Presence::Present {
            process.member = Some(member);
            process.disk = disk;
        }
    }

    /// Has a VM serve `asker`.
    async fn listen(&self, asker: &str, vm: &Arc<Vm>) {
        let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = listener.local_addr().unwrap();
        self.network.add_address(asker, &vm.name, address);
        let (network, vm, asker) = (self.network.clone(), vm.clone(), asker.to_owned());
        let intake = Intake::new(MAX_BYTES);
        let handler = move |request| {
            let (network, vm) = (network.clone(), vm.clone());
            let (asker, intake) = (asker.clone(), intake.clone());
            async move {
                match serve(&network, &vm, &asker, &intake, request).await {
                    Some(response) => response,
                    None => pending().await,
                }
            }
        };
        tokio::spawn(listen::run(listener, Arc::default(), handler));
    }

    /// Has a member do on its own what it does in a process.
    fn drive(&self, vm: &Arc<Vm>) {
        let Some(member) = vm.member() else {
            return;
        };
        let own = self.entry(vm, &vm.name, &member);
        let driver = Driver {
            member,
            http: client(),
            platform: Arc::new(self.gate(&vm.name)),
            key: KEY.to_owned(),
            own,
            losses: LOSSES,
            max_silence: self.max_silence,
            clock: Clock::System,
            phase: vm.phase.clone(),
        };
        let task = tokio::spawn(run_at_pace(driver.run(), vm.pace.subscribe()));
        vm.lock().driver = Some(task.abort_handle());
    }

    /// Takes a VM's disk. It comes back with an empty one after `time`.
    pub async fn lose_disk(&self, vm: &Arc<Vm>, time: Duration) {
        self.network
            .trace
            .note(&format!("{} lost its disk", vm.name));
        vm.end();
        tokio::time::sleep(time).await;
        self.restart_on(vm, Disk::default()).await;
    }

    /// Cuts a VM's power. It comes back with what its disk has synced after `time`.
    pub async fn restart(&self, vm: &Arc<Vm>, time: Duration) {
        self.network.trace.note(&format!("{} lost power", vm.name));
        let disk = vm.end().after_power_loss();
        tokio::time::sleep(time).await;
        self.restart_on(vm, disk).await;
    }

    async fn restart_on(&self, vm: &Arc<Vm>, disk: Disk) {
        if vm.lock().presence == Presence::Gone {
            return;
        }
        self.open_member(vm, disk).await;
        let Some(member) = vm.member() else {
            return;
        };
        let number = member.status().disk;
        let line = format!("{} back with disk {number}", vm.name);
        self.network.trace.note(&line);
        self.drive(vm);
    }

    /// Cuts a VM off for `time`.
    pub async fn cut(&self, vm: &Vm, cut: Cut, time: Duration) {
        let line = format!("{} cut off ({cut:?})", vm.name);
        self.network.trace.note(&line);
        self.network.cut(&vm.name, cut);
        tokio::time::sleep(time).await;
        self.network.heal(&vm.name);
        self.network
            .trace
            .note(&format!("{} reached again", vm.name));
    }

    /// Has a VM's process stand still for `time`.
    pub async fn stand(&self, vm: &Vm, time: Duration) {
        self.network
            .trace
            .note(&format!("{} stands still", vm.name));
        vm.pace.send_replace(Pace::Standing);
        tokio::time::sleep(time).await;
        vm.pace.send_replace(Pace::Running);
        self.network.trace.note(&format!("{} runs again", vm.name));
    }

    /// Asks a VM to leave. It is gone with its disk once it has left.
    pub fn retire(&self, vm: &Vm) {
        self.network.trace.note(&format!("{} is to leave", vm.name));
        let is_member = |phase: &mut Phase| *phase == Phase::Member;
        let leave = |phase: &mut Phase| {
            let changes = is_member(phase);
            if changes {
                *phase = Phase::Leaving;
            }
            changes
        };
        vm.phase.send_if_modified(leave);
    }

    /// Takes a VM and its disk away for good.
    pub fn remove(&self, vm: &Vm) {
        self.network
            .trace
            .note(&format!("{} gone for good", vm.name));
        vm.lock().presence = Presence::Gone;
        vm.end();
        let mut vms = self.vms.lock().unwrap_or_else(PoisonError::into_inner);
        vms.retain(|other| other.name != vm.name);
    }

    /// Ends all VMs.
    pub fn end(&self) {
        for vm in self.vms() {
            vm.end();
        }
    }

    /// Returns what each VM says of itself.
    pub fn describe(&self) -> String {
        let vms = self.vms();
        let lines = vms.iter().map(|vm| {
            let Some(member) = vm.member() else {
                return format!("{}: down", vm.name);
            };
            let identity = member.identity();
            format!(
                "{}: disk {} ready {} {:?} {} holds {:?}",
                vm.name,
                identity.disk,
                identity.ready,
                *vm.phase.borrow(),
                describe(&identity.list),
                member.counts()
            )
        });
        lines.collect::<Vec<_>>().join("\n")
    }
}

/// Returns the name of the VM with this number.
pub fn name(at: usize) -> String {
    format!("vm{at}")
}

/// Takes VMs away that have left, with their disks, as operators may do from then on.
async fn remove_retired(fleet: Arc<Fleet>) {
    loop {
        tokio::time::sleep(RETIRED_INTERVAL).await;
        for vm in fleet.vms() {
            if *vm.phase.borrow() == Phase::Left {
                fleet.network.trace.note(&format!("{} has left", vm.name));
                fleet.remove(&vm);
            }
        }
    }
}

async fn run_at_pace(run: impl Future<Output = ()>, mut pace: watch::Receiver<Pace>) {
    let mut run = pin!(run);
    loop {
        if pace.wait_for(|pace| *pace == Pace::Running).await.is_err() {
            return;
        }
        tokio::select! {
            biased;
            _ = pace.wait_for(|pace| *pace == Pace::Standing) => {}
            () = &mut run => return,
        }
    }
}

/// Answers a request as the VM does; `None` if no answer comes.
async fn serve(
    network: &Network,
    vm: &Vm,
    asker: &str,
    intake: &Intake,
    request: Request<Incoming>,
) -> Option<Response<ResponseBody>> {
    let member = vm.member()?;
    let named = request.headers().get(message::DISK_HEADER);
    let disk: Option<u64> = named.map(|value| value.to_str().unwrap().parse().unwrap());
    let read = intake.read(request.into_body(), MAX_BYTES, READ_TIME);
    let mut ask: Ask = rmp_serde::from_slice(&read.await.ok()?.bytes).unwrap();
    if !network.is_open(asker, &vm.name) {
        return None;
    }
    let mut pace = vm.pace.subscribe();
    let runs = |pace: &Pace| *pace == Pace::Running;
    pace.wait_for(runs).await.ok()?;
    match &mut ask.body {
        Body::Adopt(list) => *list = network.translate(list, &vm.name),
        Body::Fetch(_) => tokio::time::sleep(network.fetch_delay()).await,
        _ => {}
    }
    let own_disk = member.status().disk;
    let mut answer = match disk {
        Some(disk) if disk != own_disk => Answer::OtherDisk(own_disk),
        Some(_) | None => member.answer(ask).await,
    };
    pace.wait_for(runs).await.ok()?;
    if let Answer::Newer(list) = &mut answer {
        *list = network.translate(list, asker);
    }
    let is_same = |present| Arc::ptr_eq(&present, &member);
    if !vm.member().is_some_and(is_same) || !network.is_open(asker, &vm.name) {
        return None;
    }
    let bytes = rmp_serde::to_vec(&answer).unwrap();
    Some(Response::new(ResponseBody::whole(bytes)))
}

fn client() -> Arc<Client> {
    Client::new(Limits {
        connect_timeout: Duration::from_secs(1),
        unacked_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
        reuse_delay: Duration::ZERO,
        max_idle: 4,
        max_buffer: 64 * 1024,
        max_answer: u64::MAX,
    })
}
