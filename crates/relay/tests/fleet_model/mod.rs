//! A model of the fleet: VMs with the product's own state of what they tell each other, a stand-in
//! of the key-value service in memory, and messages by a seeded queue that delays, drops and cuts.
//!
//! There are no sockets and no tasks, and the time is played, so that hundreds of VMs fit into a
//! test and the same seed gives the same run. Shared by the example `fleet` and the tests.

#![allow(
    dead_code,
    reason = "the example and the tests each use a part of the model"
)]

pub mod count;
pub mod network;
pub mod play;
pub mod queue;
pub mod store;
pub mod view;
pub mod vm;
pub mod world;
