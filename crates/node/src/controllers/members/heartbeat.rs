//! The frame of a heartbeat. Field names have one letter to keep frames small. Unknown fields are
//! skipped, so that a newer VM can add fields.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::id;

/// Whether a VM is up. Within one incarnation a later variant replaces an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "u8", into = "u8")]
pub enum Liveness {
    /// It answers.
    Up,
    /// It didn't answer one VM.
    Suspect,
    /// It didn't refute the suspicion.
    Down,
}

impl From<u8> for Liveness {
    fn from(number: u8) -> Self {
        match number {
            0 => Self::Up,
            1 => Self::Suspect,
            _ => Self::Down,
        }
    }
}

impl From<Liveness> for u8 {
    fn from(liveness: Liveness) -> Self {
        liveness as Self
    }
}

/// The status of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: id::Vm,
    /// Its data centre.
    #[serde(rename = "c")]
    pub centre: id::Centre,
    /// The address of its listener for VMs.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its size relative to the other VMs.
    #[serde(rename = "s")]
    pub size: u32,
    /// A random number drawn at each start of the process. Other VMs use it to name the batches
    /// that they have this run of the process hold.
    #[serde(rename = "p", default)]
    pub process: u64,
    /// Raised only by the VM itself, each time that it refutes a suspicion.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether it is up.
    #[serde(rename = "l")]
    pub liveness: Liveness,
    /// Whether it is shutting down.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub stopping: bool,
    /// The configuration revision in force on it.
    #[serde(rename = "r", default)]
    pub revision: u64,
}

impl Status {
    /// Returns the key by which statuses of one VM are ordered: the higher one is later.
    #[must_use]
    pub fn rank(&self) -> (u64, Liveness) {
        (self.incarnation, self.liveness)
    }
}

/// The owner of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: id::Shard,
    /// The VM.
    #[serde(rename = "v")]
    pub vm: id::Vm,
    /// The epoch of the ownership.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the VM has given up the shard.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub free: bool,
}

impl Owner {
    /// Returns the key by which owners of one shard are ordered: the higher one is later.
    #[must_use]
    pub fn rank(&self) -> (u64, bool) {
        (self.epoch, self.free)
    }
}

/// The load of an endpoint, as reported by the VM that polls it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: id::Endpoint,
    /// The age of the report. Ages are sent instead of times because the clocks of VMs differ.
    #[serde(rename = "a")]
    pub age: Millis,
    /// Whether it answers.
    #[serde(rename = "u")]
    pub up: bool,
    /// Whether it is leaving.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Calls that it is running.
    #[serde(rename = "r")]
    pub running: u32,
    /// Calls that wait at it.
    #[serde(rename = "w")]
    pub waiting: u32,
    /// Tokens a second for one call.
    #[serde(rename = "s")]
    pub speed: f32,
    /// Prompt tokens that fit in its cache.
    #[serde(rename = "k")]
    pub cache: u64,
}

/// What the platform's list says of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: id::Endpoint,
    /// Whether it is leaving.
    #[serde(rename = "x")]
    pub leaving: bool,
    /// How long ago the list was read.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// A heartbeat, or the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own status.
    #[serde(rename = "m")]
    pub me: Status,
    /// The digest of all VM statuses and shard owners that the sender knows.
    #[serde(rename = "h")]
    pub digest: u64,
    /// Whether the sender asks for the receiver's full state.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub full: bool,
    /// Updates on VMs.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub vms: Vec<Status>,
    /// Updates on shard owners.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub owners: Vec<Owner>,
    /// Loads of endpoints.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// Updates on endpoints that are leaving.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub listings: Vec<Listing>,
}

// serde calls this function with a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !*flag
}
