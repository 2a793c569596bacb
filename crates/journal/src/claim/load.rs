//! Reads a shard from the platform: the image that the index names, then the journal after it.
//!
//! Prevents the failure "the state is rebuilt from only a part of the journal": the key numbers
//! must be consecutive, and each record must match the state. The old owner may write a snapshot
//! and remove keys during the read, which looks like a gap and is resolved by reading again.

use platform::edge::Platform;
use wire::id;

use super::Fault;
use super::Result;
use crate::copy;
use crate::key;
use crate::record::Batch;
use crate::snapshot;
use crate::snapshot::KnownIndex;
use crate::state::State;

/// The number of keys in the first page; each value may have the maximum size.
const FIRST_PAGE_KEYS: usize = 16;
/// The maximum number of keys in a page of small values; a journal of a few hundred keys then fits
/// one page.
const MAX_PAGE_KEYS: usize = 512;
/// The target size of a page, estimated from the largest value of the previous page: large enough
/// that the platform's response time is small compared with the transfer, and small compared with a
/// VM's memory.
const PAGE_BYTES: usize = 4 * 1024 * 1024;
/// How often a journal that changes during the read is read. Each image takes hundreds of appends,
/// so an image rarely changes twice during one read.
const MAX_READS: u32 = 5;

/// A shard as far as it has been read.
#[derive(Debug)]
pub(super) struct Loaded {
    pub(super) state: State,
    /// The number of the first key that hasn't been read.
    pub(super) next: u64,
    pub(super) index: KnownIndex,
    /// The VMs that held copies for the last owner, as of the first read.
    pub(super) old_copy_holders: Vec<copy::Holder>,
}

impl Loaded {
    /// Applies the value of the next key.
    pub(super) fn apply_next(&mut self, value: &[u8]) -> Result<()> {
        let next = self.next;
        let damaged = |why: String| Fault::Damaged(format!("key {next}: {why}"));
        let batch: Batch =
            rmp_serde::from_slice(value).map_err(|fault| damaged(fault.to_string()))?;
        for record in &batch.records {
            let mismatch = self.state.check(record).err();
            if let Some(mismatch) = mismatch {
                return Err(damaged(mismatch.to_string()));
            }
            self.state.apply(record);
        }
        self.next += 1;
        Ok(())
    }
}

/// Reads a shard. Reads it again, [`MAX_READS`] times in all, while it appears damaged.
pub(super) async fn load(platform: &dyn Platform, shard: &id::Shard) -> Result<Loaded> {
    let mut fault = Fault::Raced;
    for _ in 0..MAX_READS {
        match load_once(platform, shard).await {
            Err(Fault::Damaged(why)) => fault = Fault::Damaged(why),
            other => return other,
        }
    }
    Err(fault)
}

/// Reads and applies the rest of the journal.
pub(super) async fn read_tail(
    platform: &dyn Platform,
    shard: &id::Shard,
    loaded: &mut Loaded,
) -> Result<()> {
    let prefix = key::journal_prefix(shard);
    let mut limit = FIRST_PAGE_KEYS;
    loop {
        let from = key::journal(shard, loaded.next);
        let page = platform.range(&prefix, &from, limit).await?;
        for entry in &page {
            let expected = key::journal(shard, loaded.next);
            if entry.key != expected {
                return Err(Fault::Damaged(format!("{expected} is missing")));
            }
            loaded.apply_next(&entry.value)?;
        }
        if page.len() < limit {
            return Ok(());
        }
        let largest = page.iter().map(|entry| entry.value.len()).max();
        limit = (PAGE_BYTES / largest.unwrap_or(1).max(1)).clamp(1, MAX_PAGE_KEYS);
    }
}

async fn load_once(platform: &dyn Platform, shard: &id::Shard) -> Result<Loaded> {
    let index = snapshot::read_index(platform, shard).await?;
    let (state, next) = match &index.index {
        None => (State::default(), 0),
        Some(image_index) => {
            let image = snapshot::read_image(platform, shard, image_index).await?;
            let missing = || Fault::Damaged("the image is missing or damaged".to_owned());
            (image.ok_or_else(missing)?, image_index.seq + 1)
        }
    };
    let mut loaded = Loaded {
        state,
        next,
        index,
        old_copy_holders: Vec::new(),
    };
    read_tail(platform, shard, &mut loaded).await?;
    loaded.old_copy_holders = loaded.state.copy_holders().to_vec();
    Ok(loaded)
}
