//! The shards' journals: what must outlive a VM, kept in the platform's key-value service.
//!
//! A shard's journal is a run of consecutive keys, each created only where it was absent and the
//! snapshot index is still the one that the writer knows. Two owners can thus never both append;
//! leases only decide who tries.
//!
//! The owner of a shard holds a [`state::State`]. For each request it asks [`decision`] for a verdict,
//! applies the records of the verdict to the state at once, and hands them to [`log::Log::append`]
//! in the same step. Effects (a dispatch, the last event of an answer) wait for the append's
//! future. When the log is lost to another owner, the whole state is dropped with it.

pub mod claim;
pub mod copy;
pub mod decision;
pub mod key;
pub mod log;
pub mod program;
pub mod record;
pub mod snapshot;
pub mod state;
