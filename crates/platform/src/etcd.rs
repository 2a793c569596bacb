//! The adapter to a platform that speaks the etcd v3 JSON gateway format over HTTP.
//!
//! The system's guarantees depend on the difference between [`Fault::Down`] and [`Fault::Unknown`]:
//! a write fails as `Down` only if no connection was made, or the platform said that the write had
//! no effect. Any failure after the request may have been written is `Unknown`.

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

/// The platform's message for a call that it refuses before the call has any effect.
const NO_LEADER: &str = "etcdserver: no leader";
/// How long to wait before retrying a call that exceeded the platform's own limit: a tenth of the
/// second over which the platform counts.
const LIMITED_RETRY_DELAY: Millis = Millis::new(100);
/// The longest response in bytes. A long list of values of a megabyte each has to be read in parts.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// How long a connection is idle before it is probed, so that a watch ends if the network is cut.
const PROBE_AFTER: Duration = Duration::from_secs(5);
/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// How many unanswered probes end a connection.
const MAX_UNANSWERED_PROBES: u32 = 3;

type Http = legacy::Client<HttpConnector, Full<Bytes>>;

/// The adapter. It keeps its connections open between calls.
#[derive(Debug)]
pub struct Etcd {
    http: Http,
    addresses: Vec<SocketAddr>,
    /// The index of the address that answered last.
    preferred: AtomicUsize,
    /// The oldest revision that can still be watched, as last reported to a watch.
    compacted: Arc<AtomicU64>,
    /// The time-out of a call at each address.
    timeout: Millis,
}

/// Whether a call may change data at the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Effect {
    Read,
    Write,
}

impl Etcd {
    /// Creates an adapter that uses the first of `addresses` that answers. A call times out after
    /// `timeout` for each address. Without an address every call fails with [`Fault::Down`].
    #[must_use]
    pub fn new(addresses: Vec<SocketAddr>, timeout: Millis) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_keepalive(Some(PROBE_AFTER));
        connector.set_keepalive_interval(Some(PROBE_INTERVAL));
        connector.set_keepalive_retries(Some(MAX_UNANSWERED_PROBES));
        // Shorter than a call's time-out, so that a failure to connect is reported as such and not
        // as a timed-out call whose effect isn't known.
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
        let response = async {
            let response = self.open(method, path, body, effect).await?;
            let body = response.into_body();
            let collected = Limited::new(body, MAX_RESPONSE_BYTES).collect().await;
            let collected = collected.map_err(|fault| failure(effect, &fault.to_string()))?;
            serde_json::from_slice(&collected.to_bytes())
                .map_err(|fault| failure(effect, &fault.to_string()))
        };
        self.timed(response, effect).await
    }

    async fn timed<T>(
        &self,
        response: impl Future<Output = Result<T>> + Send,
        effect: Effect,
    ) -> Result<T> {
        let rounds = u32::try_from(self.addresses.len()).unwrap_or(1).max(1);
        let limit = self.timeout.as_duration() * rounds;
        match tokio::time::timeout(limit, response).await {
            Ok(result) => result,
            Err(_) => Err(failure(effect, "no answer in time")),
        }
    }

    /// Sends a call to the first address that accepts a connection. Reads are also retried at the
    /// next address after any other failure to get a response.
    async fn open(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        effect: Effect,
    ) -> Result<Response<Incoming>> {
        let first = self.preferred.load(Ordering::Relaxed);
        let mut last_failure = "no address is set".to_owned();
        for step in 0..self.addresses.len() {
            let at = (first + step) % self.addresses.len();
            let request = request(&method, self.addresses[at], path, body.clone())?;
            match self.http.request(request).await {
                Ok(response) => {
                    self.preferred.store(at, Ordering::Relaxed);
                    return accept(response, effect).await;
                }
                Err(fault) if fault.is_connect() || effect == Effect::Read => {
                    last_failure = format!("{}: {fault}", self.addresses[at]);
                }
                Err(fault) => return Err(failure(effect, &fault.to_string())),
            }
        }
        Err(Fault::Down(last_failure))
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

/// Returns the fault of a call that failed after it may have been sent.
fn failure(effect: Effect, reason: &str) -> Fault {
    match effect {
        Effect::Read => Fault::Down(reason.to_owned()),
        Effect::Write => Fault::Unknown(reason.to_owned()),
    }
}

/// Returns a successful response, or else the fault that it reports.
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
        StatusCode::TOO_MANY_REQUESTS => Fault::Limited(LIMITED_RETRY_DELAY),
        _ if status.is_client_error() => Fault::Invalid(reason),
        _ if fault.message == NO_LEADER => Fault::Down(reason),
        _ => failure(effect, &reason),
    })
}

/// Returns the exclusive end of the range of keys that begin with `prefix`. A zero byte stands for
/// the end of all keys.
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

/// Returns the first key of a range. A zero byte stands for the empty key, which the format can't
/// express.
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

fn single_key(key: &str) -> format::Range {
    format::Range {
        key: Blob::of(key.as_bytes()),
        ..format::Range::default()
    }
}

fn operation(write: &Write) -> format::Op {
    match write {
        Write::Put { key, value, lease } => format::Op::Put(format::Put {
            key: Blob::of(key.as_bytes()),
            value: Blob::of(value),
            lease: lease.map_or(0, |lease| lease.0),
        }),
        Write::Delete(key) => format::Op::Delete(single_key(key)),
    }
}

fn transaction(txn: &Txn) -> Result<format::Txn> {
    let too_long =
        |write: &Write| matches!(write, Write::Put { value, .. } if value.len() > MAX_VALUE);
    if txn.writes.iter().any(too_long) {
        return Err(Fault::Invalid("a value is over the limit".to_owned()));
    }
    let present = txn
        .compares
        .iter()
        .map(|c| format::Op::Range(single_key(&c.key)));
    Ok(format::Txn {
        compare: txn.compares.iter().map(compare).collect(),
        success: txn.writes.iter().map(operation).collect(),
        failure: present.collect(),
    })
}

fn outcome(response: format::TxnResponse) -> Result<Outcome> {
    if response.succeeded {
        return Ok(Outcome::Applied(response.header.revision));
    }
    let mut present = Vec::new();
    for operation in response.responses {
        let format::OpResponse::Range(ranged) = operation else {
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
        let ranged: format::RangeResponse = self
            .post("/v3/kv/range", &single_key(key), Effect::Read)
            .await?;
        ranged.kvs.first().map(entry).transpose()
    }

    async fn commit(&self, txn: &Txn, _priority: Priority) -> Result<Outcome> {
        let txn = transaction(txn)?;
        let response: format::TxnResponse = self.post("/v3/kv/txn", &txn, Effect::Write).await?;
        outcome(response)
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        // The format has only whole seconds. Rounding up never lets a lease end early.
        let request = format::Lease {
            id: 0,
            ttl: ttl.as_u64().div_ceil(1000),
        };
        let lease: format::Lease = self
            .post("/v3/lease/grant", &request, Effect::Write)
            .await?;
        Ok(Lease(lease.id))
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        let held = format::Lease {
            id: lease.0,
            ttl: 0,
        };
        let item: format::StreamItem<format::Lease> = self
            .post("/v3/lease/keepalive", &held, Effect::Write)
            .await?;
        Ok(item.result.ttl > 0)
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        let held = format::Lease {
            id: lease.0,
            ttl: 0,
        };
        let revoked: Result<serde_json::Value> =
            self.post("/v3/lease/revoke", &held, Effect::Write).await;
        match revoked {
            // `Invalid` means that the platform doesn't know the lease: it has already ended.
            Ok(_) | Err(Fault::Invalid(_)) => Ok(()),
            Err(fault) => Err(fault),
        }
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>> {
        // Changes before `oldest` are no longer kept, and the caller doesn't need them because it
        // lists first. Without this, a prefix that rarely changes could never be watched again.
        let oldest = self.compacted.load(Ordering::Relaxed).max(1);
        let request = format::Watch {
            create_request: format::WatchCreate {
                key: first_key(prefix),
                range_end: prefix_end(prefix),
                start_revision: revision.max(oldest),
            },
        };
        let text = serde_json::to_vec(&request).map_err(|f| Fault::Invalid(f.to_string()))?;
        let opening = async {
            let path = "/v3/watch";
            let opened = self.open(Method::POST, path, Bytes::from(text), Effect::Read);
            watch::Lines::begin(opened.await?.into_body()).await
        };
        let lines = self.timed(opening, Effect::Read).await?;
        Ok(watch::follow(lines, self.compacted.clone()))
    }

    async fn machines(&self) -> Result<Vec<Machine>> {
        let list: Machines = self
            .call(Method::GET, "/vms", Bytes::new(), Effect::Read)
            .await?;
        Ok(list.vms)
    }
}
