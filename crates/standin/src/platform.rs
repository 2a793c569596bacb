//! Stand-in for the platform: an etcd v3 JSON gateway and a list of VMs and endpoints that can lag
//! behind its changes.
//!
//! Paths: `/v3/kv/*`, `/v3/lease/*` and `/v3/watch` as in the etcd gateway; `GET /vms` and
//! `POST /vms` read and set the list; `GET /stats` returns [`Stats`]; `POST /faults` sets
//! [`Faults`]; `POST /deliver` applies the delayed writes.

mod gateway;
pub mod store;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::Weak;
use std::time::Duration;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use platform::edge::Machine;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;
use crate::http::Server;
use crate::platform::store::Store;

/// Interval between checks for expired leases.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

/// Limits of a platform stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Writes per second; lease calls count as writes.
    pub writes: u32,
    /// Reads per second; a watch counts as one read when it starts.
    pub reads: u32,
    /// Time until a change of the VM list becomes visible.
    pub lag: Millis,
    /// Minimum number of changes kept for watches that start at an earlier revision.
    pub kept_changes: usize,
}

impl Default for Settings {
    /// Returns the rate limits that the real platform is specified to have.
    fn default() -> Self {
        Self {
            writes: 300,
            reads: 2_000,
            lag: Millis::ZERO,
            kept_changes: 5_000,
        }
    }
}

/// Whether and how the platform is unavailable.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Outage {
    /// The platform is available.
    #[default]
    Off,
    /// Refuses each call at once with status 503.
    Refuse,
    /// Drops each connection before the call takes effect.
    Drop,
    /// Never answers.
    Hang,
}

/// The faults to inject. `POST /faults` sets the fields in its body and leaves the others
/// unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// The kind of outage, if any. Setting an outage also ends all watches.
    pub down: Outage,
    /// Delay of each answer in milliseconds.
    pub slow_ms: u64,
    /// How many of the next writes take effect but lose their answer: the connection is dropped.
    pub lose_answers: u32,
    /// How many of the next writes lose their connection before they take effect.
    pub lose_writes: u32,
    /// How many of the next writes lose their connection and are delayed until `POST /deliver`,
    /// when they take effect or fail their conditions.
    pub delay_writes: u32,
    /// Time until a change of the VM list becomes visible; overrides [`Settings::lag`].
    pub lag_ms: Option<u64>,
}

/// Call counters and the state of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads within the rate limit.
    pub reads: u64,
    /// Writes within the rate limit.
    pub writes: u64,
    /// Open watches.
    pub watches: u64,
    /// Calls refused because of the rate limit.
    pub refused: u64,
    /// The store's revision.
    pub revision: u64,
}

/// A write to apply at `POST /deliver`.
type Delayed = Box<dyn FnOnce(&mut Store, Millis) + Send>;

struct State {
    store: Store,
    delayed: Vec<Delayed>,
    faults: Faults,
    stats: Stats,
    rate: Rate,
    /// Each list of VMs and endpoints that was set, with the time of its setting.
    machines: Vec<(Millis, Vec<Machine>)>,
}

/// Counts the calls in the current second, for the rate limits.
#[derive(Default)]
struct Rate {
    second: u64,
    reads: u32,
    writes: u32,
}

struct Platform {
    settings: Settings,
    clock: Clock,
    state: Mutex<State>,
}

/// Whether a call counts towards the read limit or the write limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Read,
    Write,
}

/// Serves a platform stand-in on `listener`; its leases expire by `clock`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn serve(listener: TcpListener, settings: Settings, clock: Clock) -> std::io::Result<Server> {
    let state = State {
        store: Store::new(settings.kept_changes),
        delayed: Vec::new(),
        faults: Faults::default(),
        stats: Stats::default(),
        rate: Rate::default(),
        machines: Vec::new(),
    };
    let platform = Arc::new(Platform {
        settings,
        clock,
        state: Mutex::new(state),
    });
    tokio::spawn(expire(Arc::downgrade(&platform)));
    http::serve(listener, move |request| handle(platform.clone(), request))
}

async fn expire(platform: Weak<Platform>) {
    loop {
        tokio::time::sleep(EXPIRY_INTERVAL).await;
        let Some(platform) = platform.upgrade() else {
            return;
        };
        let now = platform.clock.now();
        platform.lock().store.expire(now);
    }
}

impl Platform {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a call; returns `false` if it exceeds the rate limit.
    fn count(&self, kind: CallKind) -> bool {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.store.expire(now);
        let second = now.as_u64() / 1000;
        if state.rate.second != second {
            state.rate = Rate {
                second,
                ..Rate::default()
            };
        }
        let (used, limit, total) = match kind {
            CallKind::Read => (
                &mut state.rate.reads,
                self.settings.reads,
                &mut state.stats.reads,
            ),
            CallKind::Write => (
                &mut state.rate.writes,
                self.settings.writes,
                &mut state.stats.writes,
            ),
        };
        if *used >= limit {
            state.stats.refused += 1;
            return false;
        }
        *used += 1;
        *total += 1;
        true
    }

    fn stats(&self) -> Stats {
        let mut state = self.lock();
        Stats {
            watches: state.store.watches() as u64,
            revision: state.store.revision(),
            ..state.stats
        }
    }

    /// Returns the newest VM list that was set at least the lag ago.
    fn machines(&self) -> Vec<Machine> {
        let state = self.lock();
        let lag = state.faults.lag_ms.map_or(self.settings.lag, Millis::new);
        let now = self.clock.now();
        let visible = state.machines.iter().rfind(|(at, _)| at.plus(lag) <= now);
        visible.map(|(_, list)| list.clone()).unwrap_or_default()
    }
}

#[derive(Serialize, Deserialize)]
struct List {
    vms: Vec<Machine>,
}

async fn handle(platform: Arc<Platform>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/stats") => Ok(http::json(StatusCode::OK, &platform.stats())),
        (Method::POST, "/faults") => Ok(set_faults(&platform, request).await),
        (Method::POST, "/deliver") => Ok(deliver(&platform)),
        (Method::POST, "/vms") => Ok(set_machines(&platform, request).await),
        (Method::GET, "/vms") => {
            if let Some(refusal) = admit(&platform, CallKind::Read).await? {
                return Ok(refusal);
            }
            let list = List {
                vms: platform.machines(),
            };
            Ok(http::json(StatusCode::OK, &list))
        }
        (Method::POST, path) => gateway::handle(&platform, path, request).await,
        _ => Ok(http::error(StatusCode::NOT_FOUND, "no such path")),
    }
}

/// Applies a set outage or delay and counts the call; returns the answer to send if the call is
/// refused.
async fn admit(platform: &Platform, kind: CallKind) -> http::Result<Option<Response<Body>>> {
    let (down, slow) = {
        let state = platform.lock();
        (state.faults.down, state.faults.slow_ms)
    };
    match down {
        Outage::Off => {}
        Outage::Refuse => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(Some(gateway::fault(status, 14, "etcdserver: no leader")));
        }
        Outage::Drop => return Err(Dropped),
        Outage::Hang => std::future::pending().await,
    }
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    if !platform.count(kind) {
        let status = StatusCode::TOO_MANY_REQUESTS;
        return Ok(Some(gateway::fault(
            status,
            8,
            "etcdserver: too many requests",
        )));
    }
    Ok(None)
}

async fn set_faults(platform: &Platform, request: Request<Incoming>) -> Response<Body> {
    let changes: serde_json::Map<String, serde_json::Value> = match http::read_json(request).await {
        Ok(changes) => changes,
        Err(refusal) => return *refusal,
    };
    let mut state = platform.lock();
    let merged = match http::merge(&state.faults, changes) {
        Ok(merged) => merged,
        Err(refusal) => return *refusal,
    };
    state.faults = merged;
    if state.faults.down != Outage::Off {
        state.store.end_watches();
    }
    http::json(StatusCode::OK, &state.faults)
}

fn deliver(platform: &Platform) -> Response<Body> {
    let now = platform.clock.now();
    let mut state = platform.lock();
    for write in std::mem::take(&mut state.delayed) {
        write(&mut state.store, now);
    }
    http::empty()
}

async fn set_machines(platform: &Platform, request: Request<Incoming>) -> Response<Body> {
    let list: List = match http::read_json(request).await {
        Ok(list) => list,
        Err(refusal) => return *refusal,
    };
    let now = platform.clock.now();
    platform.lock().machines.push((now, list.vms));
    http::empty()
}
