//! State that the parts of a process share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use adapter::header;
use adapter::kv::Freshness;
use adapter::kv::Kv;
use adapter::settings::Settings;
use link::client::Client;
use link::client::Marks;
use link::intake::Intake;
use policy::opening::Opening;
use policy::stop::Stop;
use replica::client::Replicas;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio::time::sleep;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::connections::RUNNER_LIMITS;
use crate::connections::VM_LIMITS;
use crate::crashes::Crashes;
use crate::directory::Directory;
use crate::document;
use crate::doubt;
use crate::fleet::Fleet;
use crate::freshness::Stamp;
use crate::held::Holdings;
use crate::identity;
use crate::ingress;
use crate::ingress::Listeners;
use crate::member_health;
use crate::memory;
use crate::metrics::Metrics;
use crate::peers;
use crate::peers::Access;
use crate::peers::Peers;
use crate::roster::Roster;
use crate::roster::transfer::Part;
use crate::roster::transfer::Transfer;
use crate::settlement;
use crate::subject;
use crate::subject::Knowledge;
use crate::subject::Situation;
use crate::subject::Source;
use crate::subject::Subject;
use crate::table::Table;
use crate::turns::Cache;
use crate::unreadable::Unreadable;
use crate::usage::ledger::Ledger;
use crate::work;

/// How long a call of the key-value service may take. Calls usually take a few milliseconds; this
/// is enough even when the service is fifty times slower, and short enough to notice a lost answer
/// within the time in which a configuration has to be in force.
pub const STORE_TIMEOUT: Millis = Millis::new(900);
/// Age of a VM's knowledge of the runners above which it reads their entries itself, as a
/// percentage of the time in which a leaving runner has to stop getting new calls. In a large
/// deployment the knowledge of most VMs is up to a second old, because it comes through two hubs,
/// and all would read at once if one of these were slow.
const RUNNERS_MAX_AGE_PERCENT: u64 = 60;
/// Age of a VM's knowledge of the configuration above which it reads it itself, as a percentage of
/// the time in which a change has to be in force.
const CONFIG_MAX_AGE_PERCENT: u64 = 60;
/// Number of times that the configuration is proved to be current within the time in which a change
/// has to be in force. On its way through two hubs a proof gets some hundred milliseconds older, and
/// must then still be younger than [`CONFIG_MAX_AGE_PERCENT`] of that time.
const PROOFS_PER_APPLY: u64 = 3;
/// Age of that knowledge above which the VM isn't ready for callers, as a percentage of the age at
/// which it refuses all keys. The balancer then sends them elsewhere before that.
const READY_MAX_AGE_PERCENT: u64 = 60;
/// Number of heartbeats for which a runner's entry is certain not to lapse. It lapses after three
/// missed heartbeats.
const ENTRY_LIFETIME_HEARTBEATS: u64 = 2;
/// How long after its start a VM lets requests wait for information that it still lacks. With the
/// other VMs up, it has everything in under 0.2 s, also after a power loss of all VMs. If it takes
/// longer, the missing information may never come, so requests are refused.
const START_WAIT: Duration = Duration::from_millis(800);
/// How often a waiting request polls. A fraction of the time until a caller's next attempt.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Divisor of the process's memory that gives the size of the turn cache.
const TURN_CACHE_DIVISOR: u64 = 6;
/// Divisor of the process's memory that gives the bytes that requests under way may hold. With the
/// cache that is half of it; the other half is for the process and its connections.
const HELD_DIVISOR: u64 = 3;

/// Shared state of a process.
#[derive(Debug)]
pub struct Node {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock of the process.
    pub clock: Clock,
    /// Client for connections to runners.
    pub runner_client: Arc<Client>,
    /// Client for connections to other VMs.
    pub vm_client: Arc<Client>,
    /// Client of the platform's key-value service.
    pub kv: Kv,
    /// Client of the VMs with a disk.
    pub replicas: Replicas,
    /// The other VMs that take requests.
    pub peers: Mutex<Peers>,
    /// Cache of turns.
    pub turns: Mutex<Cache>,
    /// The bytes that requests under way hold.
    pub holdings: Arc<Holdings>,
    /// Counters and histograms.
    pub metrics: Metrics,
    started: Instant,
    started_at: Millis,
    /// Distinguishes this process's stamps from those of others.
    process: u64,
    in_force: Mutex<InForce>,
    /// Notified when the configuration changes or is proved to be current.
    pub config_news: Notify,
    fleet: Mutex<Fleet>,
    usage: Mutex<Ledger>,
    opening: Mutex<Opening>,
    crashes: Mutex<Crashes>,
    roster: Mutex<Roster>,
    /// The entries that name no runner.
    unreadable: Mutex<Unreadable>,
    /// The runners' entries that another VM is sending in parts.
    roster_transfer: Mutex<Option<Transfer>>,
    directory: Mutex<Directory>,
    /// Whether the directory has been read, so that the VM knows whom to ask.
    directory_read: AtomicBool,
    /// Whether the key-value service failed to answer the last call.
    store_failing: AtomicBool,
    /// Set once the process begins to stop.
    stop: watch::Sender<Option<Stop>>,
    /// Whether enough VMs with a disk answer.
    member_health: Mutex<member_health::Health>,
    /// Held while a suspicion that too few VMs with a disk answer is being checked.
    pub suspicion_check: tokio::sync::Mutex<()>,
    /// When the list of runners was last known to be current, in milliseconds.
    runners_current_at: AtomicU64,
    /// The rights to send the document that other VMs have.
    pub document_permits: document::Permits,
    /// What is fetched from other VMs.
    document_fetches: Mutex<document::Fetches>,
    /// The connections of the listeners.
    pub listeners: Listeners,
    /// The budget of other VMs' messages.
    pub vm_messages: Intake,
    /// Work in progress.
    pub work: Arc<work::Registry>,
    /// The rights to try settlements again.
    pub settlement_retries: Semaphore,
}

/// The configuration in force.
#[derive(Debug, Default)]
struct InForce {
    table: Arc<Table>,
    /// Everything that was acknowledged before this time is part of the table; `None` if that isn't
    /// known of any time.
    current_at: Option<Millis>,
    /// Whether a later configuration was read that can't be taken.
    unreadable: bool,
}

impl Node {
    /// Creates the state of a process that knows no runners, routes or other VMs yet.
    #[must_use]
    pub fn new(settings: Settings, clock: Clock) -> Arc<Self> {
        let runner_client = Client::with_marks(RUNNER_LIMITS, Marks::Repeated(header::request_id));
        let vm_client = Client::new(VM_LIMITS);
        let kv = Kv::new(vm_client.clone(), settings.store, STORE_TIMEOUT);
        let replicas = Replicas::new(
            vm_client.clone(),
            &settings.centre,
            settings.tolerated_losses,
        );
        let memory = memory::shareable(settings.memory_bytes);
        let cache_bytes = usize::try_from(memory / TURN_CACHE_DIVISOR).unwrap_or(usize::MAX);
        Arc::new(Self {
            runner_client,
            vm_client,
            kv,
            replicas,
            peers: Mutex::new(Peers::new(&settings)),
            turns: Mutex::new(Cache::new(cache_bytes)),
            holdings: Holdings::new(memory / HELD_DIVISOR, clock.clone()),
            metrics: Metrics::default(),
            started: Instant::now(),
            started_at: clock.now(),
            process: rand::random(),
            in_force: Mutex::default(),
            config_news: Notify::new(),
            fleet: Mutex::default(),
            usage: Mutex::new(Ledger::new(
                &settings.vm,
                settings.limit_window,
                clock.now(),
            )),
            opening: Mutex::default(),
            crashes: Mutex::default(),
            roster: Mutex::default(),
            unreadable: Mutex::default(),
            roster_transfer: Mutex::default(),
            directory: Mutex::default(),
            directory_read: AtomicBool::new(false),
            store_failing: AtomicBool::new(false),
            stop: watch::Sender::default(),
            member_health: Mutex::default(),
            suspicion_check: tokio::sync::Mutex::default(),
            runners_current_at: AtomicU64::new(0),
            document_permits: document::Permits::default(),
            document_fetches: Mutex::default(),
            listeners: Listeners::new(&settings),
            vm_messages: ingress::vm_messages(&settings),
            work: Arc::default(),
            settlement_retries: Semaphore::new(settlement::MAX_RETRIED),
            settings,
            clock,
        })
    }

    /// Returns the routes in force.
    #[must_use]
    pub fn table(&self) -> Arc<Table> {
        self.in_force().table.clone()
    }

    /// Returns the routes in force and how long ago they were last known to be current.
    #[must_use]
    pub fn table_with_age(&self) -> (Arc<Table>, Option<Millis>) {
        let in_force = self.in_force();
        let age = in_force.current_at.map(|at| self.clock.now().since(at));
        (in_force.table.clone(), age)
    }

    /// Locks what is fetched from other VMs.
    pub fn document_fetches(&self) -> MutexGuard<'_, document::Fetches> {
        let fetches = self.document_fetches.lock();
        fetches.unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts a configuration in force unless one that is as new or newer already is. Returns whether
    /// it did.
    pub fn set_table(&self, table: Table) -> bool {
        let mut in_force = self.in_force();
        if in_force.table.loaded && table.version <= in_force.table.version {
            return false;
        }
        self.listeners.apply(&self.settings, &table);
        in_force.table = Arc::new(table);
        in_force.unreadable = false;
        drop(in_force);
        self.config_news.notify_waiters();
        true
    }

    /// Records that the configuration was changed to one that can't be read. Until a later one is in
    /// force, nothing shows that the one in force is current.
    pub fn note_config_unreadable(&self) {
        self.in_force().unreadable = true;
    }

    /// Records that everything acknowledged before `at` is part of the configuration's `version`.
    pub fn note_config_current(&self, version: u64, at: Millis) {
        let mut in_force = self.in_force();
        if in_force.unreadable || !in_force.table.loaded || in_force.table.version < version {
            return;
        }
        in_force.current_at = in_force.current_at.max(Some(at));
        drop(in_force);
        self.config_news.notify_waiters();
    }

    fn in_force(&self) -> MutexGuard<'_, InForce> {
        self.in_force.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns a stamp of the current time.
    #[must_use]
    pub fn stamp(&self) -> Stamp {
        Stamp {
            process: self.process,
            at: self.clock.now(),
        }
    }

    /// Returns how old a table is, and how old it may be for keys to be checked against it.
    #[must_use]
    pub fn freshness(&self, age: Option<Millis>) -> identity::Freshness {
        identity::Freshness {
            age,
            max_accept: self.settings.revocation,
            max_reject: self.config_max_age(),
            others: self.peers().heard(self.clock.now()),
        }
    }

    /// Returns how old the knowledge of the configuration is and may become.
    #[must_use]
    pub fn config_knowledge(&self) -> doubt::Knowledge {
        let (_, age) = self.table_with_age();
        doubt::Knowledge {
            age,
            max_age: self.config_max_age(),
        }
    }

    /// Returns whether the configuration is recent enough for unknown keys to be refused for good.
    #[must_use]
    pub fn can_identify(&self) -> bool {
        self.table().workspaces.is_none() || self.is_config_proved()
    }

    /// Returns whether the configuration in force is known to have been current recently. Before the
    /// first one there is nothing to prove.
    #[must_use]
    pub fn is_config_proved(&self) -> bool {
        let (table, age) = self.table_with_age();
        !table.loaded || age.is_some_and(|age| age <= self.config_max_age())
    }

    /// Returns whether the configuration is too old for callers to be sent to this VM. While that
    /// holds for most VMs of a data centre, the balancer uses all of them.
    fn is_config_stale(&self) -> bool {
        let (table, age) = self.table_with_age();
        let Some(bound) = self.settings.revocation else {
            return false;
        };
        let max_age = Millis::new(bound.as_u64() * READY_MAX_AGE_PERCENT / 100);
        table.workspaces.is_some() && age.is_none_or(|age| age > max_age)
    }

    /// Returns how often one VM proves to all that the configuration is current.
    #[must_use]
    pub fn proof_interval(&self) -> Millis {
        Millis::new(self.settings.apply.as_u64() / PROOFS_PER_APPLY)
    }

    fn config_max_age(&self) -> Millis {
        Millis::new(self.settings.apply.as_u64() * CONFIG_MAX_AGE_PERCENT / 100)
    }

    /// Locks the runners.
    pub fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the counts of the workspaces' requests.
    pub fn usage(&self) -> MutexGuard<'_, Ledger> {
        self.usage.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the counts of programs that asked to begin.
    pub fn opening(&self) -> MutexGuard<'_, Opening> {
        self.opening.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks what is known of runners that crashed.
    pub fn crashes(&self) -> MutexGuard<'_, Crashes> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the runners' entries.
    pub fn roster(&self) -> MutexGuard<'_, Roster> {
        self.roster.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the entries that name no runner.
    pub fn unreadable(&self) -> MutexGuard<'_, Unreadable> {
        self.unreadable
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a part of the runners' entries that another VM sent. Returns the entries if they are
    /// complete.
    pub fn add_roster_part(&self, vm: &str, part: Part) -> Option<Roster> {
        Transfer::add(&mut self.roster_transfer(), vm, part)
    }

    /// Returns the last of the runners' entries that a VM has sent in parts.
    #[must_use]
    pub fn roster_cursor(&self, vm: &str) -> Option<String> {
        let transfer = self.roster_transfer();
        let cursor = transfer.as_ref()?.cursor(vm);
        cursor.map(str::to_owned)
    }

    fn roster_transfer(&self) -> MutexGuard<'_, Option<Transfer>> {
        self.roster_transfer
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the directory.
    pub fn directory(&self) -> MutexGuard<'_, Directory> {
        self.directory
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the cache of turns.
    pub fn turns(&self) -> MutexGuard<'_, Cache> {
        self.turns.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the other VMs.
    pub fn peers(&self) -> MutexGuard<'_, Peers> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// In the first `START_WAIT` after the process's start, waits until `known` holds, but not
    /// beyond `until`. Later, returns at once.
    ///
    /// After a power loss of all VMs, callers retry within the first tens of milliseconds, and each
    /// refusal would use up one of the few attempts that a turn has.
    pub async fn wait_at_start(&self, known: impl Fn(&Self) -> bool, until: Instant) {
        let until = until.min(self.started + START_WAIT);
        while Instant::now() < until && !known(self) {
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns whether the process started less than `START_WAIT` ago.
    #[must_use]
    pub fn is_starting(&self) -> bool {
        self.clock.now().since(self.started_at).as_duration() < START_WAIT
    }

    /// Records that the directory was read. A copy may be older than the entries of all VMs that
    /// have started with this one, so it counts only if it names a VM of the data centre.
    pub fn note_directory_listed(&self, freshness: Freshness) {
        if freshness == Freshness::Latest || self.directory().covers(&self.settings.centre) {
            self.directory_read.store(true, Ordering::Relaxed);
        }
    }

    /// Records whether the key-value service answered a call.
    pub fn note_access(&self, access: Access) {
        self.store_failing
            .store(access == Access::Failing, Ordering::Relaxed);
    }

    /// Returns whether the key-value service answered the last call.
    #[must_use]
    pub fn access(&self) -> Access {
        if self.store_failing.load(Ordering::Relaxed) {
            Access::Failing
        } else {
            Access::Answered
        }
    }

    /// Returns whether a configuration and at least one runner are known.
    #[must_use]
    pub fn can_route(&self) -> bool {
        self.table().loaded && !self.fleet().runners().is_empty()
    }

    /// Marks the process as stopping and returns the schedule of the stop. A second call returns
    /// the schedule of the first.
    pub fn begin_stop(&self) -> Stop {
        let begun = Stop::new(self.clock.now(), self.settings.grace);
        let stop = self.stop().unwrap_or(begun);
        self.stop.send_replace(Some(stop));
        stop
    }

    /// Returns the schedule of the stop if the process is stopping.
    #[must_use]
    pub fn stop(&self) -> Option<Stop> {
        *self.stop.borrow()
    }

    /// Waits until the process begins to stop and returns the schedule of the stop.
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

    /// Locks the state that tells whether enough VMs with a disk answer.
    pub fn member_health(&self) -> MutexGuard<'_, member_health::Health> {
        self.member_health
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether enough VMs with a disk answer for turns to be served.
    #[must_use]
    pub fn can_serve_turns(&self) -> bool {
        self.member_health().serves_turns()
    }

    /// Records that the list of runners was current at `now`.
    pub fn note_runners_current(&self, now: Millis) {
        self.runners_current_at
            .fetch_max(now.as_u64(), Ordering::Relaxed);
    }

    /// Returns the age of the list of runners.
    #[must_use]
    pub fn runners_age(&self) -> Millis {
        let current_at = Millis::new(self.runners_current_at.load(Ordering::Relaxed));
        self.clock.now().since(current_at)
    }

    /// Returns how long ago the configuration in force was last known to be current; since the
    /// clock's origin if that was never known.
    #[must_use]
    pub fn config_age(&self) -> Millis {
        let (_, age) = self.table_with_age();
        age.unwrap_or_else(|| self.clock.now())
    }

    /// Returns whether entries of running runners may have lapsed since the list of runners was
    /// last current. An entry lapses when it can't be renewed for some heartbeats.
    #[must_use]
    pub fn may_have_lapsed(&self) -> bool {
        let certain_for = Millis::new(self.settings.heartbeat.as_u64() * ENTRY_LIFETIME_HEARTBEATS);
        self.runners_age() > certain_for
    }

    /// Returns how current the information from other VMs is.
    fn knowledge(&self, subject: Subject, role: peers::Role, peers: &Peers) -> Knowledge {
        let is_starting = self.is_starting();
        if is_starting && !self.directory_read.load(Ordering::Relaxed) {
            return Knowledge::None;
        }
        let asks_hub = is_starting && role == peers::Role::Leaf;
        let is_overdue = subject == Subject::Proof && document::is_overdue(self);
        if is_overdue && !is_starting {
            return Knowledge::Stale;
        }
        if asks_hub || self.is_current(subject) {
            return Knowledge::Current;
        }
        if role == peers::Role::Leaf && !peers.reads_for_stale_hub(self.clock.now()) {
            return Knowledge::Awaited;
        }
        Knowledge::Stale
    }

    /// Returns whether what this VM knows of a subject is recent. What comes in the same messages as
    /// the runners' entries is as current as they are.
    fn is_current(&self, subject: Subject) -> bool {
        let max_age = self.settings.drain.as_u64() * RUNNERS_MAX_AGE_PERCENT / 100;
        let runners_are_current = self.runners_age() <= Millis::new(max_age);
        match subject {
            Subject::Proof => self.is_config_proved(),
            Subject::Config | Subject::Runners | Subject::Own => runners_are_current,
        }
    }

    /// Returns where this VM currently learns of a subject.
    #[must_use]
    pub fn source(&self, subject: Subject) -> Source {
        let now = self.clock.now();
        let settings = &self.settings;
        let peers = self.peers();
        let role = peers.exchange_role(&settings.vm, &settings.centre, now);
        let situation = Situation {
            role,
            is_listed: peers.lists_own(),
            is_reader: peers.is_reader(&settings.vm, now) && self.access() == Access::Answered,
            knowledge: self.knowledge(subject, role, &peers),
        };
        subject::source(subject, situation)
    }

    /// Returns whether the process can serve callers' requests.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let table = self.table();
        if !self.can_route() || self.stop().is_some() || self.is_config_stale() {
            return false;
        }
        !table.has_streams() || self.member_health().is_ready(self.clock.now())
    }
}
