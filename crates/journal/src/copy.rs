//! Copies of batches that wait for the platform, held by other VMs of the centre.
//!
//! Exists for the failure "a VM dies during an outage of the platform and takes answered turns
//! with it". The copies are pending writes, not a store: they go to the journal and are dropped.

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
    /// Drawn at random at each start of the VM's process. One that was restarted has lost what it
    /// held, and would otherwise pass for one that never held anything.
    pub incarnation: u64,
}

/// A batch that waits for the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The epoch of the owner that wrote it.
    pub epoch: u64,
    /// The number of the journal key that it is meant for.
    pub seq: u64,
    /// The value of that key, byte for byte.
    pub value: Bytes,
}

/// What a VM yields to a new owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Collected {
    /// The incarnation of the VM that answers.
    pub incarnation: u64,
    /// What it holds of the shard.
    pub held: Vec<Batch>,
}

/// Why a VM doesn't hold or yield copies.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum Fault {
    /// A newer owner has collected the shard's copies there.
    #[display("fenced by epoch {_0}")]
    Fenced(#[error(not(source))] u64),
    /// The VM was restarted since the owner opened the shard; what it held is lost, and a new
    /// owner wouldn't count its answer.
    #[display("the VM was restarted")]
    Restarted,
    /// The VM holds as much as it may.
    #[display("no room for more copies")]
    Full,
    /// The VM doesn't answer.
    #[display("the VM doesn't answer")]
    Unreachable,
}

/// The outcome of a call on copies.
pub type Result<T> = std::result::Result<T, Fault>;

/// Yields how many of a shard's holders must have a batch before it counts as durable in an outage.
/// Each acknowledgement survives one more death: with one or two holders there is room for one,
/// with more it takes two.
#[must_use]
pub const fn acks(holders: usize) -> usize {
    match holders {
        0 => 0,
        1..=2 => 1,
        _ => 2,
    }
}

/// The VMs of the centre, this one among them, as the journal sees them.
#[async_trait]
pub trait Peers: Send + Sync + 'static {
    /// Asks a VM to hold a batch of a shard ([`Store::hold`]).
    async fn hold(&self, holder: &Holder, shard: &id::Shard, held: &Batch) -> Result<()>;

    /// Asks a VM for the batches that it holds of a shard, and fences owners before `epoch` there
    /// ([`Store::collect`]). A VM that owns the shard under an earlier epoch first steps down
    /// ([`crate::log::Log::step_down`]) and puts what that yields into its own store
    /// ([`Store::keep`]), so that a second claimer finds it there if the first one dies.
    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> Result<Collected>;

    /// Puts what was in line when this VM lost a shard into its own store ([`Store::keep`]). It
    /// may have been acknowledged by a VM that is gone since, and the next claimer asks for it.
    async fn keep(&self, shard: &id::Shard, held: Vec<Batch>);

    /// Tells a VM that the batches of a shard up to `seq` are in the journal ([`Store::drained`]).
    /// May be lost: later batches of a higher epoch drop them as well.
    async fn drained(&self, holder: &Holder, shard: &id::Shard, epoch: u64, seq: u64);
}

/// The copies that one VM holds for others.
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
    /// By epoch and number.
    held: Vec<Batch>,
}

impl Store {
    /// Makes an empty store that holds up to `limit` bytes. `incarnation` is drawn at random.
    #[must_use]
    pub fn new(incarnation: u64, limit: usize) -> Self {
        Self {
            incarnation,
            limit,
            used: 0,
            shards: Vec::new(),
        }
    }

    /// Yields the incarnation to name in [`Holder`].
    #[must_use]
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Holds a batch for an owner that means this `incarnation`. The same batch again is no fault.
    ///
    /// # Errors
    ///
    /// [`Fault::Restarted`], [`Fault::Fenced`], [`Fault::Full`]; nothing is held then.
    pub fn hold(&mut self, incarnation: u64, shard: &id::Shard, held: &Batch) -> Result<()> {
        if incarnation != self.incarnation {
            return Err(Fault::Restarted);
        }
        let index = self.index_of(shard);
        if held.epoch < self.shards[index].fence {
            return Err(Fault::Fenced(self.shards[index].fence));
        }
        if self.used.saturating_add(held.value.len()) > self.limit {
            return Err(Fault::Full);
        }
        // An owner has opened the shard before it sends copies, and by then what earlier owners
        // left here was in the journal.
        self.remove_where(index, |old| old.epoch < held.epoch);
        self.insert_batch(index, held.clone());
        Ok(())
    }

    /// Yields what is held of a shard and fences owners before `epoch`. The batches stay until
    /// they are [`drained`](Self::drained): the claimer may die before it has written them.
    ///
    /// # Errors
    ///
    /// [`Fault::Fenced`] where an owner of a later epoch has collected.
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

    /// Keeps what this VM's own log had in line when it stepped down; the limit doesn't count, as
    /// the batches were in this VM's memory already.
    pub fn keep(&mut self, shard: &id::Shard, held: Vec<Batch>) {
        let index = self.index_of(shard);
        for held in held {
            self.insert_batch(index, held);
        }
    }

    /// Drops the batches of a shard that are in the journal: those of `epoch` up to `seq`, and all
    /// of earlier epochs.
    pub fn drained(&mut self, shard: &id::Shard, epoch: u64, seq: u64) {
        let index = self.index_of(shard);
        self.remove_where(index, |held| (held.epoch, held.seq) <= (epoch, seq));
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

    fn insert_batch(&mut self, index: usize, held: Batch) {
        let batches = &mut self.shards[index].held;
        let found = batches.binary_search_by_key(&(held.epoch, held.seq), |h| (h.epoch, h.seq));
        if let Err(position) = found {
            self.used += held.value.len();
            batches.insert(position, held);
        }
    }

    fn remove_where(&mut self, index: usize, is_removed: impl Fn(&Batch) -> bool) {
        let batches = &mut self.shards[index].held;
        let freed: usize = batches
            .iter()
            .filter(|held| is_removed(held))
            .map(|held| held.value.len())
            .sum();
        batches.retain(|held| !is_removed(held));
        self.used -= freed;
    }
}

#[cfg(test)]
mod tests;
