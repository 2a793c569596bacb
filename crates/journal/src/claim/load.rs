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
const FIRST_PAGE: usize = 16;
/// Keys listed at once when they are small; a journal of a few hundred keys is one page then.
const LARGEST_PAGE: usize = 512;
/// Bytes that a page is meant to have, by the largest value of the page before: enough to make the
/// platform's answer time small beside the transfer, and a small part of a VM's memory.
const PAGE_BYTES: usize = 4 * 1024 * 1024;
/// Readings of a journal that changes meanwhile. Each image takes hundreds of appends, so one
/// that moved twice while it was read is rare.
const READINGS: u32 = 5;

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
    pub(super) fn add(&mut self, value: &[u8]) -> Result<()> {
        let next = self.next;
        let damaged = |why: String| Fault::Damaged(format!("key {next}: {why}"));
        let batch: Batch =
            rmp_serde::from_slice(value).map_err(|fault| damaged(fault.to_string()))?;
        for record in &batch.records {
            let misfit = self.state.check(record).err();
            if let Some(misfit) = misfit {
                return Err(damaged(misfit.to_string()));
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
    for _ in 0..READINGS {
        match once(platform, shard).await {
            Err(Fault::Damaged(why)) => fault = Fault::Damaged(why),
            other => return other,
        }
    }
    Err(fault)
}

/// Reads on to the journal's end.
pub(super) async fn rest(
    platform: &dyn Platform,
    shard: &id::Shard,
    loaded: &mut Loaded,
) -> Result<()> {
    let prefix = key::journal_prefix(shard);
    let mut limit = FIRST_PAGE;
    loop {
        let from = key::journal(shard, loaded.next);
        let page = platform.range(&prefix, &from, limit).await?;
        for entry in &page {
            let due = key::journal(shard, loaded.next);
            if entry.key != due {
                return Err(Fault::Damaged(format!("{due} is missing")));
            }
            loaded.add(&entry.value)?;
        }
        if page.len() < limit {
            return Ok(());
        }
        let largest = page.iter().map(|entry| entry.value.len()).max();
        limit = (PAGE_BYTES / largest.unwrap_or(1).max(1)).clamp(1, LARGEST_PAGE);
    }
}

async fn once(platform: &dyn Platform, shard: &id::Shard) -> Result<Loaded> {
    let index = snapshot::read_index(platform, shard).await?;
    let (state, next) = match &index.index {
        None => (State::default(), 0),
        Some(named) => {
            let image = snapshot::read_image(platform, shard, named).await?;
            let missing = || Fault::Damaged("the image is missing or damaged".to_owned());
            (image.ok_or_else(missing)?, named.seq + 1)
        }
    };
    let mut loaded = Loaded {
        state,
        next,
        index,
        old_copies: Vec::new(),
    };
    rest(platform, shard, &mut loaded).await?;
    loaded.old_copies = loaded.state.copies().to_vec();
    Ok(loaded)
}
