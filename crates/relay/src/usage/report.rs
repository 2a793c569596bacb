//! What VMs tell each other about the requests of workspaces that have a limit.

use serde::Deserialize;
use serde::Serialize;

/// The requests of some VMs. Encoded by position, so the order of fields must not change.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The common time of the VMs at which it was made, in milliseconds.
    pub at: u64,
    /// The requests, sorted by workspace.
    pub entries: Vec<Entry>,
    /// For how long the sender has known what all VMs sent, in milliseconds, up to the window.
    pub counted_for: u64,
    /// The number of VMs that it tells of.
    pub vms: u32,
    /// How many of them are heard, the sender included.
    pub heard: u32,
    /// When all VMs of the system were last heard, as far as the sender knows.
    pub all_heard: Option<AllHeard>,
}

/// A time at which all VMs heard each other, directly or through hubs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllHeard {
    /// The common time, in milliseconds.
    pub at: u64,
    /// The number of VMs.
    pub vms: u32,
}

/// The requests of a workspace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The workspace's id.
    pub workspace: u64,
    /// What the VMs that are reported of sent to runners in the window.
    pub sent: Vec<Count>,
    /// What all VMs sent in the window, as far as the sender knows; empty if it isn't told.
    pub all: Vec<Count>,
    /// Admitted requests that wait for a runner.
    pub reserved: u32,
    /// Requests of the last second, admitted or not.
    pub asked: u32,
    /// The requests that programs under way are still expected to make.
    pub pending: u32,
}

/// The requests of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// How many slots before the report; 0 is the one in which it was made.
    pub age: u8,
    /// The number of requests.
    pub requests: u32,
}

/// A workspace's requests of the last window, from one VM or summed over several: what a process is told
/// that doesn't know [`Report`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sum {
    /// The workspace's id.
    pub workspace: u64,
    /// The requests that were admitted.
    pub admitted: u32,
    /// The requests that programs under way are still expected to make.
    pub pending: u32,
}

impl Entry {
    /// Returns the sum of the window.
    #[must_use]
    pub fn sum(&self) -> Sum {
        let sent: u32 = self.sent.iter().map(|count| count.requests).sum();
        Sum {
            workspace: self.workspace,
            admitted: sent + self.reserved,
            pending: self.pending,
        }
    }
}

/// Whose requests a report tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope<'a> {
    /// The sender's own.
    Own,
    /// Those of all VMs of the sender's data centre.
    Centre,
    /// Those of all VMs but the recipient, which has this name.
    AllBut(&'a str),
}
