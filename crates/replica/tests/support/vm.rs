//! VMs with a disk in one process.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use link::client::Client;
use link::client::Limits;
use link::intake::Intake;
use link::listen;
use platform::edge::Platform;
use platform::memory::Memory;
use replica::ledger;
use replica::list::List;
use replica::list::Member;
use replica::member::Driver;
use replica::member::Phase;
use replica::message;
use replica::server;
use tokio::sync::watch;
use wire::clock::Clock;

use super::Disk;

/// The most bytes of requests that a member reads at once.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;

/// The key under which the list is stored.
pub const LIST_KEY: &str = "members";

/// Which release a VM runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Process {
    Current,
    /// One that ignores which disk a request names.
    Earlier,
}

/// A VM at whose address one member after another answers, or nobody.
pub struct Vm {
    name: &'static str,
    pub address: SocketAddr,
    member: Arc<Mutex<Arc<server::Member>>>,
    disk: Mutex<Disk>,
    pub silent: Arc<AtomicBool>,
}

impl Vm {
    /// Starts a VM with an empty disk.
    pub async fn start(name: &'static str, disk: u64, process: Process) -> Self {
        let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
        let address = listener.local_addr().unwrap();
        let medium = Disk::default();
        let member = Arc::new(Mutex::new(open(&medium, disk).await));
        let silent = Arc::new(AtomicBool::new(false));
        let (shared, is_silent) = (member.clone(), silent.clone());
        let handler = move |mut request: Request<Incoming>| {
            if process == Process::Earlier {
                request.headers_mut().remove(message::DISK_HEADER);
            }
            let member = shared.lock().unwrap().clone();
            let is_silent = is_silent.clone();
            async move {
                if is_silent.load(Ordering::SeqCst) {
                    pending::<()>().await;
                }
                let intake = Intake::new(MAX_BYTES);
                server::serve(member, intake, request).await
            }
        };
        tokio::spawn(listen::run(listener, Arc::default(), handler));
        Self {
            name,
            address,
            member,
            disk: Mutex::new(medium),
            silent,
        }
    }

    /// Returns the member that answers now.
    pub fn member(&self) -> Arc<server::Member> {
        self.member.lock().unwrap().clone()
    }

    /// Returns the VM's entry in a list.
    pub fn entry(&self) -> Member {
        Member {
            vm: self.name.to_owned(),
            centre: self.name.to_owned(),
            address: self.address,
            disk: self.member().status().disk,
        }
    }

    /// Replaces the disk by an empty one.
    pub async fn lose_disk(&self, new_disk: u64) {
        self.start_on(Disk::default(), new_disk).await;
    }

    /// Kills the process and starts it again on the same disk.
    pub async fn restart(&self) {
        let disk = self.disk.lock().unwrap().clone_unsynced();
        self.start_on(disk, 0).await;
    }

    /// Starts a process on a disk, which gets this number if it is empty.
    async fn start_on(&self, disk: Disk, number: u64) {
        let member = open(&disk, number).await;
        *self.disk.lock().unwrap() = disk;
        *self.member.lock().unwrap() = member;
    }

    /// Has the member do on its own what it does in a process.
    pub fn drive(&self) {
        self.drive_with(Arc::new(Memory::new(Clock::System)));
    }

    /// The same with the service that stores the list under [`LIST_KEY`].
    pub fn drive_with(&self, platform: Arc<dyn Platform>) {
        let (phase, _) = watch::channel(Phase::Member);
        let driver = Driver {
            member: self.member(),
            http: client(),
            platform,
            key: LIST_KEY.to_owned(),
            own: self.entry(),
            losses: 1,
            max_silence: ledger::RETENTION,
            clock: Clock::System,
            phase,
        };
        tokio::spawn(driver.run());
    }

    /// Has the member use a list, with everything that was acknowledged before version `ready`.
    pub async fn adopt(&self, list: &List, ready: u64) {
        self.member().adopt(list).await.unwrap();
        self.member().set_ready(ready).await.unwrap();
    }

    /// Returns whether the member has caught up with a list.
    pub fn is_ready(&self, list: &List) -> bool {
        self.member().status().ready >= list.version
    }
}

/// Starts three VMs, and returns them with the list of their members.
pub async fn three_vms(process: Process) -> ([Vm; 3], List) {
    let vms = [
        Vm::start("a", 1, process).await,
        Vm::start("b", 2, process).await,
        Vm::start("c", 3, process).await,
    ];
    let mut list = List::default();
    for vm in &vms {
        list = list.with(&vm.entry());
    }
    (vms, list)
}

async fn open(disk: &Disk, number: u64) -> Arc<server::Member> {
    let member = server::open_on(disk.medium(), DISK_BYTES, number, Clock::System);
    member.await.unwrap()
}

/// Returns a client for requests to VMs.
pub fn client() -> Arc<Client> {
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
