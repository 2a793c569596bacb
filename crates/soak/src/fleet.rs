//! The deployment of a run: the product's processes, the stand-ins for the platform, the links
//! between them, and how each fault is applied to them.

use std::fs;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::process;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use fakes::caller;
use fakes::runner;
use fakes::runner::Runner;
use fakes::settings;
use fakes::store;
use fakes::store::Store;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Millis;

use crate::balancer::Balancer;
use crate::balancer::Row;
use crate::body::Body;
use crate::body::Pace;
use crate::check::Check;
use crate::connection::Connection;
use crate::context::Context;
use crate::fault::Fault;
use crate::fault::Impairment;
use crate::fault::Kind as FaultKind;
use crate::fault::Target;
use crate::opener::Openers;
use crate::oracle::Oracle;
use crate::plan::Plan;
use crate::proxy::Group;
use crate::proxy::Link;
use crate::proxy::Mode;
use crate::request::Kind;
use crate::request::LONG_MS;
use crate::request::Spec;
use crate::vm::Config;
use crate::vm::Vm;

/// The number of VMs with a disk, and of data centres: each has one.
pub const DISK_VMS: usize = 3;
/// How long all processes together may take to start.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a leaving runner keeps running: longer than the longest request.
const RUNNER_EXIT_DELAY: Duration = Duration::from_secs(8);
/// How long a runner that has left stays down before it starts again.
const RUNNER_DOWNTIME: Duration = Duration::from_secs(2);
/// How long after a crash a runner's entry expires: three heartbeats.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3 * settings::HEARTBEAT_MS);
/// How long after SIGTERM a VM may still report ready.
const UNREADY_DEADLINE: Duration = Duration::from_secs(4);
/// How many of the routes that configurations add are present at a time.
const ADDED_ROUTES: u64 = 2;
/// The port of the store.
const STORE_PORT: u16 = 8142;
/// The port of the runners.
const RUNNER_PORT: u16 = 8080;

/// A runner and the link to it.
#[derive(Debug)]
struct Backend {
    id: String,
    service: &'static str,
    runner: Runner,
    link: Link,
}

/// The deployment of a run.
#[derive(Debug)]
pub struct Fleet {
    /// What the parts of the run share.
    pub context: Arc<Context>,
    /// The VMs that take callers, followed by those with a disk.
    pub vms: Vec<Arc<Vm>>,
    store: Store,
    /// The link of each VM to the store.
    store_links: Vec<Link>,
    /// The links between VMs, by target; empty unless the run impairs them.
    vm_links: Vec<Group>,
    /// The links from clients, by VM; empty unless the run impairs them.
    client_links: Vec<Link>,
    runners: Vec<Backend>,
    /// The version of the latest configuration.
    version: Mutex<u64>,
}

/// The loopback network of one run. It is derived from the process id and the run's number within
/// the process, so that concurrent runs don't share addresses. Each [`Block`] of addresses takes
/// one value of the third octet, or as many as it needs.
#[derive(Clone, Copy, Debug)]
struct Net {
    second: u8,
    third: u8,
}

/// A block of addresses in the network of a run; the value is the offset of its first third octet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Block {
    Vms = 0,
    StoreLinks = 2,
    VmLinks = 4,
    ClientLinks = 6,
    Runners = 8,
    RunnerLinks = 9,
    Store = 10,
}

/// How many addresses a block has for each value of the third octet.
const ADDRESSES_PER_OCTET: usize = 200;

impl Net {
    /// Returns the network of the next run.
    fn next() -> Self {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let id = process::id();
        let octet = |value: u32| u8::try_from(value).unwrap_or_default();
        Self {
            second: octet(1 + id % 250),
            third: octet(10 + (id / 250 + run) % 20 * 12),
        }
    }

    fn ip(self, block: Block, index: usize) -> IpAddr {
        let octet = |value: usize| u8::try_from(value).unwrap_or_default();
        let third = self.third + block as u8 + octet(index / ADDRESSES_PER_OCTET);
        IpAddr::from([
            127,
            self.second,
            third,
            octet(1 + index % ADDRESSES_PER_OCTET),
        ])
    }

    fn address(self, block: Block, index: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(block, index), port)
    }
}

impl Fleet {
    /// Starts the stand-ins and prepares the VMs, without their processes.
    ///
    /// # Errors
    ///
    /// Fails if the run's folder can't be created, or if it exists already, because it then holds
    /// the disks of another run.
    pub async fn new(plan: &Plan) -> io::Result<Self> {
        if let Some(parent) = plan.folder.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::create_dir(&plan.folder)?;
        let net = Net::next();
        let store = Store::start(net.address(Block::Store, 0, STORE_PORT)).await;
        let mut vms = Vec::new();
        let mut store_links = Vec::new();
        for index in 0..plan.vms + DISK_VMS {
            let address = net.address(Block::StoreLinks, index, STORE_PORT);
            store_links.push(Link::start(address, store.address));
            vms.push(Vm::new(prepare_vm(plan, net, index)?));
        }
        let vm_links = vm_links(plan, net, &vms);
        let client_links = client_links(plan, net, &vms);
        let log = runner::Log::default();
        let mut runners = Vec::new();
        for index in 0..plan.runners {
            runners.push(start_backend(net, index, log.clone()).await);
        }
        let rows = vms[..plan.vms].iter().enumerate().map(|(index, vm)| Row {
            centre: index % DISK_VMS,
            callers: client_links
                .get(index)
                .map_or(vm.callers(), |link| link.address),
            ready: vm.ready(),
            misses: 2,
        });
        let balancer = Balancer::new(rows.collect());
        let names = vms.iter().map(|vm| vm.config.name.clone()).collect();
        let oracle = Oracle::new(Instant::now(), names, log);
        Ok(Self {
            context: Arc::new(Context::new(balancer, DISK_VMS, oracle)),
            vms,
            store,
            store_links,
            vm_links,
            client_links,
            runners,
            version: Mutex::new(0),
        })
    }

    /// Waits until all VMs are ready to serve.
    ///
    /// # Errors
    ///
    /// Fails if they are not ready in time.
    pub async fn wait_until_ready(&self) -> io::Result<()> {
        for backend in &self.runners {
            self.write_entry(backend, "ready");
        }
        self.configure();
        let started = Instant::now();
        loop {
            self.context.balancer.probe().await;
            let rows = self.context.balancer.rows();
            let is_ready = rows.iter().all(|row| row.misses == 0);
            if is_ready && self.store.members() == DISK_VMS {
                // The last member still has to copy what the others hold.
                sleep(Duration::from_secs(1)).await;
                return Ok(());
            }
            if started.elapsed() > START_TIMEOUT {
                return Err(io::Error::other(format!("not ready in time: {rows:?}")));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Applies a fault; if it lasts for some time, waits until it is over.
    ///
    /// # Errors
    ///
    /// Fails if a signal can't be sent.
    pub async fn apply(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Stop(vm) => self.stop(&self.vms[vm]).await?,
            Fault::Reload(vm) => self.vms[vm].reload(&self.context)?,
            Fault::Configure => self.configure_and_check().await,
            Fault::Kill(vm) => self.vms[vm].kill(&self.context)?,
            Fault::Pause(vm, span) => self.vms[vm].pause(&self.context, span).await?,
            Fault::Wipe(vm) => self.vms[vm].wipe(&self.context)?,
            Fault::StoreAway(span) => {
                self.store.set_down(true);
                self.disrupt_for(span).await;
                self.store.set_down(false);
            }
            Fault::RunnerLeaves(index) => self.drain(&self.runners[index], mark_draining).await,
            Fault::RunnerUnlisted(index) => self.drain(&self.runners[index], remove_entry).await,
            Fault::RunnerFails(index, failure, count) => {
                self.runners[index]
                    .runner
                    .play(&vec![failure.mode(); count]);
            }
            Fault::RunnerDown(index, span) => self.take_down(&self.runners[index], span).await,
            Fault::Link(target, impairment, span) => {
                let links = self.links(target, impairment);
                for (link, impairment) in &links {
                    impair(link, *impairment);
                }
                self.disrupt_for(span).await;
                for (link, _) in links {
                    link.set_mode(Mode::Open);
                }
            }
            Fault::SlowBodies(span) => {
                self.context.begin_slow_bodies();
                sleep(span.as_duration()).await;
                self.context.end_slow_bodies();
            }
        }
        Ok(())
    }

    /// Returns the links of a target, each with its impairment.
    fn links(&self, target: Target, impairment: Impairment) -> Vec<(&Link, Impairment)> {
        match target {
            Target::Store(vm) => vec![(&self.store_links[vm], impairment)],
            Target::Runner(index) => vec![(&self.runners[index].link, impairment)],
            Target::Client(vm) => vec![(&self.client_links[vm], impairment)],
            Target::Vms(from, to) => vec![(&self.vm_links[to].links[from], impairment)],
            Target::Around(vm) => {
                let from = self
                    .vm_links
                    .iter()
                    .map(|group| (&group.links[vm], impairment));
                let to = self.vm_links[vm].links.iter();
                let to = to.map(|link| (link, impairment.from_other_end()));
                from.chain(to).collect()
            }
        }
    }

    /// Records a disruption that lasts for `span`.
    async fn disrupt_for(&self, span: Millis) {
        let disruption = {
            let mut oracle = self.context.oracle();
            let now = oracle.now();
            oracle.history.begin_disruption(now)
        };
        sleep(span.as_duration()).await;
        let mut oracle = self.context.oracle();
        let now = oracle.now();
        oracle.history.end_disruption(disruption, now);
    }

    async fn stop(&self, vm: &Vm) -> io::Result<()> {
        if !vm.stop(&self.context)? || vm.config.disk.is_some() {
            return Ok(());
        }
        let started = vm.stopped_at();
        sleep(UNREADY_DEADLINE).await;
        let status = caller::status(vm.ready(), "/-/readyz").await;
        if started.is_some() && vm.stopped_at() == started {
            let broken = (status == Some(200)).then_some("still ready");
            self.context
                .oracle()
                .record_vm(Check::Leaves, vm.config.index, broken);
        }
        Ok(())
    }

    fn write_entry(&self, backend: &Backend, state: &str) {
        self.store
            .put_runner(&backend.id, backend.service, backend.link.address, state);
    }

    /// Writes a configuration that adds one route and drops the oldest one added before. Returns
    /// its version.
    fn configure(&self) -> u64 {
        let mut version = self.version();
        *version += 1;
        let kept = r#","attempts":1,"retain":true,"retainS":60.0"#;
        let resumable = format!(r#"{kept},"resumable":true"#);
        let mut more = format!(
            ",{},{}",
            store::route("long", "stream", "models", LONG_MS, kept),
            store::route(
                "both",
                "stream",
                "models",
                store::DEFAULT_TIMEOUT_MS,
                &resumable
            )
        );
        let oldest = version.saturating_sub(ADDED_ROUTES - 1).max(1);
        for version in oldest..=*version {
            let name = format!("new-{version}");
            let rest = r#","attempts":2"#;
            let route = store::route(&name, "idempotent", "ops", store::DEFAULT_TIMEOUT_MS, rest);
            more = format!("{more},{route}");
        }
        self.store.configure(*version, &more);
        *version
    }

    fn version(&self) -> MutexGuard<'_, u64> {
        self.version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a configuration. Once it has to be in force, requests the added and the dropped route
    /// from each undisturbed VM that takes callers.
    async fn configure_and_check(&self) {
        let version = self.configure();
        sleep(Duration::from_millis(settings::APPLY_MS)).await;
        let callers = self.vms.iter().filter(|vm| vm.config.disk.is_none());
        for vm in callers.filter(|vm| vm.is_undisturbed()) {
            // A later configuration may have dropped the route again.
            if *self.version() == version {
                self.probe(vm, Kind::Added(version)).await;
            }
            if version > ADDED_ROUTES {
                self.probe(vm, Kind::Dropped(version - ADDED_ROUTES)).await;
            }
        }
    }

    /// Sends one request to a VM, regardless of the balancer.
    async fn probe(&self, vm: &Vm, kind: Kind) {
        let spec = Spec {
            kind,
            events: 1,
            pause: Duration::ZERO,
            deadline: Duration::from_secs(1),
            leave_after: None,
            pace: Pace::AtOnce,
            input: "which configuration\n".into(),
            turn: None,
            got: None,
        };
        let Ok(mut connection) = Connection::open(vm.config.index, vm.callers()).await else {
            return;
        };
        let id = self
            .context
            .oracle()
            .begin(vm.config.index, &spec, spec.deadline);
        let request = caller::request(&caller::Params {
            id: &id,
            path: &spec.path(),
            deadline: spec.deadline,
            program: None,
            turn: None,
            body: spec.input.clone(),
        });
        let request = request.map(|_| Body::new(spec.input.clone(), spec.pace));
        let until = Instant::now() + spec.deadline;
        let outcome = connection.send(request, until).await;
        self.context.oracle().finish(&id, &outcome);
    }

    /// Has a runner leave and come back; `update_entry` marks its entry as draining or removes it.
    async fn drain(&self, backend: &Backend, update_entry: fn(&Self, &Backend)) {
        {
            let mut oracle = self.context.oracle();
            let now = oracle.now();
            if oracle.history.leaving_since(&backend.id, now).is_some() {
                return;
            }
            oracle.history.note_leaving(&backend.id, now);
        }
        update_entry(self, backend);
        sleep(RUNNER_EXIT_DELAY).await;
        remove_entry(self, backend);
        backend.link.set_mode(Mode::Down);
        sleep(RUNNER_DOWNTIME).await;
        self.come_back(backend);
    }

    fn come_back(&self, backend: &Backend) {
        let mut oracle = self.context.oracle();
        let now = oracle.now();
        oracle.history.note_runner_back(&backend.id, now);
        drop(oracle);
        backend.link.set_mode(Mode::Open);
        self.write_entry(backend, "ready");
    }

    /// Takes a runner down without notice; its entry expires if the runner is down for longer than
    /// [`ENTRY_EXPIRY`].
    async fn take_down(&self, backend: &Backend, span: Millis) {
        backend.link.set_mode(Mode::Down);
        let expiry = async {
            sleep(ENTRY_EXPIRY).await;
            if span.as_duration() > ENTRY_EXPIRY {
                remove_entry(self, backend);
            }
        };
        tokio::join!(self.disrupt_for(span), expiry);
        self.come_back(backend);
    }
}

fn mark_draining(fleet: &Fleet, backend: &Backend) {
    fleet.write_entry(backend, "draining");
}

fn remove_entry(fleet: &Fleet, backend: &Backend) {
    fleet.store.remove_runner(&backend.id);
}

fn impair(link: &Link, impairment: Impairment) {
    match impairment {
        Impairment::Slow(span) => link.set_mode(Mode::Slow(span)),
        Impairment::Cut => link.set_mode(Mode::Cut),
        Impairment::CutOneWay(direction) => link.set_mode(Mode::CutOneWay(direction)),
        Impairment::Reset => link.reset(),
        Impairment::Silence => link.silence(),
    }
}

/// Starts the proxies between VMs if the run impairs their links.
fn vm_links(plan: &Plan, net: Net, vms: &[Arc<Vm>]) -> Vec<Group> {
    if !plan.kinds.contains(&FaultKind::VmLink) {
        return Vec::new();
    }
    let all: Arc<[Arc<Vm>]> = vms.into();
    let openers = Arc::new(Openers::default());
    let source = move |from, to| {
        let ids = || all.iter().map(|vm| vm.pid()).collect();
        openers.find(ids, from, to).ok().flatten()
    };
    let group = |(index, vm): (usize, &Arc<Vm>)| {
        let address = net.address(Block::VmLinks, index, settings::PEERS);
        Group::start(address, vm.peers(), vms.len(), source.clone())
    };
    vms.iter().enumerate().map(group).collect()
}

/// Starts the proxies between clients and VMs if the run impairs their links.
fn client_links(plan: &Plan, net: Net, vms: &[Arc<Vm>]) -> Vec<Link> {
    if !plan.kinds.contains(&FaultKind::ClientLink) {
        return Vec::new();
    }
    let link = |(index, vm): (usize, &Arc<Vm>)| {
        let address = net.address(Block::ClientLinks, index, settings::CALLERS);
        Link::start(address, vm.callers())
    };
    vms[..plan.vms].iter().enumerate().map(link).collect()
}

/// Writes a VM's settings file and returns how to run it.
fn prepare_vm(plan: &Plan, net: Net, index: usize) -> io::Result<Config> {
    let ip = net.ip(Block::Vms, index);
    let centre = ["a", "b", "c"][index % DISK_VMS];
    let is_disk = index >= plan.vms;
    let name = if is_disk {
        format!("store-{centre}-1")
    } else {
        format!("front-{centre}-{}", index / DISK_VMS + 1)
    };
    let disk = is_disk.then(|| plan.folder.join(&name));
    let advertised = net.address(Block::VmLinks, index, settings::PEERS);
    let text = settings::text(&settings::Vm {
        name: &name,
        centre,
        ip,
        advertised: plan
            .kinds
            .contains(&FaultKind::VmLink)
            .then_some(advertised),
        store: net.address(Block::StoreLinks, index, STORE_PORT),
        disk: disk.as_deref(),
    });
    let file = plan.folder.join(format!("{name}.toml"));
    fs::write(&file, text)?;
    Ok(Config {
        index,
        ip,
        disk,
        settings: file,
        log: plan.folder.join(format!("{name}.log")),
        binary: plan.binary.clone(),
        name,
    })
}

/// Starts a runner and the link to it; two of three runners serve `models`, the third `ops`.
async fn start_backend(net: Net, at: usize, log: runner::Log) -> Backend {
    let id = format!("i-{at:02}");
    let address = net.address(Block::Runners, at, RUNNER_PORT);
    let runner = Runner::start_logging(&id, address, log).await;
    Backend {
        id,
        service: if at % 3 == 2 { "ops" } else { "models" },
        runner,
        link: Link::start(net.address(Block::RunnerLinks, at, RUNNER_PORT), address),
    }
}
