//! The edge to the platform's key-value service and its list of VMs.
//!
//! What the VMs of the system agree on or keep goes through [`edge::Platform`]. The trait says
//! what the system relies on: compare-and-swap over several keys, leases, watches, and an honest
//! difference between "did not happen" and "not known whether it happened".

pub mod client;
pub mod edge;
pub mod etcd;
pub mod limit;
pub mod memory;
