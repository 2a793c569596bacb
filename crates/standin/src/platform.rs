//! The platform's stand-in: an etcd v3 JSON gateway, and the lagging list of VMs and endpoints.
//!
//! Paths: `/v3/kv/*`, `/v3/lease/*` and `/v3/watch` as the gateway's; `GET /vms` and
//! `POST /vms` read and set the list; `GET /stats` counts; `POST /faults` sets [`Faults`];
//! `POST /deliver` lets the writes that were held back take effect.

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

/// How often leases are checked.
const TICK: Duration = Duration::from_millis(20);

/// What a stand-in platform can take.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Writes a second; leases count as writes.
    pub writes: u32,
    /// Reads a second; a watch counts as one when it begins.
    pub reads: u32,
    /// How long a change of the list of VMs takes to show.
    pub lag: Millis,
    /// How many changes are kept for watches that start at an earlier revision.
    pub kept_changes: usize,
}

impl Default for Settings {
    /// Yields the rates that the brief's platform has.
    fn default() -> Self {
        Self {
            writes: 300,
            reads: 2_000,
            lag: Millis::ZERO,
            kept_changes: 5_000,
        }
    }
}

/// Whether the platform answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Down {
    /// It does.
    #[default]
    Off,
    /// It says at once that it takes no call.
    Refuse,
    /// It drops each connection before the call takes effect.
    Drop,
    /// It never answers.
    Hang,
}

/// The faults to show; `POST /faults` sets the fields that it names and leaves the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it answers. An outage ends the watches, too.
    pub down: Down,
    /// By how many milliseconds each answer is late.
    pub slow_ms: u64,
    /// How many of the next writes take effect and have their connection dropped.
    pub lose_answers: u32,
    /// How many of the next writes are dropped before they take effect.
    pub lose_writes: u32,
    /// How many of the next writes are dropped and held back; they take effect, or are refused by
    /// their conditions, at `POST /deliver`.
    pub delay_writes: u32,
    /// How long a change of the list of VMs takes to show, in place of the settings' value.
    pub lag_ms: Option<u64>,
}

/// What has been counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Reads that were let in.
    pub reads: u64,
    /// Writes that were let in.
    pub writes: u64,
    /// Watches that wait now.
    pub watches: u64,
    /// Calls over the rate.
    pub refused: u64,
    /// The store's revision.
    pub revision: u64,
}

/// A write that was held back.
type Held = Box<dyn FnOnce(&mut Store, Millis) + Send>;

struct State {
    store: Store,
    held: Vec<Held>,
    faults: Faults,
    stats: Stats,
    second: Second,
    machines: Vec<(Millis, Vec<Machine>)>,
}

/// The calls of the present second.
#[derive(Default)]
struct Second {
    at: u64,
    reads: u32,
    writes: u32,
}

struct Platform {
    settings: Settings,
    clock: Clock,
    state: Mutex<State>,
}

/// Whether a call counts as a read or a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

/// Serves a platform on `listener`; its leases follow `clock`.
///
/// # Errors
///
/// Fails where the listener has no address.
pub fn serve(listener: TcpListener, settings: Settings, clock: Clock) -> std::io::Result<Server> {
    let state = State {
        store: Store::new(settings.kept_changes),
        held: Vec::new(),
        faults: Faults::default(),
        stats: Stats::default(),
        second: Second::default(),
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
        tokio::time::sleep(TICK).await;
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

    /// Counts a call; `false` where it is over the rate.
    fn count(&self, effect: Effect) -> bool {
        let now = self.clock.now();
        let mut guard = self.lock();
        let state = &mut *guard;
        state.store.expire(now);
        let at = now.as_u64() / 1000;
        if state.second.at != at {
            state.second = Second {
                at,
                ..Second::default()
            };
        }
        let (used, limit, total) = match effect {
            Effect::Read => (
                &mut state.second.reads,
                self.settings.reads,
                &mut state.stats.reads,
            ),
            Effect::Write => (
                &mut state.second.writes,
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

    /// Yields the list as it was before the lag.
    fn machines(&self) -> Vec<Machine> {
        let state = self.lock();
        let lag = state.faults.lag_ms.map_or(self.settings.lag, Millis::new);
        let now = self.clock.now();
        let shown = state.machines.iter().rfind(|(at, _)| at.plus(lag) <= now);
        shown.map(|(_, list)| list.clone()).unwrap_or_default()
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
            if let Some(refusal) = enter(&platform, Effect::Read).await? {
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

/// Plays an outage or slowness and counts the call; yields the answer where it is refused.
async fn enter(platform: &Platform, effect: Effect) -> http::Result<Option<Response<Body>>> {
    let (down, slow) = {
        let state = platform.lock();
        (state.faults.down, state.faults.slow_ms)
    };
    match down {
        Down::Off => {}
        Down::Refuse => {
            let status = StatusCode::SERVICE_UNAVAILABLE;
            return Ok(Some(gateway::fault(status, 14, "etcdserver: no leader")));
        }
        Down::Drop => return Err(Dropped),
        Down::Hang => std::future::pending().await,
    }
    if slow > 0 {
        tokio::time::sleep(Duration::from_millis(slow)).await;
    }
    if !platform.count(effect) {
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
    let wanted: serde_json::Map<String, serde_json::Value> = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return *refusal,
    };
    let mut state = platform.lock();
    let merged = match http::merge(&state.faults, wanted) {
        Ok(merged) => merged,
        Err(refusal) => return *refusal,
    };
    state.faults = merged;
    if state.faults.down != Down::Off {
        state.store.break_watches();
    }
    http::json(StatusCode::OK, &state.faults)
}

fn deliver(platform: &Platform) -> Response<Body> {
    let now = platform.clock.now();
    let mut state = platform.lock();
    for write in std::mem::take(&mut state.held) {
        write(&mut state.store, now);
    }
    http::done()
}

async fn set_machines(platform: &Platform, request: Request<Incoming>) -> Response<Body> {
    let list: List = match http::read_json(request).await {
        Ok(list) => list,
        Err(refusal) => return *refusal,
    };
    let now = platform.clock.now();
    platform.lock().machines.push((now, list.vms));
    http::done()
}
