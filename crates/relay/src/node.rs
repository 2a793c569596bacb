//! What the parts of a process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::kv::Kv;
use adapter::settings::Settings;
use link::client::Client;
use link::client::Limits;
use policy::stop::Stop;
use replica::client::Replicas;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::records::Records;
use crate::roster::Roster;
use crate::subject;
use crate::subject::Source;
use crate::subject::Subject;
use crate::table::Table;
use crate::turns::Cache;
use crate::work;

/// How long a call of the key-value service may take: well above its usual few milliseconds, also
/// where it is fifty times slower, and short enough that a lost answer is noticed within the time
/// in which a configuration has to be in force.
pub const STORE_TIMEOUT: Millis = Millis::new(900);
/// How long a connection to a runner or VM may take: data centres are a few milliseconds apart.
const CONNECT: Duration = Duration::from_millis(250);
/// How long sent bytes may go unacknowledged before the connection counts as dead: above a packet
/// that is sent again twice (after 0.2 and 0.4 s). In a partition everything on kept connections
/// hangs for this long before anyone knows.
const SILENCE: Duration = Duration::from_millis(650);
/// How long an unused connection to a runner is kept. Runners that close sooner say so.
const KEEP: Duration = Duration::from_secs(4);
/// How long a connection rests after an answer; a second answer of a faulty runner comes within
/// some milliseconds.
const REST: Duration = Duration::from_millis(5);
/// The most unused connections to a runner: more than the requests that one VM has at it.
const IDLE: usize = 24;
/// How old a VM's knowledge of the runners may be before it reads their entries itself: a little
/// over half of the time in which a leaving runner has to be free of new calls.
const STALE: Millis = Millis::new(1_200);
/// Heartbeats of a runner within which its entry doesn't lapse; three of silence end it.
const RENEWED: u64 = 2;
/// How long after its start a VM lets requests wait for what it has yet to learn. All of it takes
/// under 0.2 s where the others are there (measured after a loss of all power); one that takes
/// longer has something to wait for that may not come, and refuses.
const START: Duration = Duration::from_millis(800);
/// How often a waiting request looks again: a fraction of the time that a client's next try takes.
const LOOK: Duration = Duration::from_millis(5);
/// The share of the process's memory for turns at hand, as a divisor.
const TURNS_SHARE: u64 = 6;

/// A process's parts.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The time.
    pub clock: Clock,
    /// Connections to runners.
    pub runners: Arc<Client>,
    /// Connections to other VMs.
    pub vms: Arc<Client>,
    /// The platform's key-value service.
    pub kv: Kv,
    /// The VMs with a disk.
    pub replicas: Replicas,
    /// Other VMs of the same role.
    pub peers: Mutex<Peers>,
    /// Turns at hand.
    pub turns: Mutex<Cache>,
    /// The figures.
    pub metrics: Metrics,
    started: Instant,
    table: Mutex<Arc<Table>>,
    fleet: Mutex<Fleet>,
    roster: Mutex<Roster>,
    /// Set once the process stops.
    stop: watch::Sender<Option<Stop>>,
    /// Whether enough VMs with a disk answer.
    records: Mutex<Records>,
    /// Held while a doubt of that is settled.
    pub settling: tokio::sync::Mutex<()>,
    /// When the runners' list was last known to be current.
    runners_at: AtomicU64,
    /// When the configuration in force was last known to be current.
    config_at: AtomicU64,
    /// What is under way.
    pub work: Arc<work::Register>,
}

impl Node {
    /// Makes a process's parts.
    #[must_use]
    pub fn new(settings: Settings, clock: Clock) -> Arc<Self> {
        let limits = Limits {
            connect: CONNECT,
            silence: SILENCE,
            keep: KEEP,
            rest: REST,
            idle: IDLE,
        };
        let runners = Client::new(limits);
        let vms = Client::new(Limits {
            rest: Duration::ZERO,
            ..limits
        });
        let kv = Kv::new(vms.clone(), settings.store, STORE_TIMEOUT);
        let replicas = Replicas::new(vms.clone(), &settings.centre, settings.tolerated_losses);
        let turns = usize::try_from(settings.memory_bytes / TURNS_SHARE).unwrap_or(usize::MAX);
        Arc::new(Self {
            runners,
            vms,
            kv,
            replicas,
            peers: Mutex::default(),
            turns: Mutex::new(Cache::new(turns)),
            metrics: Metrics::default(),
            started: Instant::now(),
            table: Mutex::default(),
            fleet: Mutex::default(),
            roster: Mutex::default(),
            stop: watch::Sender::default(),
            records: Mutex::default(),
            settling: tokio::sync::Mutex::default(),
            runners_at: AtomicU64::new(0),
            config_at: AtomicU64::new(0),
            work: Arc::default(),
            settings,
            clock,
        })
    }

    /// Yields the routes in force.
    #[must_use]
    pub fn table(&self) -> Arc<Table> {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Puts a configuration in force, unless a newer one is.
    pub fn set_table(&self, table: Table) -> bool {
        let mut own = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if own.known && table.version <= own.version {
            return false;
        }
        *own = Arc::new(table);
        true
    }

    /// Yields the runners.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Yields the runners' entries.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Yields the turns at hand.
    pub fn turns(&self) -> MutexGuard<'_, Cache> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Yields the other VMs.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits just after the process's start until `known` holds; at other times, or where it takes
    /// too long, returns at once.
    ///
    /// After a loss of all power the clients' tries come within the first tens of milliseconds, and
    /// each refusal would use one of the few tries up that a turn has.
    pub async fn wait_at_start(&self, known: impl Fn(&Self) -> bool, until: Instant) {
        let until = until.min(self.started + START);
        while !known(self) && Instant::now() < until {
            sleep(LOOK).await;
        }
    }

    /// Tells whether a configuration and runners are known.
    #[must_use]
    pub fn can_route(&self) -> bool {
        self.table().known && !self.fleet().runners().is_empty()
    }

    /// Notes that the process stops from now on, and yields how.
    pub fn begin_stop(&self) -> Stop {
        let begun = Stop::new(self.clock.now(), self.settings.grace);
        let stop = self.stop().unwrap_or(begun);
        self.stop.send_replace(Some(stop));
        stop
    }

    /// Yields how the process stops, if it does.
    #[must_use]
    pub fn stop(&self) -> Option<Stop> {
        *self.stop.borrow()
    }

    /// Waits until the process stops, and yields how.
    pub async fn stopping(&self) -> Stop {
        let mut told = self.stop.subscribe();
        let stop = match told.wait_for(Option::is_some).await {
            Ok(stop) => *stop,
            Err(_) => None,
        };
        match stop {
            Some(stop) => stop,
            None => std::future::pending().await,
        }
    }

    /// Yields whether enough VMs with a disk answer.
    pub fn records(&self) -> MutexGuard<'_, Records> {
        self.records.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Tells whether turns can be served, as far as the VMs with a disk go.
    #[must_use]
    pub fn has_records(&self) -> bool {
        self.records().serves()
    }

    /// Notes that the runners' list is current.
    pub fn set_runners_at(&self, now: Millis) {
        self.runners_at.fetch_max(now.as_u64(), Ordering::Relaxed);
    }

    /// Yields how old the runners' list is.
    #[must_use]
    pub fn runners_age(&self) -> Millis {
        let at = Millis::new(self.runners_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Notes that the configuration in force is current.
    pub fn set_config_at(&self, now: Millis) {
        self.config_at.fetch_max(now.as_u64(), Ordering::Relaxed);
    }

    /// Yields how long ago the VM last heard that its configuration is current: from the key-value
    /// service, or from its hub, whose messages tell of both the configuration and the runners.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        if self.source(Subject::Config) == Source::Peers {
            return self.runners_age();
        }
        let at = Millis::new(self.config_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Tells whether entries of runners that live may have lapsed since the runners' list was current:
    /// one does that couldn't be renewed for some heartbeats.
    #[must_use]
    pub fn may_have_lapsed(&self) -> bool {
        let renewed = Millis::new(self.settings.heartbeat.as_u64() * RENEWED);
        self.runners_age() > renewed
    }

    /// Tells whether the runners' list is too old to rely on.
    #[must_use]
    fn is_runners_list_stale(&self) -> bool {
        self.runners_age() > STALE
    }

    /// Yields where this VM learns of a subject now.
    #[must_use]
    pub fn source(&self, subject: Subject) -> Source {
        let now = self.clock.now();
        let settings = &self.settings;
        let (place, reads) = {
            let peers = self.peers();
            let place = peers.place(&settings.vm, &settings.centre, now);
            (place, peers.is_reader(&settings.vm, now))
        };
        subject::source(subject, place, reads, self.is_runners_list_stale())
    }

    /// Tells whether the process can serve what clients ask.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let table = self.table();
        if !self.can_route() || self.stop().is_some() {
            return false;
        }
        !table.has_streams() || self.records().is_ready()
    }
}
