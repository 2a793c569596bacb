//! The gateway's paths over the store.

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

use super::Effect;
use super::Platform;
use super::enter;
use super::store::Item;
use super::store::Span;
use super::store::Store;
use crate::http;
use crate::http::Body;
use crate::http::Dropped;
use crate::http::Reply;

/// Why the store doesn't take a call: the status, the gRPC code and the words.
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

/// Builds a fault in the gateway's form.
pub(super) fn fault(status: StatusCode, code: u32, message: &str) -> Response<Body> {
    let fault = format::Fault {
        message: message.to_owned(),
        code,
    };
    http::json(status, &fault)
}

/// Answers one of the gateway's paths.
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
    let wanted: format::Range = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = enter(platform, Effect::Read).await? {
        return Ok(refusal);
    }
    let ranged = range(&platform.lock().store, &wanted);
    Ok(http::json(StatusCode::OK, &ranged))
}

/// The fate of a write under the faults set.
enum Fate {
    Answer,
    LoseAnswer,
    LoseWrite,
    Delay,
}

fn fate(platform: &Platform) -> Fate {
    let faults = &mut platform.lock().faults;
    let counters = [
        (&mut faults.lose_writes, Fate::LoseWrite),
        (&mut faults.lose_answers, Fate::LoseAnswer),
        (&mut faults.delay_writes, Fate::Delay),
    ];
    for (left, fate) in counters {
        if *left > 0 {
            *left -= 1;
            return fate;
        }
    }
    Fate::Answer
}

async fn write<T, R, F>(platform: &Arc<Platform>, request: Request<Incoming>, apply: F) -> Reply
where
    T: DeserializeOwned + Send + Sync + 'static,
    R: Serialize,
    F: FnOnce(&mut Store, &T, Millis) -> Outcome<R> + Send + 'static,
{
    let wanted: T = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = enter(platform, Effect::Write).await? {
        return Ok(refusal);
    }
    let fate = fate(platform);
    if matches!(fate, Fate::Delay) {
        platform.lock().held.push(Box::new(move |store, now| {
            let _nobody_waits = apply(store, &wanted, now);
        }));
        return Err(Dropped);
    }
    if matches!(fate, Fate::LoseWrite) {
        return Err(Dropped);
    }
    let now = platform.clock.now();
    let outcome = apply(&mut platform.lock().store, &wanted, now);
    if matches!(fate, Fate::LoseAnswer) {
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

fn span(range: &format::Range) -> Span {
    Span {
        from: range.key.0.clone(),
        to: range.range_end.0.clone(),
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

fn range(store: &Store, wanted: &format::Range) -> format::RangeResponse {
    let span = span(wanted);
    let count = store.items(&span).count();
    let limit = match usize::try_from(wanted.limit) {
        Ok(0) | Err(_) => usize::MAX,
        Ok(limit) => limit,
    };
    format::RangeResponse {
        header: header(store),
        kvs: store.items(&span).take(limit).map(pair).collect(),
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
    if put.lease != 0 && !store.leased(put.lease) {
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

#[allow(clippy::unnecessary_wraps)] // has the type of the other writes
fn delete(
    store: &mut Store,
    range: &format::Range,
    _now: Millis,
) -> Outcome<format::DeleteResponse> {
    let span = span(range);
    if store.items(&span).next().is_some() {
        store.advance();
    }
    let deleted = store.delete(&span) as u64;
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
    if ops.iter().any(|op| changes(store, op)) {
        store.advance();
    }
    let responses = ops.iter().map(|op| run(store, op)).collect();
    Ok(format::TxnResponse {
        header: header(store),
        succeeded,
        responses,
    })
}

fn changes(store: &Store, op: &format::Op) -> bool {
    match op {
        format::Op::Range(_) => false,
        format::Op::Put(_) => true,
        format::Op::Delete(range) => store.items(&span(range)).next().is_some(),
    }
}

fn run(store: &mut Store, op: &format::Op) -> format::OpResponse {
    match op {
        format::Op::Range(wanted) => format::OpResponse::Range(range(store, wanted)),
        format::Op::Put(put) => {
            store.put(put.key.0.clone(), put.value.0.clone(), put.lease);
            format::OpResponse::Put(format::PutResponse {
                header: header(store),
            })
        }
        format::Op::Delete(range) => {
            let deleted = store.delete(&span(range)) as u64;
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
            // An absent key has no value: no condition on it holds.
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

fn grant(store: &mut Store, wanted: &format::Lease, now: Millis) -> Outcome<format::Lease> {
    let ttl = Millis::new(wanted.ttl.max(1).saturating_mul(1000));
    let taken = (
        StatusCode::BAD_REQUEST,
        9,
        "etcdserver: lease already exists",
    );
    let id = store.grant(wanted.id, ttl, now).ok_or(taken)?;
    Ok(format::Lease {
        id,
        ttl: wanted.ttl.max(1),
    })
}

#[allow(clippy::unnecessary_wraps)] // has the type of the other writes
fn keep_alive(
    store: &mut Store,
    held: &format::Lease,
    now: Millis,
) -> Outcome<format::StreamItem<format::Lease>> {
    let ttl = store.renew(held.id, now);
    let result = format::Lease {
        id: held.id,
        ttl: ttl.map_or(0, |ttl| ttl.as_u64() / 1000),
    };
    Ok(format::StreamItem { result })
}

fn revoke(store: &mut Store, held: &format::Lease, _now: Millis) -> Outcome<format::PutResponse> {
    if !store.revoke(held.id) {
        return Err(NO_LEASE);
    }
    Ok(format::PutResponse {
        header: header(store),
    })
}
