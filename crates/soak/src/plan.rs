//! What a run is to do.

use std::path::PathBuf;

use wire::clock::Millis;

use crate::fault::Kind;

/// What a run is to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The product's binary.
    pub binary: PathBuf,
    /// Where settings, logs and disks go.
    pub folder: PathBuf,
    /// Draws the faults and what clients ask.
    pub seed: u64,
    /// How long clients ask.
    pub span: Millis,
    /// VMs that take callers.
    pub vms: usize,
    /// Runners.
    pub runners: usize,
    /// Clients.
    pub clients: usize,
    /// What is done to the system.
    pub kinds: Vec<Kind>,
}
