//! A watch's response stream, one JSON object per line.

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

/// How many changes are buffered for a slow reader. The connection's flow control holds back the
/// rest.
const BUFFERED_CHANGES: usize = 1024;
/// The longest line in bytes: enough for a batch of several of the largest values in base64.
const MAX_LINE_BYTES: usize = 16 * MAX_VALUE;

/// The responses of a watch that has begun.
pub(super) struct Lines {
    body: Incoming,
    buffer: BytesMut,
}

impl Lines {
    /// Waits for the response that confirms that the watch has begun.
    pub(super) async fn begin(body: Incoming) -> Result<Self> {
        let mut lines = Self {
            body,
            buffer: BytesMut::new(),
        };
        match lines.next().await {
            Some(response) if response.created && !response.canceled => Ok(lines),
            _ => Err(Fault::Down("the watch didn't begin".to_owned())),
        }
    }

    async fn next(&mut self) -> Option<WatchResponse> {
        let mut searched = 0;
        loop {
            let end = self.buffer[searched..].iter().position(|b| *b == b'\n');
            if let Some(end) = end {
                let line = self.buffer.split_to(searched + end + 1);
                let item: StreamItem<WatchResponse> = serde_json::from_slice(&line).ok()?;
                return Some(item.result);
            }
            searched = self.buffer.len();
            if searched > MAX_LINE_BYTES {
                return None;
            }
            let frame = self.body.frame().await?.ok()?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

/// Forwards the changes until the watch ends or the receiver is dropped. Raises `compacted` if the
/// watch ends because it began at a revision that is no longer kept.
pub(super) fn follow(mut lines: Lines, compacted: Arc<AtomicU64>) -> mpsc::Receiver<Change> {
    let (sender, receiver) = mpsc::channel(BUFFERED_CHANGES);
    tokio::spawn(async move {
        loop {
            let response = tokio::select! {
                response = lines.next() => response,
                () = sender.closed() => return,
            };
            let Some(response) = response else {
                return;
            };
            compacted.fetch_max(response.compact_revision, Ordering::Relaxed);
            for event in response.events {
                let Ok(change) = change(&event) else {
                    return;
                };
                if sender.send(change).await.is_err() {
                    return;
                }
            }
            if response.canceled {
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
