//! The poisoned contents that this VM knows: contents that crashed the endpoints that ran them.
//!
//! Each shard's journal contains the shard's own poisoned contents. A caller that repeats a request
//! without naming a program gets a new program, perhaps in another shard or through another VM;
//! without this list the request would crash two more endpoints there. A VM that marks a content as
//! poisoned notifies the other VMs of its data centre. The list is kept in memory only: a VM that
//! missed the notification learns of the content from the next two crashes.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use bytes::BytesMut;
use wire::clock::Millis;
use wire::frame;
use wire::id;

use crate::core::Core;
use crate::http::client::Post;
use crate::peer;

/// The most contents kept; the oldest is dropped first. Such requests are rare, so a thousand
/// entries outlast every caller's retries.
const MAX_CONTENTS: usize = 1_024;
/// Timeout for notifying another VM of a content.
const NOTIFY_TIMEOUT: Millis = Millis::new(1_000);

/// Contents that are refused permanently, sorted, with the time at which this VM added each.
#[derive(Debug, Default)]
pub struct Poison(Mutex<Vec<(id::Digest, Millis)>>);

impl Poison {
    /// Returns whether a content is refused permanently.
    #[must_use]
    pub fn contains(&self, content: id::Digest) -> bool {
        let known = self.lock();
        known.binary_search_by_key(&content, |(c, _)| *c).is_ok()
    }

    /// Adds a content; drops the oldest one if there are too many.
    pub fn add(&self, content: id::Digest, now: Millis) {
        let mut known = self.lock();
        if let Err(at) = known.binary_search_by_key(&content, |(c, _)| *c) {
            known.insert(at, (content, now));
        }
        if known.len() > MAX_CONTENTS {
            let oldest = known.iter().enumerate().min_by_key(|(_, (_, at))| *at);
            if let Some((at, _)) = oldest {
                known.remove(at);
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(id::Digest, Millis)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Marks a content as poisoned on this VM and notifies the other VMs of the data centre.
pub fn mark(core: &Arc<Core>, content: id::Digest) {
    core.poison.add(content, core.clock.now());
    let Ok(body) = frame::encode(&content) else {
        return;
    };
    let own = &core.settings.vm;
    let view = core.view();
    let others = view.peers.iter().filter(|p| p.vm != own.name);
    for other in others.filter(|p| p.up && p.centre == own.centre) {
        let (core, body) = (core.clone(), body.clone());
        let address = other.address.to_string();
        core.clone()
            .tasks
            .spawn(async move { notify(&core, &address, body).await });
    }
}

async fn notify(core: &Core, address: &str, body: Bytes) {
    let post = Post {
        address,
        path: peer::POISON,
        content_type: "application/msgpack",
        headers: &[],
        body,
    };
    let _unreached =
        tokio::time::timeout(NOTIFY_TIMEOUT.as_duration(), core.client.post(post)).await;
}

/// Handles [`peer::POISON`]. Returns `None` if the body isn't a frame.
pub fn serve(core: &Core, body: Bytes) -> Option<Bytes> {
    let content = frame::decode::<id::Digest>(&mut BytesMut::from(body)).ok()??;
    core.poison.add(content, core.clock.now());
    frame::encode(&()).ok()
}

#[cfg(test)]
mod tests;
