//! Watches: a stream of answers, one JSON object a line.

use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use platform::etcd::format;
use platform::etcd::format::Blob;
use tokio::sync::mpsc;

use super::header;
use super::pair;
use crate::http;
use crate::http::Dropped;
use crate::http::Reply;
use crate::platform::Effect;
use crate::platform::Platform;
use crate::platform::enter;
use crate::platform::store::Change;
use crate::platform::store::Span;

/// How many answers of a watch wait for the network.
const WATCH_PARTS: usize = 16;

/// Answers `/v3/watch`.
pub(super) async fn handle(platform: &Arc<Platform>, request: Request<Incoming>) -> Reply {
    let wanted: format::Watch = match http::read_json(request).await {
        Ok(wanted) => wanted,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = enter(platform, Effect::Read).await? {
        return Ok(refusal);
    }
    let create = wanted.create_request;
    let span = Span {
        from: create.key.0,
        to: create.range_end.0,
    };
    let (changes, first) = {
        let mut state = platform.lock();
        let changes = state.store.watch(span, create.start_revision);
        let first = format::WatchResponse {
            header: header(&state.store),
            created: true,
            ..format::WatchResponse::default()
        };
        (changes, first)
    };
    let (sender, parts) = mpsc::channel(WATCH_PARTS);
    tokio::spawn(tell(first, changes, sender));
    Ok(http::stream("application/json", parts))
}

async fn tell(
    first: format::WatchResponse,
    changes: Result<mpsc::Receiver<Change>, u64>,
    sender: mpsc::Sender<http::Result<Bytes>>,
) {
    if sender.send(Ok(line(first))).await.is_err() {
        return;
    }
    let mut changes = match changes {
        Ok(changes) => changes,
        Err(oldest) => {
            let end = format::WatchResponse {
                canceled: true,
                compact_revision: oldest,
                ..format::WatchResponse::default()
            };
            let _gone = sender.send(Ok(line(end))).await;
            return;
        }
    };
    loop {
        let change = tokio::select! {
            change = changes.recv() => change,
            () = sender.closed() => return,
        };
        let Some(change) = change else {
            let _gone = sender.send(Err(Dropped)).await;
            return;
        };
        if sender.send(Ok(line(seen(&change)))).await.is_err() {
            return;
        }
    }
}

fn line(seen: format::WatchResponse) -> Bytes {
    let mut text = serde_json::to_vec(&format::StreamItem { result: seen }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

fn seen(change: &Change) -> format::WatchResponse {
    let (kind, kv, revision) = match change {
        Change::Put(item) => (format::Kind::Put, pair(item), item.modified),
        Change::Delete { key, revision } => {
            let kv = format::Pair {
                key: Blob(key.clone()),
                mod_revision: *revision,
                ..format::Pair::default()
            };
            (format::Kind::Delete, kv, *revision)
        }
    };
    format::WatchResponse {
        header: format::Header { revision },
        events: vec![format::Event { kind, kv }],
        ..format::WatchResponse::default()
    }
}
