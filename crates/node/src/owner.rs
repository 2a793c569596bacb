//! The owner of a shard: orders, journals, places and commits the calls of its programs.
//!
//! [`shard`] is the actor that alone decides on the shard's state; [`turn`] and [`call`] are the
//! tasks that carry one accepted request through its steps and come back to the actor for each
//! decision.

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
