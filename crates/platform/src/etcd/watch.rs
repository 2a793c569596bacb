//! A watch's stream of answers, one JSON object a line.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::BytesMut;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;

use crate::edge::Change;
use crate::edge::Fault;
use crate::edge::MAX_VALUE;
use crate::edge::Result;
use crate::etcd::entry;
use crate::etcd::format::Event;
use crate::etcd::format::Kind;
use crate::etcd::format::StreamItem;
use crate::etcd::format::WatchResponse;

/// How many changes wait for a slow reader; the connection's flow control holds the rest back.
const DEPTH: usize = 1024;
/// The longest line in bytes: a batch of a few of the largest values in base64.
const MAX_LINE: usize = 16 * MAX_VALUE;

/// The answers of a watch that has begun.
pub(super) struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// Waits for the answer that says that the watch has begun.
    pub(super) async fn begin(body: Incoming) -> Result<Self> {
        let mut lines = Self {
            body,
            buffer: BytesMut::new(),
        };
        match lines.next().await {
            Some(seen) if seen.created && !seen.canceled => Ok(lines),
            _ => Err(Fault::Down("the watch didn't begin".to_owned())),
        }
    }

    async fn next(&mut self) -> Option<WatchResponse> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..].iter().position(|b| *b == b'\n');
            if let Some(end) = end {
                let line = self.buffer.split_to(searched + end + 1);
                let part: StreamItem<WatchResponse> = serde_json::from_slice(&line).ok()?;
                return Some(part.result);
            }
            searched = self.buffer.len();
            if searched > MAX_LINE {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// Passes the changes on until the watch ends or nobody listens any more. Raises `compacted` where
/// the watch ends as it began at a revision that is no longer kept.
pub(super) fn follow(mut lines: Lines, compacted: Arc<AtomicU64>) -> mpsc::Receiver<Change> {
    let (sender, receiver) = mpsc::channel(DEPTH);
    tokio::spawn(async move {
        loop {
            let seen = tokio::select! {
                seen = lines.next() => seen,
                () = sender.closed() => return,
            };
            let Some(seen) = seen else {
                return;
            };
            compacted.fetch_max(seen.compact_revision, Ordering::Relaxed);
            for event in seen.events {
                let Ok(change) = change(&event) else {
                    return;
                };
                if sender.send(change).await.is_err() {
                    return;
                }
            }
            if seen.canceled {
                return;
            }
        }
    });
    receiver
}

fn change(event: &Event) -> Result<Change> {
    let entry = entry(&event.kv)?;
    Ok(match event.kind {
        Kind::Put => Change::Set(entry),
        Kind::Delete => Change::Removed {
            key: entry.key,
            revision: entry.revision,
        },
    })
}
