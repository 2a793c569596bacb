//! Reads a shard from the platform: the image that the index names, then the journal after it.
//!
//! Exists for the failure "the state is rebuilt from a part of the journal": numbers must follow
//! one another without a gap, and each record must fit. The old owner may snapshot and remove keys
//! meanwhile, which looks like a gap and is gone at the next reading.

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

/// Keys listed first; each may be as large as a value can be.
const FIRST_PAGE_KEYS: usize = 16;
/// Keys listed at once when they are small; a journal of a few hundred keys is one page then.
const MAX_PAGE_KEYS: usize = 512;
/// Bytes that a page is meant to have, by the largest value of the page before: enough to make the
/// platform's answer time small beside the transfer, and a small part of a VM's memory.
const PAGE_BYTES: usize = 4 * 1024 * 1024;
/// Readings of a journal that changes meanwhile. Each image takes hundreds of appends, so one
/// that moved twice while it was read is rare.
const MAX_READS: u32 = 5;

/// A shard as far as it was read.
#[derive(Debug)]
pub(super) struct Loaded {
    pub(super) state: State,
    /// The number of the first key that wasn't read.
    pub(super) next: u64,
    pub(super) index: KnownIndex,
    /// The VMs that hold copies for the owner that opened the shard last, at the first reading.
    pub(super) old_copies: Vec<copy::Holder>,
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

/// Reads a shard.
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

/// Reads on to the journal's end.
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
        old_copies: Vec::new(),
    };
    read_tail(platform, shard, &mut loaded).await?;
    loaded.old_copies = loaded.state.copies().to_vec();
    Ok(loaded)
}
