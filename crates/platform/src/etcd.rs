//! The adapter to a platform that speaks the etcd v3 JSON gateway format over HTTP.
//!
//! The difference between [`Fault::Down`] and [`Fault::Unknown`] is what the promises of the
//! system rest on: a write fails as `Down` only where no connection was made, or where the
//! platform said that it took no effect. Everything that fails once the request may have been
//! written is `Unknown`.

pub mod format;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;
use wire::clock::Millis;

use crate::edge::Change;
use crate::edge::Entry;
use crate::edge::Fault;
use crate::edge::Lease;
use crate::edge::MAX_VALUE;
use crate::edge::Machine;
use crate::edge::Outcome;
use crate::edge::Platform;
use crate::edge::Priority;
use crate::edge::Result;
use crate::edge::Txn;
use crate::edge::Write;
use crate::etcd::format::Blob;

/// What the platform says where it refuses a call before it takes any effect.
const NO_LEADER: &str = "etcdserver: no leader";
/// When a call that the platform's own limit refused is worth another try: a tenth of the second
/// over which the platform counts.
const LIMITED_PAUSE: Millis = Millis::new(100);
/// The longest answer in bytes: a full list of values of a megabyte has to come in parts.
const MAX_ANSWER: usize = 64 * 1024 * 1024;
/// After this much silence a connection is probed, so that a watch over a cut network ends.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// The pause between two probes; three without an answer end the connection.
const PROBE_PAUSE: Duration = Duration::from_secs(2);
/// How many probes go unanswered before a connection ends.
const PROBES: u32 = 3;

type Http = legacy::Client<HttpConnector, Full<Bytes>>;

/// The adapter. It keeps its connections open between calls.
#[derive(Debug)]
pub struct Etcd {
    http: Http,
    addresses: Vec<SocketAddr>,
    /// The address that answered last.
    preferred: AtomicUsize,
    /// The oldest revision that can still be watched, as far as a watch was told.
    compacted: Arc<AtomicU64>,
    timeout: Millis,
}

/// Whether a call may change something at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Etcd {
    /// Makes an adapter that uses the first of `addresses` that answers, and gives each call
    /// `timeout`. Without an address every call is [`Fault::Down`].
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_PAUSE));
        connector.set_keepalive_retries(Some(PROBES));
        // Shorter than a call's time-out: a failure to connect must show as such, not as a
        // timed-out call whose effect isn't known.
        connector.set_connect_timeout(Some(timeout.as_duration() / 2));
        let http = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .build(connector);
        Self {
            http,
            addresses,
            preferred: AtomicUsize::new(0),
            compacted: Arc::default(),
            timeout,
        }
    }

    async fn post<T, R>(&self, path: &str, body: &T, effect: Effect) -> Result<R>
    where
        T: Serialize + Sync,
        R: DeserializeOwned,
    {
        let text = serde_json::to_vec(body).map_err(|fault| Fault::Invalid(fault.to_string()))?;
        self.call(Method::POST, path, Bytes::from(text), effect)
            .await
    }

    async fn call<R>(&self, method: Method, path: &str, body: Bytes, effect: Effect) -> Result<R>
    where
        R: DeserializeOwned,
    {
        let answer = async {
            let response = self.open(method, path, body, effect).await?;
            let body = response.into_body();
            let whole = Limited::new(body, MAX_ANSWER).collect().await;
            let whole = whole.map_err(|fault| broken(effect, &fault.to_string()))?;
            serde_json::from_slice(&whole.to_bytes())
                .map_err(|fault| broken(effect, &fault.to_string()))
        };
        self.timed(answer, effect).await
    }

    async fn timed<T>(
        &self,
        answer: impl Future<Output = Result<T>> + Send,
        effect: Effect,
    ) -> Result<T> {
        let rounds = u32::try_from(self.addresses.len()).unwrap_or(1).max(1);
        let limit = self.timeout.as_duration() * rounds;
        match tokio::time::timeout(limit, answer).await {
            Ok(result) => result,
            Err(_) => Err(broken(effect, "no answer in time")),
        }
    }

    /// Sends a call to the first address that can be connected to.
    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<Response<Incoming>> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last = "no address is set".to_owned();
        for step in 0..self.addresses.len() {
            let at = (first + step) % self.addresses.len();
            let request = request(&method, self.addresses[at], path, body.clone())?;
            match self.http.request(request).await {
                Ok(response) => {
                    self.preferred.store(at, Ordering::Relaxed);
                    return accept(response, effect).await;
                }
                Err(fault) if fault.is_connect() || effect == Effect::Read => {
                    last = format!("{}: {fault}", self.addresses[at]);
                }
                Err(fault) => return Err(broken(effect, &fault.to_string())),
            }
        }
        Err(Fault::Down(last))
    }
}

fn request(
    method: &Method,
    address: SocketAddr,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>> {
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|fault| Fault::Invalid(fault.to_string()))
}

fn broken(effect: Effect, reason: &str) -> Fault {
    match effect {
        Effect::Read => Fault::Down(reason.to_owned()),
        Effect::Write => Fault::Unknown(reason.to_owned()),
    }
}

async fn accept(response: Response<Incoming>, effect: Effect) -> Result<Response<Incoming>> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = Limited::new(response.into_body(), MAX_VALUE)
        .collect()
        .await;
    let text = body.map_or_else(|_| Bytes::new(), http_body_util::Collected::to_bytes);
    let fault: format::Fault = serde_json::from_slice(&text).unwrap_or_default();
    let reason = format!("{status}: {}", fault.message);
    Err(match status {
        StatusCode::TOO_MANY_REQUESTS => Fault::Limited(LIMITED_PAUSE),
        _ if status.is_client_error() => Fault::Invalid(reason),
        _ if fault.message == NO_LEADER => Fault::Down(reason),
        _ => broken(effect, &reason),
    })
}

/// The end of the keys that begin with `prefix`; a zero byte stands for the end of all keys.
fn prefix_end(prefix: &str) -> Blob {
    let mut end = prefix.as_bytes().to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return Blob(Bytes::from(end));
        }
    }
    Blob::of(&[0])
}

/// The first key of a range; the empty key can't be named, a zero byte stands for it.
fn first_key(key: &str) -> Blob {
    if key.is_empty() {
        return Blob::of(&[0]);
    }
    Blob::of(key.as_bytes())
}

fn entry(pair: &format::Pair) -> Result<Entry> {
    let key = String::from_utf8(pair.key.0.to_vec())
        .map_err(|_| Fault::Invalid("a key isn't text".to_owned()))?;
    Ok(Entry {
        key,
        value: pair.value.0.to_vec(),
        revision: pair.mod_revision,
    })
}

fn compare(compare: &crate::edge::Compare) -> format::Compare {
    format::Compare {
        target: format::Target::Mod,
        key: Blob::of(compare.key.as_bytes()),
        mod_revision: compare.revision,
        ..format::Compare::default()
    }
}

fn one(key: &str) -> format::Range {
    format::Range {
        key: Blob::of(key.as_bytes()),
        ..format::Range::default()
    }
}

fn op(write: &Write) -> format::Op {
    match write {
        Write::Put { key, value, lease } => format::Op::Put(format::Put {
            key: Blob::of(key.as_bytes()),
            value: Blob::of(value),
            lease: lease.map_or(0, |lease| lease.0),
        }),
        Write::Delete(key) => format::Op::Delete(one(key)),
    }
}

fn transaction(txn: &Txn) -> Result<format::Txn> {
    let too_long =
        |write: &Write| matches!(write, Write::Put { value, .. } if value.len() > MAX_VALUE);
    if txn.writes.iter().any(too_long) {
        return Err(Fault::Invalid("a value is over the limit".to_owned()));
    }
    let present = txn.compares.iter().map(|c| format::Op::Range(one(&c.key)));
    Ok(format::Txn {
        compare: txn.compares.iter().map(compare).collect(),
        success: txn.writes.iter().map(op).collect(),
        failure: present.collect(),
    })
}

fn outcome(ended: format::TxnResponse) -> Result<Outcome> {
    if ended.succeeded {
        return Ok(Outcome::Applied(ended.header.revision));
    }
    let mut present = Vec::new();
    for done in ended.responses {
        let format::OpResponse::Range(ranged) = done else {
            continue;
        };
        for pair in &ranged.kvs {
            present.push(entry(pair)?);
        }
    }
    Ok(Outcome::Refused(present))
}

#[derive(Deserialize)]
struct Machines {
    vms: Vec<Machine>,
}

#[async_trait]
impl Platform for Etcd {
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>> {
        let range = format::Range {
            key: first_key(prefix.max(from)),
            range_end: prefix_end(prefix),
            limit: limit as u64,
        };
        let ranged: format::RangeResponse = self.post("/v3/kv/range", &range, Effect::Read).await?;
        ranged.kvs.iter().map(entry).collect()
    }

    async fn read(&self, key: &str) -> Result<Option<Entry>> {
        let ranged: format::RangeResponse =
            self.post("/v3/kv/range", &one(key), Effect::Read).await?;
        ranged.kvs.first().map(entry).transpose()
    }

    async fn commit(&self, txn: &Txn, _weight: Priority) -> Result<Outcome> {
        let txn = transaction(txn)?;
        let ended: format::TxnResponse = self.post("/v3/kv/txn", &txn, Effect::Write).await?;
        outcome(ended)
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        // The format knows whole seconds only; rounded up, a lease never ends early.
        let wanted = format::Lease {
            id: 0,
            ttl: ttl.as_u64().div_ceil(1000),
        };
        let lease: format::Lease = self.post("/v3/lease/grant", &wanted, Effect::Write).await?;
        Ok(Lease(lease.id))
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        let held = format::Lease {
            id: lease.0,
            ttl: 0,
        };
        let part: format::StreamItem<format::Lease> = self
            .post("/v3/lease/keepalive", &held, Effect::Write)
            .await?;
        Ok(part.result.ttl > 0)
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let held = format::Lease {
            id: lease.0,
            ttl: 0,
        };
        let revoked: Result<serde_json::Value> =
            self.post("/v3/lease/revoke", &held, Effect::Write).await;
        match revoked {
            // It isn't known there: it has ended, as wished.
            Ok(_) | Err(Fault::Invalid(_)) => Ok(()),
            Err(fault) => Err(fault),
        }
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>> {
        // Older changes are gone, and the caller, who lists first, doesn't need them. Without this
        // a prefix that rarely changes could never be watched again.
        let oldest = self.compacted.load(Ordering::Relaxed).max(1);
        let wanted = format::Watch {
            create_request: format::WatchCreate {
                key: first_key(prefix),
                range_end: prefix_end(prefix),
                start_revision: revision.max(oldest),
            },
        };
        let text = serde_json::to_vec(&wanted).map_err(|f| Fault::Invalid(f.to_string()))?;
        let begin = async {
            let path = "/v3/watch";
            let opened = self.open(Method::POST, path, Bytes::from(text), Effect::Read);
            watch::Lines::begin(opened.await?.into_body()).await
        };
        let lines = self.timed(begin, Effect::Read).await?;
        Ok(watch::follow(lines, self.compacted.clone()))
    }

    async fn machines(&self) -> Result<Vec<Machine>> {
        let list: Machines = self
            .call(Method::GET, "/vms", Bytes::new(), Effect::Read)
            .await?;
        Ok(list.vms)
    }
}
