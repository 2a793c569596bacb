//! The shards' journals: what must outlive a VM, kept in the platform's key-value service.
//!
//! A shard's journal is a run of consecutive keys, each created only where it was absent. Two
//! owners can thus never both append; leases only decide who tries.

pub mod record;
