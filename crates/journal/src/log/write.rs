//! One attempt to create a journal key, and the meaning of its outcome.
//!
//! Prevents these failures: a stale owner appends, and the response to an append is lost. The key
//! is created only if it is absent *and* the snapshot index has the revision that the writer knows.
//! The second condition covers a stale owner that wakes up after the new owner has written a
//! snapshot and removed the keys that would have blocked the stale one. Without it, the stale owner
//! would find its next key absent and consider its append durable.
//!
//! The same bytes may be sent any number of times: they contain a nonce, so a key that holds them
//! got them from an earlier send of the same write.

use bytes::Bytes;
use platform::edge::Compare;
use platform::edge::Entry;
use platform::edge::Fault;
use platform::edge::Outcome;
use platform::edge::Platform;
use platform::edge::Priority;
use platform::edge::Txn;
use platform::edge::Write;
use wire::id;

use crate::key;
use crate::record::Batch;
use crate::record::Record;

/// A write of the next journal key.
#[derive(Clone, Debug)]
pub(crate) struct KeyWrite {
    /// The key's number.
    pub(crate) seq: u64,
    /// The encoded batch.
    pub(crate) value: Bytes,
    /// The new value of the snapshot index, if it is set in the same transaction.
    pub(crate) index: Option<Bytes>,
    /// The revision of the snapshot index that the writer knows; 0 if there is none.
    pub(crate) index_revision: u64,
}

/// The outcome of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The key has held the value since this revision.
    Written(u64),
    /// The key holds another value. It has never held this value and never will.
    Taken,
    /// Another owner has changed the snapshot index, or has written this value in the writer's
    /// place. An earlier send may have taken effect.
    Superseded,
    /// The outcome is unknown, or the write had no effect; the same value may be sent again.
    Retry(Fault),
}

/// Sends a write once.
pub(crate) async fn send(
    platform: &dyn Platform,
    shard: &id::Shard,
    write: &KeyWrite,
) -> WriteOutcome {
    let key = key::journal(shard, write.seq);
    match platform.commit(&txn(shard, write), Priority::Commit).await {
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

/// Returns whether the write's index, if it has one, was set together with its key. A new owner
/// that collected the batch from a copy writes only the key; if the old owner then assumed that its
/// index was set, it would remove keys that no image covers.
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

/// Encodes a batch. Returns `None` if a record can't be encoded, which the record types rule out.
pub(crate) fn encode(writer: &id::Vm, nonce: u64, records: Vec<Record>) -> Option<Bytes> {
    let batch = Batch {
        writer: writer.clone(),
        nonce,
        records,
    };
    rmp_serde::to_vec_named(&batch).ok().map(Bytes::from)
}

/// Returns the nonce of a batch. It differs between claims by `seed` and between keys by `seq`.
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
