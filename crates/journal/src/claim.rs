//! How a VM becomes the owner of a shard.
//!
//! Exists for the failure "a VM dies or pauses and its programs wait for ever, or are run by two
//! VMs". The ownership record decides who tries; the [`Record::Opened`](crate::record::Record) in
//! the journal is the fence that makes every earlier owner's next append fail.

use derive_more::Display;
use derive_more::Error;
use platform::edge;
use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::log::Log;
use crate::log::Setup;
use crate::state::State;

/// The value of the ownership key `owner/<centre>/<index>`, which goes with its VM's lease.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ownership {
    /// The owner.
    pub vm: id::Vm,
    /// One more than at the last opening.
    pub epoch: u64,
    /// The VMs that hold copies.
    pub copies: Vec<id::Vm>,
}

/// A shard that this VM owns.
#[derive(Debug)]
pub struct Opened {
    /// The number of the ownership, the fencing number of its orders.
    pub epoch: u64,
    /// The state, rebuilt.
    pub state: State,
    /// The log to append to.
    pub log: Log,
}

/// Why a claim failed. Nothing is owned then.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The ownership record belongs to another VM.
    #[display("{} owns the shard", _0.vm)]
    Owned(#[error(not(source))] Ownership),
    /// Another VM opened the shard meanwhile.
    #[display("another VM opened the shard")]
    Raced,
    /// A VM that may hold copies doesn't answer and isn't gone by the platform's list.
    #[display("{_0} may hold copies and doesn't answer")]
    Waiting(#[error(not(source))] id::Vm),
    /// The platform doesn't answer as it should.
    #[display("{_0}")]
    Platform(edge::Fault),
    /// The journal has a gap or records that don't fit.
    #[display("the journal is damaged: {_0}")]
    Damaged(#[error(not(source))] String),
}

/// The outcome of a claim.
pub type Result<T> = std::result::Result<T, Fault>;

/// Claims a shard and opens it.
///
/// # Errors
///
/// Fails with a [`Fault`]; the caller may try again later.
pub async fn open(setup: Setup, lease: edge::Lease) -> Result<Opened> {
    todo!("{} {lease:?}", setup.vm)
}

/// Writes the ownership record anew after its lease has lapsed, for an owner that still has the
/// shard open. `false` where another VM holds the record.
///
/// # Errors
///
/// Fails where the platform doesn't answer as it should.
pub async fn reclaim(setup: &Setup, epoch: u64, lease: edge::Lease) -> Result<bool> {
    todo!("{} {epoch} {lease:?}", setup.vm)
}

/// Gives a shard up: removes the ownership record, where it is this VM's. The caller has ended its
/// appends.
///
/// # Errors
///
/// Fails where the platform doesn't answer as it should; the lease's end does the same.
pub async fn release(setup: &Setup, epoch: u64) -> Result<()> {
    todo!("{} {epoch}", setup.vm)
}
