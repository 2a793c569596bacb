//! Contents that crashed the endpoints that ran them, as this VM knows them.
//!
//! Each shard's journal remembers its own. A caller that asks again without naming a program gets
//! a new one, perhaps of another shard or through another VM; without this list the request would
//! crash two further endpoints there. It is spread in the data centre when a content is condemned,
//! and kept in memory: a VM that missed it learns it from the next two crashes.

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

/// Contents kept; the oldest go first. Such requests come "now and then": a thousand outlast every
/// caller's retries.
const KEPT: usize = 1_024;
/// How long another VM may take to hear of a content.
const TOLD: Millis = Millis::new(1_000);

/// Contents that are refused for good, sorted, with the time at which each was condemned.
#[derive(Debug, Default)]
pub struct Poison(Mutex<Vec<(id::Digest, Millis)>>);

impl Poison {
    /// Tells whether a content is refused for good.
    #[must_use]
    pub fn knows(&self, content: id::Digest) -> bool {
        let known = self.lock();
        known.binary_search_by_key(&content, |(c, _)| *c).is_ok()
    }

    /// Adds a content.
    pub fn add(&self, content: id::Digest, now: Millis) {
        let mut known = self.lock();
        if let Err(at) = known.binary_search_by_key(&content, |(c, _)| *c) {
            known.insert(at, (content, now));
        }
        if known.len() > KEPT {
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

/// Condemns a content on this VM and tells the others of the data centre.
pub fn condemn(core: &Arc<Core>, content: id::Digest) {
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
            .spawn(async move { tell(&core, &address, body).await });
    }
}

async fn tell(core: &Core, address: &str, body: Bytes) {
    let post = Post {
        address,
        path: peer::POISON,
        content_type: "application/msgpack",
        headers: &[],
        body,
    };
    let _lost = tokio::time::timeout(TOLD.as_duration(), core.client.post(post)).await;
}

/// Answers [`peer::POISON`]; `None` where the body isn't a frame.
pub fn serve(core: &Core, body: Bytes) -> Option<Bytes> {
    let content = frame::decode::<id::Digest>(&mut BytesMut::from(body)).ok()??;
    core.poison.add(content, core.clock.now());
    frame::encode(&()).ok()
}

#[cfg(test)]
mod tests;
