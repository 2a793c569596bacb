//! Serves watches as a stream of JSON objects, one per line.

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
use crate::platform::CallKind;
use crate::platform::Platform;
use crate::platform::admit;
use crate::platform::store::Change;
use crate::platform::store::KeyRange;

/// Maximum number of lines of a watch that wait to be sent.
const MAX_WAITING_LINES: usize = 16;

/// Handles `/v3/watch`.
pub(super) async fn handle(platform: &Arc<Platform>, request: Request<Incoming>) -> Reply {
    let watch: format::Watch = match http::read_json(request).await {
        Ok(watch) => watch,
        Err(refusal) => return Ok(*refusal),
    };
    if let Some(refusal) = admit(platform, CallKind::Read).await? {
        return Ok(refusal);
    }
    let create = watch.create_request;
    let keys = KeyRange {
        start: create.key.0,
        end: create.range_end.0,
    };
    let (changes, first) = {
        let mut state = platform.lock();
        let changes = state.store.watch(keys, create.start_revision);
        let first = format::WatchResponse {
            header: header(&state.store),
            created: true,
            ..format::WatchResponse::default()
        };
        (changes, first)
    };
    let (sender, lines) = mpsc::channel(MAX_WAITING_LINES);
    tokio::spawn(send_changes(first, changes, sender));
    Ok(http::stream("application/json", lines))
}

async fn send_changes(
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
            let _watcher_gone = sender.send(Ok(line(end))).await;
            return;
        }
    };
    loop {
        let change = tokio::select! {
            change = changes.recv() => change,
            () = sender.closed() => return,
        };
        let Some(change) = change else {
            let _watcher_gone = sender.send(Err(Dropped)).await;
            return;
        };
        if sender.send(Ok(line(change_answer(&change)))).await.is_err() {
            return;
        }
    }
}

fn line(answer: format::WatchResponse) -> Bytes {
    let mut text = serde_json::to_vec(&format::StreamItem { result: answer }).unwrap_or_default();
    text.push(b'\n');
    Bytes::from(text)
}

fn change_answer(change: &Change) -> format::WatchResponse {
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
