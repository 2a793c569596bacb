//! Images of a shard's state, which let a takeover start without reading the whole journal and
//! allow old journal keys to be removed.
//!
//! Prevents these failures: the journal outgrows the platform, and a takeover takes longer than
//! callers wait.
//!
//! An image is the whole state, including histories, split into chunks below the platform's maximum
//! value size. The chunks are written first, under a name that no other image has. Then the index
//! that names them is set in the same transaction as the next append, so that a stale owner can't
//! set it. Then the covered keys and the previous image are removed. A crash before the index is
//! set leaves the earlier image and every key in place. A crash after it leaves keys that no
//! takeover reads, which the next removal deletes.
//!
//! Not implemented: loading a program's history on demand, and incremental images. An image is as
//! large as the state, and one is due when the journal since the last image has grown as large as
//! that image, so images at most double the amount written.

mod progress;

use std::sync::Arc;

use bytes::Bytes;
use platform::edge::Compare;
use platform::edge::Fault;
use platform::edge::MAX_VALUE;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Result;
use platform::edge::Txn;
use platform::edge::Write;
use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::key;
use crate::log::backoff;
use crate::state::State;

pub(crate) use progress::Progress;
pub(crate) use progress::Removal;

/// How often one chunk or removal is tried before the image or removal is abandoned; about 15 s
/// with the longest waits. The next image tries again.
const MAX_TRIES: u32 = 20;
/// Keys removed in one transaction; half of etcd's default limit.
const KEYS_PER_REMOVAL: u64 = 64;
/// Chunks listed at once when leftovers are removed; each may have the maximum value size.
const CHUNKS_PER_PAGE: usize = 2;

/// An encoded state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Image(Bytes);

/// The value of the index key; names the image that a takeover starts from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Index {
    /// The number of the last journal key that the image covers.
    pub seq: u64,
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// The number of keys that hold the image.
    pub chunks: u32,
    /// The size of the image in bytes.
    pub bytes: u64,
    /// The number of the first journal key that may still exist.
    pub floor: u64,
}

/// The index as known to a VM.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct KnownIndex {
    /// The platform's revision at which the index was set; 0 if it was never set.
    pub revision: u64,
    /// The index.
    pub index: Option<Index>,
}

/// The parameters of writing an image.
pub(crate) struct Context {
    pub(crate) platform: Arc<dyn Platform>,
    pub(crate) shard: id::Shard,
    pub(crate) epoch: u64,
    /// The number of the last journal key that the image covers.
    pub(crate) seq: u64,
    pub(crate) seed: u64,
}

impl Image {
    /// Encodes a state. Takes time proportional to the size of the state.
    #[must_use]
    pub fn of(state: &State) -> Self {
        // Encoding doesn't fail: the state consists of values decoded from the same format. An
        // empty image is never written.
        Self(rmp_serde::to_vec_named(state).map_or_else(|_| Bytes::new(), Bytes::from))
    }

    /// Returns the size in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.0.len()
    }

    /// Decodes the state. Returns `None` if the bytes are damaged.
    #[must_use]
    pub fn decode(&self) -> Option<State> {
        rmp_serde::from_slice(&self.0).ok()
    }
}

impl Index {
    pub(crate) fn encode(&self) -> Bytes {
        rmp_serde::to_vec_named(self).map_or_else(|_| Bytes::new(), Bytes::from)
    }

    /// Decodes the value of an index key. Returns `None` if the bytes are damaged.
    #[must_use]
    pub fn decode(value: &[u8]) -> Option<Self> {
        rmp_serde::from_slice(value).ok()
    }
}

/// Writes an image's chunks. Returns `None` if the platform didn't accept them.
pub(crate) async fn write_image(context: &Context, image: &Image, floor: u64) -> Option<Index> {
    if image.0.is_empty() {
        return None;
    }
    let mut chunks = 0;
    for start in (0..image.0.len()).step_by(MAX_VALUE) {
        let end = image.0.len().min(start + MAX_VALUE);
        let put = Write::Put {
            key: key::chunk(&context.shard, context.epoch, context.seq, chunks),
            value: image.0[start..end].to_vec(),
            lease: None,
        };
        let platform = context.platform.as_ref();
        if !commit_until_done(platform, vec![put], context.seed).await {
            return None;
        }
        chunks += 1;
    }
    Some(Index {
        seq: context.seq,
        epoch: context.epoch,
        chunks,
        bytes: image.0.len() as u64,
        floor,
    })
}

/// Reads the image that an index names. Returns `None` if a chunk is damaged or missing, which
/// happens when a newer index has been set in the meantime.
///
/// # Errors
///
/// Fails if the platform doesn't answer.
pub async fn read_image(
    platform: &dyn Platform,
    shard: &id::Shard,
    index: &Index,
) -> Result<Option<State>> {
    let mut bytes = Vec::new();
    for chunk in 0..index.chunks {
        let key = key::chunk(shard, index.epoch, index.seq, chunk);
        match platform.read(&key).await? {
            Some(entry) => bytes.extend_from_slice(&entry.value),
            None => return Ok(None),
        }
    }
    if bytes.len() as u64 != index.bytes {
        return Ok(None);
    }
    Ok(Image(bytes.into()).decode())
}

/// Reads the index.
///
/// # Errors
///
/// Fails if the platform doesn't answer, and with [`Fault::Invalid`] if the index is damaged.
pub async fn read_index(platform: &dyn Platform, shard: &id::Shard) -> Result<KnownIndex> {
    let Some(entry) = platform.read(&key::index(shard)).await? else {
        return Ok(KnownIndex::default());
    };
    let damaged = || Fault::Invalid("the snapshot index is damaged".to_owned());
    let index = Index::decode(&entry.value).ok_or_else(damaged)?;
    Ok(KnownIndex {
        revision: entry.revision,
        index: Some(index),
    })
}

/// Removes the keys that a new index has superseded. Returns `false` if the platform didn't accept
/// a removal.
pub(crate) async fn remove_superseded(
    platform: &dyn Platform,
    shard: &id::Shard,
    epoch: u64,
    removal: &Removal,
    seed: u64,
) -> bool {
    let mut keys: Vec<String> = (removal.from..=removal.through)
        .map(|seq| key::journal(shard, seq))
        .collect();
    if let Some(old) = &removal.image {
        keys.extend((0..old.chunks).map(|chunk| key::chunk(shard, old.epoch, old.seq, chunk)));
    }
    for keys in keys.chunks(usize::try_from(KEYS_PER_REMOVAL).unwrap_or(1)) {
        let deletes = keys.iter().cloned().map(Write::Delete).collect();
        if !commit_until_done(platform, deletes, seed).await {
            return false;
        }
    }
    let no_leftovers = removal.image.as_ref().is_some_and(|old| old.epoch == epoch);
    no_leftovers || remove_leftovers(platform, shard, epoch, seed).await
}

/// Removes the chunks of images whose writer lost the shard before it set their index. Removes only
/// chunks of earlier epochs, because a later owner may be writing its own. Runs with the first
/// image of an epoch.
async fn remove_leftovers(
    platform: &dyn Platform,
    shard: &id::Shard,
    epoch: u64,
    seed: u64,
) -> bool {
    let prefix = key::images_prefix(shard);
    let end = key::image_prefix(shard, epoch, 0);
    let mut from = prefix.clone();
    while from < end {
        let Ok(listed) = platform.range(&prefix, &from, CHUNKS_PER_PAGE).await else {
            return false;
        };
        let Some(last) = listed.last() else {
            return true;
        };
        // The smallest listed name after the last one.
        from = format!("{}!", last.key);
        let keys = listed.into_iter().map(|entry| entry.key);
        let deletes: Vec<Write> = keys.filter(|key| *key < end).map(Write::Delete).collect();
        if !deletes.is_empty() && !commit_until_done(platform, deletes, seed).await {
            return false;
        }
    }
    true
}

/// Repeats idempotent writes until they are known to have taken effect. Returns `false` after
/// [`MAX_TRIES`].
async fn commit_until_done(platform: &dyn Platform, writes: Vec<Write>, seed: u64) -> bool {
    let txn = Txn {
        compares: Vec::<Compare>::new(),
        writes,
    };
    for tries in 1..=MAX_TRIES {
        let pause = match platform.commit(&txn, Priority::Background).await {
            Ok(_) => return true,
            Err(Fault::Limited(pause)) => pause,
            Err(_) => backoff(tries, seed),
        };
        tokio::time::sleep(pause.as_duration()).await;
    }
    false
}
