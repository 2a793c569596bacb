//! Copies of batches that wait for the platform, held by other VMs of the centre.
//!
//! Prevents the failure "a VM dies during a platform outage and answered turns are lost with it".
//! The copies are pending writes, not a permanent store: once they are in the journal, they are
//! dropped.

pub(crate) mod replicate;

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// A VM that may hold copies.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Holder {
    /// The VM.
    pub vm: id::Vm,
    /// Random for each start of the VM's process. A restarted VM has lost its copies, and without
    /// this number couldn't be told from a VM that never held any.
    pub incarnation: u64,
}

/// A batch that waits for the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// The number of the journal key that the batch is meant for.
    pub seq: u64,
    /// The exact value of that key.
    pub value: Bytes,
}

/// The response of a VM to a new owner that collects copies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collected {
    /// The incarnation of the responding VM.
    pub incarnation: u64,
    /// The batches that it holds for the shard.
    pub held: Vec<Batch>,
}

/// Why a VM doesn't hold or return copies.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum Fault {
    /// A newer owner has collected the shard's copies there.
    #[display("fenced by epoch {_0}")]
    Fenced(#[error(not(source))] u64),
    /// The VM was restarted after the owner recorded it as a holder. Its copies are lost, and a new
    /// owner wouldn't count its response.
    #[display("the VM was restarted")]
    Restarted,
    /// The VM holds as many copies as its limit allows.
    #[display("no room for more copies")]
    Full,
    /// The VM doesn't answer.
    #[display("the VM doesn't answer")]
    Unreachable,
}

/// The result of a call on copies.
pub type Result<T> = std::result::Result<T, Fault>;

/// Returns how many of a shard's holders must have a batch before it counts as durable in an
/// outage. Each acknowledgement covers the loss of one more VM: with one or two holders, one is
/// required; with more, two.
#[must_use]
pub const fn acks(holders: usize) -> usize {
    match holders {
        0 => 0,
        1..=2 => 1,
        _ => 2,
    }
}

/// The VMs of the centre, including this one, as seen by the journal.
#[async_trait]
pub trait Peers: Send + Sync + 'static {
    /// Asks a VM to hold a batch of a shard ([`Store::hold`]).
    async fn hold(&self, holder: &Holder, shard: &id::Shard, batch: &Batch) -> Result<()>;

    /// Asks a VM for the batches that it holds for a shard, and fences owners before `epoch` there
    /// ([`Store::collect`]). A VM that owns the shard under an earlier epoch first steps down
    /// ([`crate::log::Log::step_down`]) and puts the returned batches into its own store
    /// ([`Store::keep`]), so that a second claimer finds them there if the first one dies.
    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> Result<Collected>;

    /// Puts the batches that were queued when this VM lost a shard into its own store
    /// ([`Store::keep`]). They may have been acknowledged by a VM that is gone by now, and the next
    /// claimer asks for them.
    async fn keep(&self, shard: &id::Shard, held: Vec<Batch>);

    /// Tells a VM that the batches of a shard up to `seq` are in the journal ([`Store::drained`]).
    /// The message may get lost: later batches of a higher epoch also drop the older ones.
    async fn drained(&self, holder: &Holder, shard: &id::Shard, epoch: u64, seq: u64);
}

/// The copies that one VM holds for other VMs.
#[derive(Debug)]
pub struct Store {
    incarnation: u64,
    limit: usize,
    used: usize,
    shards: Vec<ShardCopies>,
}

#[derive(Debug)]
struct ShardCopies {
    shard: id::Shard,
    /// Owners of an earlier epoch are refused.
    fence: u64,
    /// Sorted by epoch and number.
    held: Vec<Batch>,
}

impl Store {
    /// Creates an empty store for up to `limit` bytes. `incarnation` must be random.
    #[must_use]
    pub fn new(incarnation: u64, limit: usize) -> Self {
        Self {
            incarnation,
            limit,
            used: 0,
            shards: Vec::new(),
        }
    }

    /// Returns the incarnation to put into [`Holder`].
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Holds a batch for an owner that expects this `incarnation`. Holding the same batch again
    /// succeeds.
    ///
    /// # Errors
    ///
    /// [`Fault::Restarted`], [`Fault::Fenced`], [`Fault::Full`]; the batch isn't held then.
    pub fn hold(&mut self, incarnation: u64, shard: &id::Shard, batch: &Batch) -> Result<()> {
        if incarnation != self.incarnation {
            return Err(Fault::Restarted);
        }
        let index = self.index_of(shard);
        if batch.epoch < self.shards[index].fence {
            return Err(Fault::Fenced(self.shards[index].fence));
        }
        if self.used.saturating_add(batch.value.len()) > self.limit {
            return Err(Fault::Full);
        }
        // An owner opens the shard before it sends copies, and the batches of earlier owners were
        // in the journal by then.
        self.remove_where(index, |old| old.epoch < batch.epoch);
        self.insert_batch(index, batch.clone());
        Ok(())
    }

    /// Returns the batches held for a shard and fences owners before `epoch`. The batches stay
    /// until they are [`drained`](Self::drained), because the claimer may die before it has written
    /// them.
    ///
    /// # Errors
    ///
    /// [`Fault::Fenced`] if an owner of a later epoch has collected.
    pub fn collect(&mut self, shard: &id::Shard, epoch: u64) -> Result<Collected> {
        let index = self.index_of(shard);
        let copies = &mut self.shards[index];
        if epoch < copies.fence {
            return Err(Fault::Fenced(copies.fence));
        }
        copies.fence = epoch;
        Ok(Collected {
            incarnation: self.incarnation,
            held: copies.held.clone(),
        })
    }

    /// Keeps the batches that this VM's own log had queued when it lost the shard. The limit
    /// doesn't apply, because the batches were already in this VM's memory.
    pub fn keep(&mut self, shard: &id::Shard, held: Vec<Batch>) {
        let index = self.index_of(shard);
        for batch in held {
            self.insert_batch(index, batch);
        }
    }

    /// Drops the batches of a shard that are in the journal: those of `epoch` up to `seq`, and all
    /// batches of earlier epochs.
    pub fn drained(&mut self, shard: &id::Shard, epoch: u64, seq: u64) {
        let index = self.index_of(shard);
        self.remove_where(index, |batch| (batch.epoch, batch.seq) <= (epoch, seq));
    }

    fn index_of(&mut self, shard: &id::Shard) -> usize {
        let found = self.shards.binary_search_by(|s| s.shard.cmp(shard));
        found.unwrap_or_else(|index| {
            let empty = ShardCopies {
                shard: shard.clone(),
                fence: 0,
                held: Vec::new(),
            };
            self.shards.insert(index, empty);
            index
        })
    }

    fn insert_batch(&mut self, index: usize, batch: Batch) {
        let batches = &mut self.shards[index].held;
        let found = batches.binary_search_by_key(&(batch.epoch, batch.seq), |h| (h.epoch, h.seq));
        if let Err(position) = found {
            self.used += batch.value.len();
            batches.insert(position, batch);
        }
    }

    fn remove_where(&mut self, index: usize, is_removed: impl Fn(&Batch) -> bool) {
        let batches = &mut self.shards[index].held;
        let freed: usize = batches
            .iter()
            .filter(|batch| is_removed(batch))
            .map(|batch| batch.value.len())
            .sum();
        batches.retain(|batch| !is_removed(batch));
        self.used -= freed;
    }
}

#[cfg(test)]
mod tests;
