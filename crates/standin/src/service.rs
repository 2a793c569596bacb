//! Stand-in for a plain service that counts how often each call ran.
//!
//! Paths: `POST /{service}/{operation}` runs a call and counts it by its `Idempotency-Key`;
//! `GET /load` returns [`Load`], `GET /stats` returns [`Stats`], `POST /faults` sets [`Faults`].
//! The service does not deduplicate by key: a call sent twice runs twice.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;
use tokio::net::TcpListener;
use wire::clock::Millis;

use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;
use crate::http::Server;

/// Properties of a service stand-in.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Duration of a call.
    pub delay: Millis,
    /// Number of concurrent calls that the load report states; further calls are not refused.
    pub slots: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            delay: Millis::ZERO,
            slots: 16,
        }
    }
}

/// The faults to inject. `POST /faults` sets the fields in its body and leaves the others
/// unchanged.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many of the next calls run but lose their answer: the connection is dropped.
    pub lose_answers: u32,
    /// How many of the next calls run and are never answered.
    pub hang: u32,
    /// How many of the next calls are refused before they run.
    pub refuse: u32,
    /// How many of the next calls run and are answered with 500.
    pub fail: u32,
    /// Duration of a call; overrides [`Settings::delay`].
    pub delay_ms: Option<u64>,
    /// Whether the service refuses new calls.
    pub leaving: bool,
    /// Text in a body that makes the service crash; empty for none.
    pub crash_mark: String,
    /// Whether the service has crashed: it drops all connections.
    pub crashed: bool,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Waiting calls: always 0, because each call runs at once.
    pub waiting: u32,
    /// Number of concurrent calls, see [`Settings::slots`].
    pub slots: u32,
    /// Whether the service refuses new calls.
    pub leaving: bool,
    /// Age of the report.
    pub age_ms: u64,
}

/// How often calls with the same key and operation ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The idempotency key, or empty if the call had none.
    pub key: String,
    /// The operation.
    pub operation: String,
    /// Number of runs.
    pub runs: u64,
}

/// Call counters.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Runs per key and operation, sorted by them.
    pub runs: Vec<Run>,
    /// Calls refused before they ran.
    pub refused: u64,
}

#[derive(Default)]
struct State {
    faults: Faults,
    stats: Stats,
    running: u32,
}

struct Service {
    settings: Settings,
    state: Mutex<State>,
}

/// What the service does with a call, given the [`Faults`] that are set.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Action {
    Answer,
    Refuse,
    LoseAnswer,
    Hang,
    Fail,
}

/// Serves a service stand-in on `listener`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn serve(listener: TcpListener, settings: Settings) -> std::io::Result<Server> {
    let service = Arc::new(Service {
        settings,
        state: Mutex::default(),
    });
    http::serve(listener, move |request| handle(service.clone(), request))
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn load(&self) -> Load {
        let state = self.lock();
        Load {
            running: state.running,
            waiting: 0,
            slots: self.settings.slots,
            leaving: state.faults.leaving,
            age_ms: 0,
        }
    }

    /// Records the start of a call and returns how often it has run, including this run.
    fn count(&self, key: &str, operation: &str) -> u64 {
        let mut state = self.lock();
        state.running += 1;
        let runs = &mut state.stats.runs;
        let position = runs.binary_search_by(|run| {
            (run.key.as_str(), run.operation.as_str()).cmp(&(key, operation))
        });
        let at = position.unwrap_or_else(|at| {
            let run = Run {
                key: key.to_owned(),
                operation: operation.to_owned(),
                runs: 0,
            };
            runs.insert(at, run);
            at
        });
        runs[at].runs += 1;
        runs[at].runs
    }
}

impl State {
    /// Crashes if a body has the mark. Returns whether it has.
    fn crashes_under(&mut self, body: &Bytes) -> bool {
        let mark = &self.faults.crash_mark;
        let is_marked = !mark.is_empty() && String::from_utf8_lossy(body).contains(mark);
        if is_marked {
            self.running -= 1;
            self.faults.crashed = true;
        }
        is_marked
    }

    fn next_action(&mut self) -> Action {
        let faults = &mut self.faults;
        if faults.leaving {
            return Action::Refuse;
        }
        let counters = [
            (&mut faults.refuse, Action::Refuse),
            (&mut faults.lose_answers, Action::LoseAnswer),
            (&mut faults.hang, Action::Hang),
            (&mut faults.fail, Action::Fail),
        ];
        for (remaining, action) in counters {
            if *remaining > 0 {
                *remaining -= 1;
                return action;
            }
        }
        Action::Answer
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
    if service.lock().faults.crashed && path != "/faults" && path != "/stats" {
        return Err(Dropped);
    }
    match (request.method().clone(), path.as_str()) {
        (Method::GET, "/load") => Ok(http::json(StatusCode::OK, &service.load())),
        (Method::GET, "/stats") => Ok(http::json(StatusCode::OK, &service.lock().stats)),
        (Method::POST, "/faults") => Ok(set_faults(&service, request).await),
        (Method::POST, path) => match path.trim_start_matches('/').split_once('/') {
            Some((_, operation)) => call(service, operation, request).await,
            None => Ok(http::error(StatusCode::NOT_FOUND, "no such path")),
        },
        _ => Ok(http::error(StatusCode::NOT_FOUND, "no such path")),
    }
}

async fn call(service: Arc<Service>, operation: &str, request: Request<Incoming>) -> Reply {
    let key = request.headers().get("idempotency-key");
    let key = key.and_then(|v| v.to_str().ok()).unwrap_or_default();
    let key = key.to_owned();
    let body = match http::read(request).await {
        Ok(body) => body,
        Err(refusal) => return Ok(*refusal),
    };
    let (action, delay) = {
        let mut state = service.lock();
        let delay = state.faults.delay_ms.map(Duration::from_millis);
        let delay = delay.unwrap_or(service.settings.delay.as_duration());
        (state.next_action(), delay)
    };
    if action == Action::Refuse {
        service.lock().stats.refused += 1;
        let refusal = json!({ "error": "not now", "ran": "no" });
        return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal));
    }
    let run = service.count(&key, operation);
    if service.lock().crashes_under(&body) {
        return Err(Dropped);
    }
    // Runs in its own task, so that the call is completed even if the caller disconnects.
    let running = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        service.lock().running -= 1;
    });
    let _ended = running.await;
    match action {
        Action::LoseAnswer => Err(Dropped),
        Action::Hang => std::future::pending().await,
        Action::Fail => Ok(http::error(StatusCode::INTERNAL_SERVER_ERROR, "it failed")),
        Action::Answer | Action::Refuse => Ok(answer(&key, operation, run, &body)),
    }
}

fn answer(key: &str, operation: &str, run: u64, body: &Bytes) -> Response<Body> {
    let answer = json!({
        "ran": "yes",
        "operation": operation,
        "key": key,
        "run": run,
        "bytes": body.len(),
    });
    http::json(StatusCode::OK, &answer)
}

async fn set_faults(service: &Service, request: Request<Incoming>) -> Response<Body> {
    let changes = match http::read_json(request).await {
        Ok(changes) => changes,
        Err(refusal) => return *refusal,
    };
    let mut state = service.lock();
    match http::merge(&state.faults, changes) {
        Ok(merged) => state.faults = merged,
        Err(refusal) => return *refusal,
    }
    http::json(StatusCode::OK, &state.faults)
}
