//! A model runner's stand-in: batches continuously, caches prompt prefixes, streams tokens.
//!
//! Paths: `POST /v1/chat/completions`, `GET /v1/models`, `GET /load`, `GET /cache`,
//! `POST /orders` with an [`Order`], `GET /stats` for [`Stats`], `POST /faults` for [`Faults`].
//! A completion may carry `priority` (the lowest first) and the headers [`PROGRAM`] and
//! [`ATTEMPT`]; the last user message may name the answer's length as `#tokens=N`.

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
use crate::runner::report::Command;
use crate::runner::report::Holding;
use crate::runner::report::Load;
use crate::runner::report::Order;
use crate::runner::report::Stats;

/// The header that names the program whose prefix may be cached.
pub const PROGRAM: &str = "chestnutyoke-program";
/// The header that names the attempt.
pub const ATTEMPT: &str = "chestnutyoke-attempt";
/// How many attempts the statistics keep; the oldest go first.
const KEPT_ATTEMPTS: usize = 100_000;

/// What happens to the process at a request that crashes it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Crash {
    /// Every connection breaks, and new calls are dropped until `/faults` clears it.
    #[default]
    Break,
    /// The process exits.
    Exit,
}

/// What a runner is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Models that it serves; empty for any.
    pub models: Vec<String>,
    /// Calls in a batch.
    pub slots: u32,
    /// Tokens a second that a call generates when it runs alone.
    pub tokens_per_second: f64,
    /// Prompt tokens a second that it computes.
    pub prefill_per_second: f64,
    /// By what share each further call of the batch slows a call down.
    pub crowding: f64,
    /// Prompt tokens that its cache holds.
    pub cache_tokens: u64,
    /// How old load and cache reports may be.
    pub lag: Millis,
    /// Tokens of an answer whose length the conversation doesn't name.
    pub answer_tokens: u64,
    /// What a request that crashes it does.
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
    fences: Vec<(String, u64)>,
    load: Option<(Millis, Load)>,
    holdings: Option<(Millis, Vec<Holding>)>,
    dropped_attempts: usize,
}

struct Runner {
    settings: Settings,
    speed: Speed,
    clock: Clock,
    engine: Arc<Engine>,
    state: Mutex<State>,
    crashes: tokio::sync::watch::Sender<u64>,
}

/// Serves a runner on `listener`.
///
/// # Errors
///
/// Fails where the listener has no address.
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
        holdings: None,
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

    fn holdings(&self) -> Vec<Holding> {
        let now = self.clock.now();
        let mut state = self.lock();
        let lag = state
            .faults
            .cache_lag_ms
            .map_or(self.settings.lag, Millis::new);
        if let Some((at, holdings)) = &state.holdings
            && now.since(*at) < lag
        {
            return holdings.clone();
        }
        let gap = state.faults.cache_gap;
        let shown = state.cache.programs().enumerate();
        let shown = shown.filter(|(index, _)| gap == 0 || (index + 1) % gap != 0);
        let holdings: Vec<Holding> = shown
            .map(|(_, (program, tokens))| Holding {
                program: program.to_owned(),
                tokens,
            })
            .collect();
        state.holdings = Some((now, holdings.clone()));
        holdings
    }
}

impl State {
    /// Takes an order's fence in; `false` where it is older than one seen.
    fn pass_fence(&mut self, order: &Order) -> bool {
        let found = self
            .fences
            .binary_search_by(|(scope, _)| scope.as_str().cmp(&order.scope));
        match found {
            Err(at) => {
                let line = (order.scope.clone(), order.fence);
                self.fences.insert(at, line);
                true
            }
            Ok(at) if order.fence >= self.fences[at].1 => {
                self.fences[at].1 = order.fence;
                true
            }
            Ok(_) => self.faults.ignore_fences,
        }
    }

    fn carry_out(&mut self, order: Order) {
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
            let report = json!({ "programs": runner.holdings() });
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
    let lines: Vec<_> = models
        .iter()
        .map(|id| json!({ "id": id, "object": "model" }))
        .collect();
    let list = json!({ "object": "list", "data": lines });
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
    if !state.pass_fence(&order) {
        state.stats.fenced += 1;
        let refusal = json!({ "error": "the fence is older than one seen", "ran": "no" });
        return Ok(http::json(StatusCode::CONFLICT, &refusal));
    }
    state.carry_out(order);
    Ok(http::done())
}

async fn set_faults(runner: &Runner, request: Request<Incoming>) -> Response<Body> {
    let wanted = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return *refusal,
    };
    let mut state = runner.lock();
    match http::merge(&state.faults, wanted) {
        Ok(merged) => state.faults = merged,
        Err(refusal) => return *refusal,
    }
    http::json(StatusCode::OK, &state.faults)
}
