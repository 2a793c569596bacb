//! HTTP client and server for processes on small VMs, their message bodies, and the log writer.
//!
//! Both sides are built on `hyper`. This crate adds what a scheduler needs: the client reports
//! whether a request can have arrived, an abandoned exchange closes its connection at once, and a
//! response that broke off never looks complete.

pub mod accept;
pub mod body;
pub mod client;
pub mod connection;
pub mod ending;
pub mod head;
pub mod inbound;
pub mod ingress;
pub mod intake;
pub mod listen;
pub mod output;
pub mod segments;
pub mod socket;
