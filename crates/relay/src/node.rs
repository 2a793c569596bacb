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
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long sent bytes may go unacknowledged before the connection counts as dead: above a packet
/// that is sent again twice (after 0.2 and 0.4 s). In a partition everything on kept connections
/// hangs for this long before anyone knows.
const UNACKED_TIMEOUT: Duration = Duration::from_millis(650);
/// How long an unused connection to a runner is kept. Runners that close sooner say so.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// How long a connection rests after an answer; a second answer of a faulty runner comes within
/// some milliseconds.
const REUSE_DELAY: Duration = Duration::from_millis(5);
/// The most unused connections to a runner: more than the requests that one VM has at it.
const MAX_IDLE_CONNECTIONS: usize = 24;
/// How old a VM's knowledge of the runners may be before it reads their entries itself: a little
/// over half of the time in which a leaving runner has to be free of new calls.
const RUNNERS_MAX_AGE: Millis = Millis::new(1_200);
/// Heartbeats of a runner within which its entry doesn't lapse; three of silence end it.
const ENTRY_LIFETIME_HEARTBEATS: u64 = 2;
/// How long after its start a VM lets requests wait for what it has yet to learn. All of it takes
/// under 0.2 s where the others are there (measured after a loss of all power); one that takes
/// longer has something to wait for that may not come, and refuses.
const START_WAIT: Duration = Duration::from_millis(800);
/// How often a waiting request looks again: a fraction of the time that a client's next try takes.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The share of the process's memory for turns at hand, as a divisor.
const TURN_CACHE_DIVISOR: u64 = 6;

/// A process's parts.
#[derive(Debug)]
pub struct Node {
    /// The settings.
    pub settings: Settings,
    /// The time.
    pub clock: Clock,
    /// Connections to runners.
    pub runner_client: Arc<Client>,
    /// Connections to other VMs.
    pub vm_client: Arc<Client>,
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
    pub records_check: tokio::sync::Mutex<()>,
    /// When the runners' list was last known to be current.
    runners_current_at: AtomicU64,
    /// When the configuration in force was last known to be current.
    config_current_at: AtomicU64,
    /// What is under way.
    pub work: Arc<work::Registry>,
}

impl Node {
    /// Makes a process's parts.
    #[must_use]
    pub fn new(settings: Settings, clock: Clock) -> Arc<Self> {
        let limits = Limits {
            connect: CONNECT_TIMEOUT,
            silence: UNACKED_TIMEOUT,
            keep: IDLE_TIMEOUT,
            rest: REUSE_DELAY,
            idle: MAX_IDLE_CONNECTIONS,
        };
        let runner_client = Client::new(limits);
        let vm_client = Client::new(Limits {
            rest: Duration::ZERO,
            ..limits
        });
        let kv = Kv::new(vm_client.clone(), settings.store, STORE_TIMEOUT);
        let replicas = Replicas::new(vm_client.clone(), &settings.centre, settings.losses);
        let cache_bytes =
            usize::try_from(settings.memory_bytes / TURN_CACHE_DIVISOR).unwrap_or(usize::MAX);
        Arc::new(Self {
            runner_client,
            vm_client,
            kv,
            replicas,
            peers: Mutex::default(),
            turns: Mutex::new(Cache::new(cache_bytes)),
            metrics: Metrics::default(),
            started: Instant::now(),
            table: Mutex::default(),
            fleet: Mutex::default(),
            roster: Mutex::default(),
            stop: watch::Sender::default(),
            records: Mutex::default(),
            records_check: tokio::sync::Mutex::default(),
            runners_current_at: AtomicU64::new(0),
            config_current_at: AtomicU64::new(0),
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
        let mut current = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if current.known && table.version <= current.version {
            return false;
        }
        *current = Arc::new(table);
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
        let until = until.min(self.started + START_WAIT);
        while !known(self) && Instant::now() < until {
            sleep(POLL_INTERVAL).await;
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
        let mut receiver = self.stop.subscribe();
        let stop = match receiver.wait_for(Option::is_some).await {
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
    pub fn note_runners_current(&self, now: Millis) {
        self.runners_current_at
            .fetch_max(now.as_u64(), Ordering::Relaxed);
    }

    /// Yields how old the runners' list is.
    #[must_use]
    pub fn runners_age(&self) -> Millis {
        let at = Millis::new(self.runners_current_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Notes that the configuration in force is current.
    pub fn note_config_current(&self, now: Millis) {
        self.config_current_at
            .fetch_max(now.as_u64(), Ordering::Relaxed);
    }

    /// Yields how long ago the VM last heard that its configuration is current: from the key-value
    /// service, or from its hub, whose messages tell of both the configuration and the runners.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        if self.source(Subject::Config) == Source::Peers {
            return self.runners_age();
        }
        let at = Millis::new(self.config_current_at.load(Ordering::Relaxed));
        self.clock.now().since(at)
    }

    /// Tells whether entries of runners that live may have lapsed since the runners' list was current:
    /// one does that couldn't be renewed for some heartbeats.
    #[must_use]
    pub fn may_have_lapsed(&self) -> bool {
        let renewed = Millis::new(self.settings.heartbeat.as_u64() * ENTRY_LIFETIME_HEARTBEATS);
        self.runners_age() > renewed
    }

    /// Tells whether the runners' list is too old to rely on.
    #[must_use]
    fn is_runners_list_stale(&self) -> bool {
        self.runners_age() > RUNNERS_MAX_AGE
    }

    /// Yields where this VM learns of a subject now.
    #[must_use]
    pub fn source(&self, subject: Subject) -> Source {
        let now = self.clock.now();
        let settings = &self.settings;
        let (role, is_reader) = {
            let peers = self.peers();
            let role = peers.exchange_role(&settings.vm, &settings.centre, now);
            (role, peers.is_reader(&settings.vm, now))
        };
        subject::source(subject, role, is_reader, self.is_runners_list_stale())
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
