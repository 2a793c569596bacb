//! The owner of a shard: orders, journals, places and commits the calls of its programs.

pub mod registry;
