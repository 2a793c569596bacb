//! The parameters of a run.

use std::path::PathBuf;

use wire::clock::Millis;

use crate::fault::Kind;

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The product's binary.
    pub binary: PathBuf,
    /// The folder for settings, logs and disks.
    pub folder: PathBuf,
    /// The seed of the faults and of the requests of clients.
    pub seed: u64,
    /// How long clients send requests.
    pub span: Millis,
    /// The number of VMs that take callers.
    pub vms: usize,
    /// The number of runners.
    pub runners: usize,
    /// The number of clients.
    pub clients: usize,
    /// The kinds of faults.
    pub kinds: Vec<Kind>,
}
