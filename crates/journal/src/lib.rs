//! The journals of shards: the state that must survive the loss of a VM, stored in the platform's
//! key-value service.
//!
//! A shard's journal is a sequence of consecutive keys. A key is created only if it is absent and
//! the snapshot index still has the revision that the writer knows, so two owners can never both
//! append. Leases only decide which VM tries to own a shard.
//!
//! The owner of a shard holds a [`state::State`]. For each request it calls [`decision`], applies
//! the returned records to the state immediately, and passes them to [`log::Log::append`] in the
//! same step. Side effects (a dispatch, the last event of an answer) wait for the append's future.
//! When the shard is lost to another owner, the owner discards its whole state together with the
//! log.

pub mod claim;
pub mod copy;
pub mod decision;
pub mod key;
pub mod log;
pub mod program;
pub mod record;
pub mod snapshot;
pub mod state;
