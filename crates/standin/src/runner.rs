//! A model runner's stand-in: batches continuously, caches prompt prefixes, streams tokens.
//!
//! Paths: `POST /v1/chat/completions`, `GET /v1/models`, `GET /load`, `GET /cache`,
//! `POST /orders` with an [`Order`], `GET /stats` for [`Stats`], `POST /faults` for [`Faults`].
//! A completion may carry `priority` (the lowest first) and the headers [`PROGRAM`] and
//! [`ATTEMPT`]; the last user message may name the answer's length as `#tokens=N`.

pub mod answer;
pub mod cache;
mod engine;
mod generate;

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
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

/// The faults to show; `POST /faults` sets the fields that it names and leaves the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)] // switches that don't depend on each other
pub struct Faults {
    /// By what factor it is slower than set.
    pub slow: f64,
    /// Whether calls start and then generate nothing more.
    pub hang: bool,
    /// Crashes on a request whose messages contain this text; empty for none.
    pub crash_mark: String,
    /// Whether it has crashed ([`Crash::Break`]).
    pub crashed: bool,
    /// How many of the next answers are cut off after `cut_after` tokens.
    pub cuts: u32,
    /// Where they are cut off.
    pub cut_after: u64,
    /// How many of the next answers are generated whole and dropped before their end is sent.
    pub drop_answers: u32,
    /// How many of the next orders are dropped without effect.
    pub lose_orders: u32,
    /// Whether its load report says that it leaves, though it still takes calls.
    pub announce_leaving: bool,
    /// Whether orders with an older fence are carried out.
    pub ignore_fences: bool,
    /// How old load reports may be, in place of the settings' value.
    pub load_lag_ms: Option<u64>,
    /// How old cache reports may be, in place of the settings' value.
    pub cache_lag_ms: Option<u64>,
    /// Leaves every n-th program out of cache reports; 0 for none.
    pub cache_gap: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            hang: false,
            crash_mark: String::new(),
            crashed: false,
            cuts: 0,
            cut_after: 0,
            drop_answers: 0,
            lose_orders: 0,
            announce_leaving: false,
            ignore_fences: false,
            load_lag_ms: None,
            cache_lag_ms: None,
            cache_gap: 0,
        }
    }
}

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Forget a program's cache.
    Release,
    /// Serve a further model.
    Load,
    /// Take no new calls, finish those under way.
    Drain,
    /// Change what the runner is for.
    Role,
}

/// An order to a runner. One with a fence below the highest seen for its scope is refused with
/// 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What it asks for.
    pub order: Command,
    /// The program to release.
    #[serde(default)]
    pub program: Option<String>,
    /// The model to load.
    #[serde(default)]
    pub model: Option<String>,
    /// The role to take.
    #[serde(default)]
    pub role: Option<String>,
    /// Whose fencing numbers are compared with each other: a shard, say.
    #[serde(default)]
    pub scope: String,
    /// The fencing number.
    pub fence: u64,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in the batch.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that fit in the batch.
    pub slots: u32,
    /// Tokens a second that a call generates when it runs alone.
    pub tokens_per_second: f64,
    /// Prompt tokens for which the cache has room.
    pub cache_tokens_free: u64,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// The report's age.
    pub age_ms: u64,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Grows with each order to load a model.
    pub version: u64,
    /// What the runner is for, as the last order said.
    pub role: String,
}

/// A program in a cache report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The program.
    pub program: String,
    /// Its tokens.
    pub tokens: u64,
}

/// What became of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt's id.
    pub attempt: String,
    /// Its program.
    pub program: String,
    /// Whether it got a slot.
    pub started: bool,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Of these, how many the cache had.
    pub cached: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether its answer was generated whole.
    pub finished: bool,
}

/// What has been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens that the cache had.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Attempts that ended before their answer was whole.
    pub aborted: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fence.
    pub fenced: u64,
    /// The attempts, the latest last.
    pub attempts: Vec<Attempt>,
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
