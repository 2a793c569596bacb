//! The interface to the platform's key-value service and its list of VMs.
//!
//! The VMs agree on shared state, and store it, through [`edge::Platform`]. The trait states what
//! the system relies on: compare-and-swap over several keys, leases, watches, and errors that
//! reliably distinguish "had no effect" from "may have had an effect".

pub mod client;
pub mod edge;
pub mod etcd;
pub mod limit;
pub mod memory;
