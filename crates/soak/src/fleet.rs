//! The deployment of a run: the product's processes, the stand-ins that they work with, and the
//! links between, and what the faults do to them.

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
use crate::fault::Fault;
use crate::fault::Harm;
use crate::fault::Kind as FaultKind;
use crate::fault::Pair;
use crate::opener::Openers;
use crate::oracle::Oracle;
use crate::plan::Plan;
use crate::proxy::Fan;
use crate::proxy::Link;
use crate::proxy::Mode;
use crate::request::Kind;
use crate::request::LONG_MS;
use crate::request::Want;
use crate::vm::Place;
use crate::vm::Vm;
use crate::world::World;

/// How many VMs with a disk there are, in as many data centres.
pub const DISKS: usize = 3;
/// How long the start of all processes may take.
const START: Duration = Duration::from_secs(30);
/// How long a runner that leaves goes on: longer than the longest request.
const LEAVES_AFTER: Duration = Duration::from_secs(8);
/// How long it is gone until it starts again.
const GONE: Duration = Duration::from_secs(2);
/// After a crash, when a runner's entry lapses: three heartbeats.
const LAPSE: Duration = Duration::from_millis(3 * settings::HEARTBEAT_MS);
/// How long after SIGTERM a VM may still say that it is ready.
const LEAVES: Duration = Duration::from_secs(4);
/// How many of the routes that configurations add are in force at a time.
const ROUTES: u64 = 2;
/// The ports of the store and the runners.
const STORE_PORT: u16 = 8142;
const RUNNER_PORT: u16 = 8080;

/// A runner and the link to it.
#[derive(Debug)]
struct Backend {
    id: String,
    service: &'static str,
    runner: Runner,
    link: Link,
}

/// A deployment.
#[derive(Debug)]
pub struct Fleet {
    /// What its parts share.
    pub world: Arc<World>,
    /// VMs that take callers, and behind them those with a disk.
    pub vms: Vec<Arc<Vm>>,
    store: Store,
    /// By VM.
    store_links: Vec<Link>,
    /// What VMs send each other, by target; only where a run disturbs it.
    vm_links: Vec<Fan>,
    /// What clients send, by VM; only where a run disturbs it.
    client_links: Vec<Link>,
    runners: Vec<Backend>,
    /// The configuration's version.
    version: Mutex<u64>,
}

/// Addresses of one run: the process's id and the run's number in it choose the net, so that runs
/// beside each other don't meet. A part of the net is one number in the address's third place, or as
/// many as it needs.
#[derive(Clone, Copy, Debug)]
struct Net {
    second: u8,
    third: u8,
}

/// A part of a run's net, by the first of its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Vms = 0,
    StoreLinks = 2,
    VmLinks = 4,
    ClientLinks = 6,
    Runners = 8,
    RunnerLinks = 9,
    Store = 10,
}

/// How many addresses each number of a part has.
const NET_SIZE: usize = 200;

impl Net {
    /// Yields the net of the next run.
    fn next() -> Self {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        let run = RUNS.fetch_add(1, Ordering::Relaxed);
        let id = process::id();
        let part = |value: u32| u8::try_from(value).unwrap_or_default();
        Self {
            second: part(1 + id % 250),
            third: part(10 + (id / 250 + run) % 20 * 12),
        }
    }

    fn ip(self, of: Part, at: usize) -> IpAddr {
        let part = |value: usize| u8::try_from(value).unwrap_or_default();
        let third = self.third + of as u8 + part(at / NET_SIZE);
        IpAddr::from([127, self.second, third, part(1 + at % NET_SIZE)])
    }

    fn link(self, of: Part, at: usize, port: u16) -> SocketAddr {
        SocketAddr::new(self.ip(of, at), port)
    }
}

impl Fleet {
    /// Starts the stand-ins and prepares the VMs, without their processes.
    ///
    /// # Errors
    ///
    /// Fails where the run's folder can't be made; one that is there holds another run's disks.
    pub async fn new(plan: &Plan) -> io::Result<Self> {
        if let Some(parent) = plan.folder.parent() {
            fs::create_dir_all(parent)?;
        }
        fs::create_dir(&plan.folder)?;
        let net = Net::next();
        let store = Store::start(net.link(Part::Store, 0, STORE_PORT)).await;
        let mut vms = Vec::new();
        let mut store_links = Vec::new();
        for at in 0..plan.vms + DISKS {
            let address = net.link(Part::StoreLinks, at, STORE_PORT);
            store_links.push(Link::start(address, store.address));
            vms.push(Vm::new(place(plan, net, at)?));
        }
        let vm_links = vm_links(plan, net, &vms);
        let client_links = client_links(plan, net, &vms);
        let log = runner::Log::default();
        let mut runners = Vec::new();
        for at in 0..plan.runners {
            runners.push(backend(net, at, log.clone()).await);
        }
        let rows = vms[..plan.vms].iter().enumerate().map(|(at, vm)| Row {
            centre: at % DISKS,
            callers: client_links
                .get(at)
                .map_or(vm.callers(), |link| link.address),
            ready: vm.ready(),
            misses: 2,
        });
        let balancer = Balancer::new(rows.collect());
        let names = vms.iter().map(|vm| vm.place.name.clone()).collect();
        let oracle = Oracle::new(Instant::now(), names, log);
        Ok(Self {
            world: Arc::new(World::new(balancer, DISKS, oracle)),
            vms,
            store,
            store_links,
            vm_links,
            client_links,
            runners,
            version: Mutex::new(0),
        })
    }

    /// Waits until all VMs serve.
    ///
    /// # Errors
    ///
    /// Fails where they don't in time.
    pub async fn ready(&self) -> io::Result<()> {
        for backend in &self.runners {
            self.enter(backend, "ready");
        }
        self.configure();
        let begun = Instant::now();
        loop {
            self.world.balancer.ask().await;
            let rows = self.world.balancer.rows();
            let is_ready = rows.iter().all(|row| row.misses == 0);
            if is_ready && self.store.members() == DISKS {
                // The last member has still to learn what the others hold.
                sleep(Duration::from_secs(1)).await;
                return Ok(());
            }
            if begun.elapsed() > START {
                return Err(io::Error::other(format!("not ready in time: {rows:?}")));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Does what a fault says, to its end.
    ///
    /// # Errors
    ///
    /// Fails where a signal can't be sent.
    pub async fn apply(&self, fault: Fault) -> io::Result<()> {
        match fault {
            Fault::Stop(vm) => self.stop(&self.vms[vm]).await?,
            Fault::Reload(vm) => self.vms[vm].reload(&self.world)?,
            Fault::Configure => self.configure_and_ask().await,
            Fault::Kill(vm) => self.vms[vm].kill(&self.world)?,
            Fault::Pause(vm, span) => self.vms[vm].pause(&self.world, span).await?,
            Fault::Wipe(vm) => self.vms[vm].wipe(&self.world)?,
            Fault::StoreAway(span) => {
                self.store.set_down(true);
                self.disrupt(span).await;
                self.store.set_down(false);
            }
            Fault::RunnerLeaves(at) => self.leave(&self.runners[at], true_entry).await,
            Fault::RunnerUnlisted(at) => self.leave(&self.runners[at], no_entry).await,
            Fault::RunnerFails(at, failure, count) => {
                self.runners[at].runner.play(&vec![failure.mode(); count]);
            }
            Fault::RunnerDown(at, span) => self.crash(&self.runners[at], span).await,
            Fault::Link(pair, harm, span) => {
                let links = self.links(pair, harm);
                for (link, harm) in &links {
                    harm_link(link, *harm);
                }
                self.disrupt(span).await;
                for (link, _) in links {
                    link.set_mode(Mode::Open);
                }
            }
            Fault::SlowBodies(span) => {
                self.world.slow_down();
                sleep(span.as_duration()).await;
                self.world.hurry();
            }
        }
        Ok(())
    }

    /// Yields the links of a pair, each with its harm.
    fn links(&self, pair: Pair, harm: Harm) -> Vec<(&Link, Harm)> {
        match pair {
            Pair::Store(vm) => vec![(&self.store_links[vm], harm)],
            Pair::Runner(at) => vec![(&self.runners[at].link, harm)],
            Pair::Client(vm) => vec![(&self.client_links[vm], harm)],
            Pair::Vms(from, to) => vec![(&self.vm_links[to].links[from], harm)],
            Pair::Around(vm) => {
                let from = self.vm_links.iter().map(|fan| (&fan.links[vm], harm));
                let to = self.vm_links[vm].links.iter();
                let to = to.map(|link| (link, harm.from_other_end()));
                from.chain(to).collect()
            }
        }
    }

    /// Notes a disruption for a while.
    async fn disrupt(&self, span: Millis) {
        let ticket = {
            let mut oracle = self.world.oracle();
            let now = oracle.now();
            oracle.history.disrupt(now)
        };
        sleep(span.as_duration()).await;
        let mut oracle = self.world.oracle();
        let now = oracle.now();
        oracle.history.restore(ticket, now);
    }

    async fn stop(&self, vm: &Vm) -> io::Result<()> {
        if !vm.stop(&self.world)? || vm.place.disk.is_some() {
            return Ok(());
        }
        let begun = vm.stopped_at();
        sleep(LEAVES).await;
        let status = caller::status(vm.ready(), "/-/readyz").await;
        if begun.is_some() && vm.stopped_at() == begun {
            let broken = (status == Some(200)).then_some("still ready");
            self.world
                .oracle()
                .note_vm(Check::Leaves, vm.place.at, broken);
        }
        Ok(())
    }

    fn enter(&self, backend: &Backend, state: &str) {
        self.store
            .put_runner(&backend.id, backend.service, backend.link.address, state);
    }

    /// Writes a configuration with a route that the one before lacks, and without one that it has;
    /// yields its version.
    fn configure(&self) -> u64 {
        let mut version = self.version();
        *version += 1;
        let kept = r#","attempts":1,"retain":true,"retainS":60.0"#;
        let mut more = format!(
            ",{}",
            store::route("long", "stream", "models", LONG_MS, kept)
        );
        let oldest = version.saturating_sub(ROUTES - 1).max(1);
        for version in oldest..=*version {
            let name = format!("new-{version}");
            let rest = r#","attempts":2"#;
            let route = store::route(&name, "idempotent", "ops", store::USUAL_MS, rest);
            more = format!("{more},{route}");
        }
        self.store.configure(*version, &more);
        *version
    }

    fn version(&self) -> MutexGuard<'_, u64> {
        self.version.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a configuration, and asks each sound VM for the routes that it adds and drops once it
    /// has to be in force.
    async fn configure_and_ask(&self) {
        let version = self.configure();
        sleep(Duration::from_millis(settings::APPLY_MS)).await;
        let callers = self.vms.iter().filter(|vm| vm.place.disk.is_none());
        for vm in callers.filter(|vm| vm.is_sound()) {
            // A later one may have dropped the route again.
            if *self.version() == version {
                self.ask(vm, Kind::Added(version)).await;
            }
            if version > ROUTES {
                self.ask(vm, Kind::Dropped(version - ROUTES)).await;
            }
        }
    }

    /// Asks a VM once, whatever the balancer says.
    async fn ask(&self, vm: &Vm, kind: Kind) {
        let want = Want {
            kind,
            events: 1,
            pause: Duration::ZERO,
            deadline: Duration::from_secs(1),
            leaves: None,
            pace: Pace::AtOnce,
            input: "which configuration\n".into(),
            turn: None,
        };
        let Ok(mut connection) = Connection::open(vm.place.at, vm.callers()).await else {
            return;
        };
        let id = self.world.oracle().begin(vm.place.at, &want, want.deadline);
        let request = caller::request(&caller::Params {
            id: &id,
            path: &want.path(),
            deadline: want.deadline,
            program: None,
            turn: None,
            body: want.input.clone(),
        });
        let request = request.map(|_| Body::new(want.input.clone(), want.pace));
        let until = Instant::now() + want.deadline;
        let outcome = connection.ask(request, until).await;
        self.world.oracle().finish(&id, &outcome);
    }

    /// Has a runner leave and come back; `tell` writes or removes its entry.
    async fn leave(&self, backend: &Backend, tell: fn(&Self, &Backend)) {
        {
            let mut oracle = self.world.oracle();
            let now = oracle.now();
            if oracle.history.left_at(&backend.id, now).is_some() {
                return;
            }
            oracle.history.leave(&backend.id, now);
        }
        tell(self, backend);
        sleep(LEAVES_AFTER).await;
        no_entry(self, backend);
        backend.link.set_mode(Mode::Down);
        sleep(GONE).await;
        self.come_back(backend);
    }

    fn come_back(&self, backend: &Backend) {
        let mut oracle = self.world.oracle();
        let now = oracle.now();
        oracle.history.come_back(&backend.id, now);
        drop(oracle);
        backend.link.set_mode(Mode::Open);
        self.enter(backend, "ready");
    }

    /// Has a runner go at once; its entry lapses if it is away for long.
    async fn crash(&self, backend: &Backend, span: Millis) {
        backend.link.set_mode(Mode::Down);
        let lapse = async {
            sleep(LAPSE).await;
            if span.as_duration() > LAPSE {
                no_entry(self, backend);
            }
        };
        tokio::join!(self.disrupt(span), lapse);
        self.come_back(backend);
    }
}

fn true_entry(fleet: &Fleet, backend: &Backend) {
    fleet.enter(backend, "draining");
}

fn no_entry(fleet: &Fleet, backend: &Backend) {
    fleet.store.remove_runner(&backend.id);
}

fn harm_link(link: &Link, harm: Harm) {
    match harm {
        Harm::Slow(span) => link.set_mode(Mode::Slow(span)),
        Harm::Cut => link.set_mode(Mode::Cut),
        Harm::CutOneWay(way) => link.set_mode(Mode::CutOneWay(way)),
        Harm::Reset => link.reset(),
        Harm::Silence => link.silence(),
    }
}

/// Starts proxies between VMs, where the run disturbs what they send each other.
fn vm_links(plan: &Plan, net: Net, vms: &[Arc<Vm>]) -> Vec<Fan> {
    if !plan.kinds.contains(&FaultKind::VmLink) {
        return Vec::new();
    }
    let all: Arc<[Arc<Vm>]> = vms.into();
    let openers = Arc::new(Openers::default());
    let source = move |from, to| {
        let ids = || all.iter().map(|vm| vm.id()).collect();
        openers.find(ids, from, to).ok().flatten()
    };
    let fan = |(at, vm): (usize, &Arc<Vm>)| {
        let address = net.link(Part::VmLinks, at, settings::PEERS);
        Fan::start(address, vm.peers(), vms.len(), source.clone())
    };
    vms.iter().enumerate().map(fan).collect()
}

/// Starts proxies between clients and VMs, where the run disturbs what they send.
fn client_links(plan: &Plan, net: Net, vms: &[Arc<Vm>]) -> Vec<Link> {
    if !plan.kinds.contains(&FaultKind::ClientLink) {
        return Vec::new();
    }
    let link = |(at, vm): (usize, &Arc<Vm>)| {
        let address = net.link(Part::ClientLinks, at, settings::CALLERS);
        Link::start(address, vm.callers())
    };
    vms[..plan.vms].iter().enumerate().map(link).collect()
}

/// Prepares a VM's folder and settings file.
fn place(plan: &Plan, net: Net, at: usize) -> io::Result<Place> {
    let ip = net.ip(Part::Vms, at);
    let centre = ["a", "b", "c"][at % DISKS];
    let is_disk = at >= plan.vms;
    let name = if is_disk {
        format!("store-{centre}-1")
    } else {
        format!("front-{centre}-{}", at / DISKS + 1)
    };
    let disk = is_disk.then(|| plan.folder.join(&name));
    let advertised = net.link(Part::VmLinks, at, settings::PEERS);
    let text = settings::text(&settings::Vm {
        name: &name,
        centre,
        ip,
        advertised: plan
            .kinds
            .contains(&FaultKind::VmLink)
            .then_some(advertised),
        store: net.link(Part::StoreLinks, at, STORE_PORT),
        disk: disk.as_deref(),
    });
    let file = plan.folder.join(format!("{name}.toml"));
    fs::write(&file, text)?;
    Ok(Place {
        at,
        ip,
        disk,
        settings: file,
        log: plan.folder.join(format!("{name}.log")),
        binary: plan.binary.clone(),
        name,
    })
}

/// Starts a runner: two of three serve models.
async fn backend(net: Net, at: usize, log: runner::Log) -> Backend {
    let id = format!("i-{at:02}");
    let address = net.link(Part::Runners, at, RUNNER_PORT);
    let runner = Runner::start_logging(&id, address, log).await;
    Backend {
        id,
        service: if at % 3 == 2 { "ops" } else { "models" },
        runner,
        link: Link::start(net.link(Part::RunnerLinks, at, RUNNER_PORT), address),
    }
}
