//! A simulated fleet: VMs with the product's own code for exchanging messages, an in-memory
//! stand-in for the key-value service, and a seeded queue of messages that are delayed, dropped and
//! cut off.
//!
//! It uses neither sockets nor tasks, and its time is simulated, so hundreds of VMs fit into a test
//! and the same seed gives the same run. Shared by the example `fleet` and the tests.

#![allow(
    dead_code,
    reason = "the example and the tests each use a part of the model"
)]

pub mod network;
pub mod queue;
pub mod simulate;
pub mod store;
pub mod traffic;
pub mod view;
pub mod vm;
pub mod world;
