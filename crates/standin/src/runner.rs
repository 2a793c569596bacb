//! Stand-in for a model runner: batches continuously, caches prompt prefixes and streams tokens.
//!
//! Paths: `POST /v1/chat/completions`, `GET /v1/models`, `GET /load`, `GET /cache`,
//! `POST /orders` with an [`Order`], `GET /stats` returns [`Stats`], `POST /faults` sets
//! [`Faults`]. A completion may have a `priority` (the lowest number runs first) and the headers
//! [`PROGRAM`] and [`ATTEMPT`]; `#tokens=N` in the last user message sets the length of the answer.

pub mod answer;
pub mod cache;
mod engine;
pub mod faults;
mod generate;
pub mod report;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde_json::json;
use tokio::net::TcpListener;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;
use crate::http::Server;
use crate::runner::cache::Cache;
use crate::runner::engine::Engine;
use crate::runner::engine::Speed;
use crate::runner::faults::Faults;
use crate::runner::report::CacheEntry;
use crate::runner::report::Command;
use crate::runner::report::Load;
use crate::runner::report::Order;
use crate::runner::report::Stats;

/// Header with the program whose prefix may be cached.
pub const PROGRAM: &str = "chestnutyoke-program";
/// Header with the id of the attempt.
pub const ATTEMPT: &str = "chestnutyoke-attempt";
/// Maximum number of attempts in the statistics; beyond it the oldest half is dropped.
const MAX_ATTEMPTS: usize = 100_000;

/// What a request that crashes the runner does to the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Crash {
    /// The connections of all calls break, and new calls are dropped until `/faults` clears
    /// [`Faults::crashed`].
    #[default]
    Break,
    /// The process exits.
    Exit,
}

/// Properties of a runner stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Models that the runner serves; empty for any.
    pub models: Vec<String>,
    /// Maximum number of calls in a batch.
    pub slots: u32,
    /// Tokens per second that a call generates when it is alone in the batch.
    pub tokens_per_second: f64,
    /// Prompt tokens per second that are computed.
    pub prefill_per_second: f64,
    /// Share by which each further call in the batch increases the time per token.
    pub crowding: f64,
    /// Capacity of the cache in prompt tokens.
    pub cache_tokens: u64,
    /// Maximum age of load and cache reports: a report is repeated until it is this old.
    pub lag: Millis,
    /// Length of an answer in tokens, unless the conversation sets it.
    pub answer_tokens: u64,
    /// What a request that crashes the runner does to the process.
    pub crash: Crash,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            models: Vec::new(),
            slots: 8,
            tokens_per_second: 200.0,
            prefill_per_second: 20_000.0,
            crowding: 0.05,
            cache_tokens: 200_000,
            lag: Millis::ZERO,
            answer_tokens: 16,
            crash: Crash::Break,
        }
    }
}

struct State {
    cache: Cache,
    faults: Faults,
    stats: Stats,
    models: Vec<String>,
    version: u64,
    role: String,
    leaving: bool,
    /// The highest fence seen for each scope, sorted by scope.
    fences: Vec<(String, u64)>,
    /// The last load report and the time when it was made.
    load: Option<(Millis, Load)>,
    /// The last cache report and the time when it was made.
    cache_report: Option<(Millis, Vec<CacheEntry>)>,
    /// Number of attempts removed from the beginning of `stats.attempts`.
    dropped_attempts: usize,
}

struct Runner {
    settings: Settings,
    speed: Speed,
    clock: Clock,
    engine: Arc<Engine>,
    state: Mutex<State>,
    /// Number of crashes; a change makes all calls break off.
    crashes: tokio::sync::watch::Sender<u64>,
}

/// Serves a runner stand-in on `listener`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn serve(listener: TcpListener, settings: Settings, clock: Clock) -> std::io::Result<Server> {
    let state = State {
        cache: Cache::new(settings.cache_tokens),
        faults: Faults::default(),
        stats: Stats::default(),
        models: settings.models.clone(),
        version: 1,
        role: String::new(),
        leaving: false,
        fences: Vec::new(),
        load: None,
        cache_report: None,
        dropped_attempts: 0,
    };
    let speed = Speed {
        decode: settings.tokens_per_second,
        prefill: settings.prefill_per_second,
        crowding: settings.crowding,
    };
    let runner = Arc::new(Runner {
        speed,
        clock,
        engine: Engine::new(settings.slots),
        settings,
        state: Mutex::new(state),
        crashes: tokio::sync::watch::Sender::new(0),
    });
    http::serve(listener, move |request| handle(runner.clone(), request))
}

impl Runner {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        let now = self.clock.now();
        let (running, waiting) = (self.engine.running(), self.engine.waiting());
        let mut state = self.lock();
        let lag = state
            .faults
            .load_lag_ms
            .map_or(self.settings.lag, Millis::new);
        if let Some((at, load)) = &state.load
            && now.since(*at) < lag
        {
            let age_ms = now.since(*at).as_u64();
            return Load {
                age_ms,
                ..load.clone()
            };
        }
        let load = Load {
            running,
            waiting,
            slots: self.settings.slots,
            tokens_per_second: self.settings.tokens_per_second,
            cache_tokens_free: state.cache.free(),
            leaving: state.leaving || state.faults.announce_leaving,
            age_ms: 0,
            models: state.models.clone(),
            version: state.version,
            role: state.role.clone(),
        };
        state.load = Some((now, load.clone()));
        load
    }

    fn cache_report(&self) -> Vec<CacheEntry> {
        let now = self.clock.now();
        let mut state = self.lock();
        let lag = state
            .faults
            .cache_lag_ms
            .map_or(self.settings.lag, Millis::new);
        if let Some((at, entries)) = &state.cache_report
            && now.since(*at) < lag
        {
            return entries.clone();
        }
        let gap = state.faults.cache_gap;
        let listed = state.cache.programs().enumerate();
        let listed = listed.filter(|(index, _)| gap == 0 || (index + 1) % gap != 0);
        let entries: Vec<CacheEntry> = listed
            .map(|(_, (program, tokens))| CacheEntry {
                program: program.to_owned(),
                tokens,
            })
            .collect();
        state.cache_report = Some((now, entries.clone()));
        entries
    }
}

impl State {
    /// Records the fence of an order. Returns `false` if the order is to be refused because its
    /// fence is lower than the highest one seen for its scope.
    fn accept_fence(&mut self, order: &Order) -> bool {
        let position = self
            .fences
            .binary_search_by(|(scope, _)| scope.as_str().cmp(&order.scope));
        match position {
            Err(at) => {
                let entry = (order.scope.clone(), order.fence);
                self.fences.insert(at, entry);
                true
            }
            Ok(at) if order.fence >= self.fences[at].1 => {
                self.fences[at].1 = order.fence;
                true
            }
            Ok(_) => self.faults.ignore_fences,
        }
    }

    fn execute(&mut self, order: Order) {
        match order.order {
            Command::Release => {
                let program = order.program.unwrap_or_default();
                self.cache.release(&program);
            }
            Command::Load => {
                let model = order.model.unwrap_or_default();
                if let Err(at) = self.models.binary_search(&model) {
                    self.models.insert(at, model);
                }
                self.version += 1;
            }
            Command::Drain => self.leaving = true,
            Command::Role => self.role = order.role.unwrap_or_default(),
        }
        self.stats.orders += 1;
    }
}

async fn handle(runner: Arc<Runner>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if runner.lock().faults.crashed && path != "/faults" && path != "/stats" {
        return Err(Dropped);
    }
    match (request.method().clone(), path.as_str()) {
        (Method::POST, "/v1/chat/completions") => generate::handle(&runner, request).await,
        (Method::GET, "/v1/models") => Ok(models(&runner)),
        (Method::GET, "/load") => Ok(http::json(StatusCode::OK, &runner.load())),
        (Method::GET, "/cache") => {
            let report = json!({ "programs": runner.cache_report() });
            Ok(http::json(StatusCode::OK, &report))
        }
        (Method::GET, "/stats") => Ok(http::json(StatusCode::OK, &runner.lock().stats)),
        (Method::POST, "/orders") => order(&runner, request).await,
        (Method::POST, "/faults") => Ok(set_faults(&runner, request).await),
        _ => Ok(http::error(StatusCode::NOT_FOUND, "no such path")),
    }
}

fn models(runner: &Runner) -> Response<Body> {
    let models = runner.lock().models.clone();
    let entries: Vec<_> = models
        .iter()
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    let list = json!({ "object": "list", "data": entries });
    http::json(StatusCode::OK, &list)
}

async fn order(runner: &Runner, request: Request<Incoming>) -> Reply {
    let order: Order = match http::read_json(request).await {
        Ok(order) => order,
        Err(refusal) => return Ok(*refusal),
    };
    let mut state = runner.lock();
    if state.faults.lose_orders > 0 {
        state.faults.lose_orders -= 1;
        return Err(Dropped);
    }
    if !state.accept_fence(&order) {
        state.stats.fenced += 1;
        let refusal = json!({ "error": "the fence is lower than one seen before", "ran": "no" });
        return Ok(http::json(StatusCode::CONFLICT, &refusal));
    }
    state.execute(order);
    Ok(http::empty())
}

async fn set_faults(runner: &Runner, request: Request<Incoming>) -> Response<Body> {
    let changes = match http::read_json(request).await {
        Ok(changes) => changes,
        Err(refusal) => return *refusal,
    };
    let mut state = runner.lock();
    match http::merge(&state.faults, changes) {
        Ok(merged) => state.faults = merged,
        Err(refusal) => return *refusal,
    }
    http::json(StatusCode::OK, &state.faults)
}
