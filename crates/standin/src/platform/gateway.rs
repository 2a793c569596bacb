//! The paths of the etcd gateway, served from the [`Store`].

mod watch;

use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use platform::edge::MAX_VALUE;
use platform::etcd::format;
use platform::etcd::format::Blob;
use serde::Serialize;
use serde::de::DeserializeOwned;
use wire::clock::Millis;

use super::CallKind;
use super::Platform;
use super::admit;
use super::store::Item;
use super::store::KeyRange;
use super::store::Store;
use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;

/// Why a call is refused: the HTTP status, the gRPC code and the message.
type Refusal = (StatusCode, u32, &'static str);
type Outcome<T> = std::result::Result<T, Refusal>;

const TOO_LARGE: Refusal = (
    StatusCode::BAD_REQUEST,
    3,
    "etcdserver: request is too large",
);
const NO_LEASE: Refusal = (
    StatusCode::NOT_FOUND,
    5,
    "etcdserver: requested lease not found",
);
const NO_KEY: Refusal = (
    StatusCode::BAD_REQUEST,
    3,
    "etcdserver: key is not provided",
);

/// Builds an error answer in the format of the gateway.
pub(super) fn fault(status: StatusCode, code: u32, message: &str) -> Response<Body> {
    let fault = format::Fault {
        message: message.to_owned(),
        code,
    };
    http::json(status, &fault)
}

/// Handles a call to one of the paths of the gateway.
pub(super) async fn handle(
    platform: &Arc<Platform>,
    path: &str,
    request: Request<Incoming>,
) -> Reply {
    match path {
        "/v3/kv/range" => read(platform, request).await,
        "/v3/kv/put" => write(platform, request, put).await,
        "/v3/kv/txn" => write(platform, request, transact).await,
        "/v3/kv/deleterange" => write(platform, request, delete).await,
        "/v3/lease/grant" => write(platform, request, grant).await,
        "/v3/lease/keepalive" => write(platform, request, keep_alive).await,
        "/v3/lease/revoke" | "/v3/kv/lease/revoke" => write(platform, request, revoke).await,
        "/v3/watch" => watch::handle(platform, request).await,
        _ => Ok(fault(StatusCode::NOT_FOUND, 5, "Not Found")),
    }
}

async fn read(platform: &Platform, request: Request<Incoming>) -> Reply {
    let range_request: format::Range = match http::read_json(request).await {
        Ok(range_request) => range_request,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = admit(platform, CallKind::Read).await? {
        return Ok(refusal);
    }
    let items = range(&platform.lock().store, &range_request);
    Ok(http::json(StatusCode::OK, &items))
}

/// What the gateway does with a write, given the [`Faults`](super::Faults) that are set.
enum Action {
    Answer,
    LoseAnswer,
    LoseWrite,
    Delay,
}

fn next_action(platform: &Platform) -> Action {
    let faults = &mut platform.lock().faults;
    let counters = [
        (&mut faults.lose_writes, Action::LoseWrite),
        (&mut faults.lose_answers, Action::LoseAnswer),
        (&mut faults.delay_writes, Action::Delay),
    ];
    for (remaining, action) in counters {
        if *remaining > 0 {
            *remaining -= 1;
            return action;
        }
    }
    Action::Answer
}

async fn write<T, R, F>(platform: &Arc<Platform>, request: Request<Incoming>, apply: F) -> Reply
where
    T: DeserializeOwned + Send + Sync + 'static,
    R: Serialize,
    F: FnOnce(&mut Store, &T, Millis) -> Outcome<R> + Send + 'static,
{
    let parameters: T = match http::read_json(request).await {
        Ok(parameters) => parameters,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = admit(platform, CallKind::Write).await? {
        return Ok(refusal);
    }
    let action = next_action(platform);
    if matches!(action, Action::Delay) {
        platform.lock().delayed.push(Box::new(move |store, now| {
            let _no_receiver = apply(store, &parameters, now);
        }));
        return Err(Dropped);
    }
    if matches!(action, Action::LoseWrite) {
        return Err(Dropped);
    }
    let now = platform.clock.now();
    let outcome = apply(&mut platform.lock().store, &parameters, now);
    if matches!(action, Action::LoseAnswer) {
        return Err(Dropped);
    }
    Ok(match outcome {
        Ok(answer) => http::json(StatusCode::OK, &answer),
        Err((status, code, message)) => fault(status, code, message),
    })
}

fn header(store: &Store) -> format::Header {
    format::Header {
        revision: store.revision(),
    }
}

fn key_range(range: &format::Range) -> KeyRange {
    KeyRange {
        start: range.key.0.clone(),
        end: range.range_end.0.clone(),
    }
}

fn pair(item: &Item) -> format::Pair {
    format::Pair {
        key: Blob(item.key.clone()),
        value: Blob(item.value.clone()),
        create_revision: item.created,
        mod_revision: item.modified,
        version: item.version,
        lease: item.lease,
    }
}

fn range(store: &Store, request: &format::Range) -> format::RangeResponse {
    let keys = key_range(request);
    let count = store.items(&keys).count();
    let limit = match usize::try_from(request.limit) {
        Ok(0) | Err(_) => usize::MAX,
        Ok(limit) => limit,
    };
    format::RangeResponse {
        header: header(store),
        kvs: store.items(&keys).take(limit).map(pair).collect(),
        more: count > limit,
        count: count as u64,
    }
}

fn check_put(store: &Store, put: &format::Put) -> Outcome<()> {
    if put.key.is_empty() {
        return Err(NO_KEY);
    }
    if put.value.0.len() > MAX_VALUE {
        return Err(TOO_LARGE);
    }
    if put.lease != 0 && !store.has_lease(put.lease) {
        return Err(NO_LEASE);
    }
    Ok(())
}

fn put(store: &mut Store, put: &format::Put, _now: Millis) -> Outcome<format::PutResponse> {
    check_put(store, put)?;
    store.advance();
    store.put(put.key.0.clone(), put.value.0.clone(), put.lease);
    Ok(format::PutResponse {
        header: header(store),
    })
}

#[allow(clippy::unnecessary_wraps)] // needs the same signature as the other writes
fn delete(
    store: &mut Store,
    range: &format::Range,
    _now: Millis,
) -> Outcome<format::DeleteResponse> {
    let keys = key_range(range);
    if store.items(&keys).next().is_some() {
        store.advance();
    }
    let deleted = store.delete(&keys) as u64;
    Ok(format::DeleteResponse {
        header: header(store),
        deleted,
    })
}

fn transact(store: &mut Store, txn: &format::Txn, _now: Millis) -> Outcome<format::TxnResponse> {
    let succeeded = txn.compare.iter().all(|compare| holds(store, compare));
    let ops = if succeeded {
        &txn.success
    } else {
        &txn.failure
    };
    for op in ops {
        if let format::Op::Put(put) = op {
            check_put(store, put)?;
        }
    }
    if ops.iter().any(|op| is_change(store, op)) {
        store.advance();
    }
    let responses = ops.iter().map(|op| run(store, op)).collect();
    Ok(format::TxnResponse {
        header: header(store),
        succeeded,
        responses,
    })
}

fn is_change(store: &Store, op: &format::Op) -> bool {
    match op {
        format::Op::Range(_) => false,
        format::Op::Put(_) => true,
        format::Op::Delete(range) => store.items(&key_range(range)).next().is_some(),
    }
}

fn run(store: &mut Store, op: &format::Op) -> format::OpResponse {
    match op {
        format::Op::Range(request) => format::OpResponse::Range(range(store, request)),
        format::Op::Put(put) => {
            store.put(put.key.0.clone(), put.value.0.clone(), put.lease);
            format::OpResponse::Put(format::PutResponse {
                header: header(store),
            })
        }
        format::Op::Delete(range) => {
            let deleted = store.delete(&key_range(range)) as u64;
            format::OpResponse::Delete(format::DeleteResponse {
                header: header(store),
                deleted,
            })
        }
    }
}

fn holds(store: &Store, compare: &format::Compare) -> bool {
    let item = store.item(&compare.key.0);
    let order = match compare.target {
        format::Target::Version => item.map_or(0, |i| i.version).cmp(&compare.version),
        format::Target::Create => item.map_or(0, |i| i.created).cmp(&compare.create_revision),
        format::Target::Mod => item.map_or(0, |i| i.modified).cmp(&compare.mod_revision),
        format::Target::Value => {
            // An absent key has no value, so no comparison with it holds.
            let Some(item) = item else {
                return false;
            };
            item.value.cmp(&compare.value.0)
        }
    };
    match compare.result {
        format::Relation::Equal => order.is_eq(),
        format::Relation::Greater => order.is_gt(),
        format::Relation::Less => order.is_lt(),
        format::Relation::NotEqual => order.is_ne(),
    }
}

fn grant(store: &mut Store, request: &format::Lease, now: Millis) -> Outcome<format::Lease> {
    let ttl = Millis::new(request.ttl.max(1).saturating_mul(1000));
    let already_exists = (
        StatusCode::BAD_REQUEST,
        9,
        "etcdserver: lease already exists",
    );
    let id = store.grant(request.id, ttl, now).ok_or(already_exists)?;
    Ok(format::Lease {
        id,
        ttl: request.ttl.max(1),
    })
}

#[allow(clippy::unnecessary_wraps)] // needs the same signature as the other writes
fn keep_alive(
    store: &mut Store,
    lease: &format::Lease,
    now: Millis,
) -> Outcome<format::StreamItem<format::Lease>> {
    let ttl = store.renew(lease.id, now);
    let result = format::Lease {
        id: lease.id,
        ttl: ttl.map_or(0, |ttl| ttl.as_u64() / 1000),
    };
    Ok(format::StreamItem { result })
}

fn revoke(store: &mut Store, lease: &format::Lease, _now: Millis) -> Outcome<format::PutResponse> {
    if !store.revoke(lease.id) {
        return Err(NO_LEASE);
    }
    Ok(format::PutResponse {
        header: header(store),
    })
}
