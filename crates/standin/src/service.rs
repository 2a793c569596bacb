//! A plain service's stand-in, which counts how often each call really ran.
//!
//! Paths: `POST /{service}/{operation}` runs a call and counts it by its `Idempotency-Key`;
//! `GET /load` for [`Load`], `GET /stats` for [`Stats`], `POST /faults` for [`Faults`]. The
//! service doesn't recognise a key that it has seen: a call sent twice runs twice.

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

/// What a service is.
#[derive(Clone, Debug)]
pub struct Settings {
    /// How long a call runs.
    pub delay: Millis,
    /// Calls at once, as its load report says; more aren't refused.
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

/// The faults to show; `POST /faults` sets the fields that it names and leaves the others.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// How many of the next calls run and have their connection dropped.
    pub lose_answers: u32,
    /// How many of the next calls run and are never answered.
    pub hang: u32,
    /// How many of the next calls are refused before they run.
    pub refuse: u32,
    /// How many of the next calls run and are answered with 500.
    pub fail: u32,
    /// How long a call runs, in place of the settings' value.
    pub delay_ms: Option<u64>,
    /// Whether it takes no new calls.
    pub leaving: bool,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Calls that run.
    pub running: u32,
    /// Calls that wait: none, as each runs at once.
    pub waiting: u32,
    /// Calls at once.
    pub slots: u32,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// The report's age.
    pub age_ms: u64,
}

/// How often one call ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its idempotency key; empty where it had none.
    pub key: String,
    /// Its operation.
    pub operation: String,
    /// How often it ran.
    pub runs: u64,
}

/// What has been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Sorted by key and operation.
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

/// What happens to one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Answer,
    Refuse,
    LoseAnswer,
    Hang,
    Fail,
}

/// Serves a service on `listener`.
///
/// # Errors
///
/// Fails where the listener has no address.
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

    fn count(&self, key: &str, operation: &str) -> u64 {
        let mut state = self.lock();
        state.running += 1;
        let runs = &mut state.stats.runs;
        let found = runs.binary_search_by(|run| {
            (run.key.as_str(), run.operation.as_str()).cmp(&(key, operation))
        });
        let at = found.unwrap_or_else(|at| {
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
    fn fate(&mut self) -> Fate {
        let faults = &mut self.faults;
        if faults.leaving {
            return Fate::Refuse;
        }
        let counters = [
            (&mut faults.refuse, Fate::Refuse),
            (&mut faults.lose_answers, Fate::LoseAnswer),
            (&mut faults.hang, Fate::Hang),
            (&mut faults.fail, Fate::Fail),
        ];
        for (left, fate) in counters {
            if *left > 0 {
                *left -= 1;
                return fate;
            }
        }
        Fate::Answer
    }
}

async fn handle(service: Arc<Service>, request: Request<Incoming>) -> Reply {
    let path = request.uri().path().to_owned();
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
    let (fate, delay) = {
        let mut state = service.lock();
        let delay = state.faults.delay_ms.map(Duration::from_millis);
        let delay = delay.unwrap_or(service.settings.delay.as_duration());
        (state.fate(), delay)
    };
    if fate == Fate::Refuse {
        service.lock().stats.refused += 1;
        let refusal = json!({ "error": "not now", "ran": "no" });
        return Ok(http::json(StatusCode::SERVICE_UNAVAILABLE, &refusal));
    }
    let run = service.count(&key, operation);
    // A task of its own: the call ends at the service also when its caller has gone.
    let running = tokio::spawn(async move {
        tokio::time::sleep(delay).await;
        service.lock().running -= 1;
    });
    let _ended = running.await;
    match fate {
        Fate::LoseAnswer => Err(Dropped),
        Fate::Hang => std::future::pending().await,
        Fate::Fail => Ok(http::error(StatusCode::INTERNAL_SERVER_ERROR, "it failed")),
        Fate::Answer | Fate::Refuse => Ok(answer(&key, operation, run, &body)),
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
    let wanted = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return *refusal,
    };
    let mut state = service.lock();
    match http::merge(&state.faults, wanted) {
        Ok(merged) => state.faults = merged,
        Err(refusal) => return *refusal,
    }
    http::json(StatusCode::OK, &state.faults)
}
