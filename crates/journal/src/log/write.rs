//! One try to create a journal key, and what its outcome means.
//!
//! Exists for the failures "a stale owner appends" and "the answer of an append is lost". The key
//! is created only where it is absent *and* the snapshot index is the one that the writer knows.
//! The second condition covers a stale owner that wakes up after the new one has snapshotted and
//! removed the keys that stood in its way: without it, that owner would find its next key absent
//! and take its append for durable.
//!
//! The same bytes may be sent any number of times: they carry a nonce, so that a key which holds
//! them can only hold them on account of an earlier send.

use bytes::Bytes;
use platform::edge::Compare;
use platform::edge::Entry;
use platform::edge::Fault;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Txn;
use platform::edge::Weight;
use platform::edge::Write;
use wire::id;

use crate::key;
use crate::record::Batch;
use crate::record::Record;

/// A value for the next journal key.
#[derive(Clone, Debug)]
pub(crate) struct KeyWrite {
    /// The key's number.
    pub(crate) seq: u64,
    /// The encoded batch.
    pub(crate) value: Bytes,
    /// The new value of the snapshot index that is set along with it.
    pub(crate) index: Option<Bytes>,
    /// The revision of the snapshot index that the writer knows; 0 where there is none.
    pub(crate) index_revision: u64,
}

/// What became of a try.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The key holds the value since this revision.
    Written(u64),
    /// The key holds another value, and never held nor will hold this one.
    Taken,
    /// Another owner has moved the snapshot index, or has written the value in this one's place.
    /// An earlier send may have landed.
    Superseded,
    /// Not known, or not done; the same value may be sent again.
    Retry(Fault),
}

/// Sends an item once.
pub(crate) async fn send(
    platform: &dyn Platform,
    shard: &id::Shard,
    write: &KeyWrite,
) -> WriteOutcome {
    let key = key::journal(shard, write.seq);
    match platform.commit(&txn(shard, write), Weight::Commit).await {
        Ok(Outcome::Applied(revision)) => WriteOutcome::Written(revision),
        Ok(Outcome::Refused(present)) => match present.iter().find(|entry| entry.key == key) {
            Some(entry) if entry.value != write.value => WriteOutcome::Taken,
            Some(entry) if is_index_set(shard, write, entry, &present) => {
                WriteOutcome::Written(entry.revision)
            }
            Some(_) | None => WriteOutcome::Superseded,
        },
        Err(fault) => WriteOutcome::Retry(fault),
    }
}

/// Tells whether the index of an item, where it has one, was set along with its key. A new owner
/// that collected the item from a copy writes the key alone; an owner that took its index for set
/// would go on to remove keys that no image covers.
fn is_index_set(
    shard: &id::Shard,
    write: &KeyWrite,
    journal_entry: &Entry,
    present: &[Entry],
) -> bool {
    let key = key::index(shard);
    let index = present.iter().find(|entry| entry.key == key);
    write.index.is_none() || index.is_some_and(|index| index.revision == journal_entry.revision)
}

/// Encodes a batch. `None` where a record can't be encoded, which their types rule out.
pub(crate) fn encode(writer: &id::Vm, nonce: u64, records: Vec<Record>) -> Option<Bytes> {
    let batch = Batch {
        writer: writer.clone(),
        nonce,
        records,
    };
    rmp_serde::to_vec_named(&batch).ok().map(Bytes::from)
}

/// Yields the nonce of a batch: differs from claim to claim by `seed` and from key to key.
pub(crate) fn nonce(seed: u64, seq: u64) -> u64 {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    bytes[8..].copy_from_slice(&seq.to_be_bytes());
    id::Digest::of(&bytes).0
}

fn txn(shard: &id::Shard, write: &KeyWrite) -> Txn {
    let put = |key: String, value: &Bytes| Write::Put {
        key,
        value: value.to_vec(),
        lease: None,
    };
    let index = write
        .index
        .iter()
        .map(|value| put(key::index(shard), value));
    let absent = Compare {
        key: key::journal(shard, write.seq),
        revision: 0,
    };
    let known = Compare {
        key: key::index(shard),
        revision: write.index_revision,
    };
    Txn {
        compares: vec![absent, known],
        writes: [put(key::journal(shard, write.seq), &write.value)]
            .into_iter()
            .chain(index)
            .collect(),
    }
}

#[cfg(test)]
mod tests;
