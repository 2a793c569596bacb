//! Copies of batches that wait for the platform, held by other VMs of the centre.
//!
//! Exists for the failure "a VM dies during an outage of the platform and takes answered turns
//! with it". The copies are pending writes, not a store: they go to the journal and are dropped.

use async_trait::async_trait;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wire::id;

/// A batch that waits for the platform.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Held {
    /// The number of the journal key that it is meant for.
    pub seq: u64,
    /// The value of that key, byte for byte.
    pub value: Bytes,
}

/// Why a VM doesn't hold or yield copies.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// A newer owner has collected the shard's copies there.
    #[display("fenced by epoch {_0}")]
    Fenced(#[error(not(source))] u64),
    /// The VM holds as much as it may.
    #[display("no room for more copies")]
    Full,
    /// The VM doesn't answer.
    #[display("the VM doesn't answer")]
    Unreachable,
}

/// The outcome of a call on copies.
pub type Result<T> = std::result::Result<T, Fault>;

/// The other VMs of the centre, as the journal sees them.
#[async_trait]
pub trait Peers: Send + Sync + 'static {
    /// Asks a VM to hold a batch of a shard.
    async fn hold(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64, held: &Held) -> Result<()>;

    /// Asks a VM for the batches that it holds of a shard, and fences owners before `epoch` there.
    /// A VM that owns the shard under an earlier epoch steps down ([`crate::log::Log::surrender`])
    /// and yields what waits in its memory as well.
    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> Result<Vec<Held>>;

    /// Tells a VM that the batches of a shard up to `seq` are in the journal. May be lost.
    async fn drained(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64, seq: u64);
}
