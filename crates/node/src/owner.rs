//! Owns shards: orders the requests of their programs, journals them, has them run at endpoints and
//! commits their results.
//!
//! [`shard`] is the actor that alone decides on a shard's state. [`turn`] and [`call`] are the
//! tasks that carry one accepted request through its steps; they ask the actor for each decision.

pub mod call;
mod decide;
pub mod feed;
pub mod last_endpoint;
pub mod maintenance;
pub mod message;
pub mod pending;
pub mod poison;
pub mod registry;
pub mod shard;
pub mod turn;
pub mod work;
