//! The traffic of the processes on small VMs: connections out and in, bodies, the log's writer.
//!
//! What `hyper` brings is used on both sides; this crate adds what a scheduler has to know of a
//! connection: whether a request can have arrived, that an abandoned exchange closes its
//! connection at once, and that a broken answer never looks whole.

pub mod accept;
pub mod body;
pub mod client;
pub mod connection;
pub mod listen;
pub mod output;
pub mod socket;
