//! The heartbeat's frame. Field names are one letter long, as they go with each frame; unknown
//! ones are skipped, so that a newer VM can add to it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::id;

/// Whether a VM is up; a later one replaces an earlier one of the same incarnation.
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

/// What is told of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The VM.
    #[serde(rename = "v")]
    pub vm: id::Vm,
    /// Its data centre.
    #[serde(rename = "c")]
    pub centre: id::Centre,
    /// Its listener for VMs.
    #[serde(rename = "a")]
    pub address: SocketAddr,
    /// Its size beside the others.
    #[serde(rename = "s")]
    pub size: u32,
    /// Drawn at random at each start of the process: names what this run of it holds for others.
    #[serde(rename = "p", default)]
    pub process: u64,
    /// Raised only by the VM itself, each time that it is doubted.
    #[serde(rename = "i")]
    pub incarnation: u64,
    /// Whether it is up.
    #[serde(rename = "l")]
    pub liveness: Liveness,
    /// Whether it is on its way out.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub stopping: bool,
    /// The configuration revision that it has in force.
    #[serde(rename = "r", default)]
    pub revision: u64,
}

impl Status {
    /// Yields what decides between two lines of a VM: the higher is the later.
    #[must_use]
    pub fn rank(&self) -> (u64, Liveness) {
        (self.incarnation, self.liveness)
    }
}

/// What is told of a shard's owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The shard.
    #[serde(rename = "s")]
    pub shard: id::Shard,
    /// The VM.
    #[serde(rename = "v")]
    pub vm: id::Vm,
    /// The number of the ownership.
    #[serde(rename = "e")]
    pub epoch: u64,
    /// Whether the VM has given the shard up.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub free: bool,
}

impl Owner {
    /// Yields what decides between two lines of a shard: the higher is the later.
    #[must_use]
    pub fn rank(&self) -> (u64, bool) {
        (self.epoch, self.free)
    }
}

/// What is told of an endpoint, by its keeper.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The endpoint.
    #[serde(rename = "e")]
    pub endpoint: id::Endpoint,
    /// How old the report is. Ages are told in place of times, as clocks of VMs don't agree.
    #[serde(rename = "a")]
    pub age: Millis,
    /// Whether it answers.
    #[serde(rename = "u")]
    pub up: bool,
    /// Whether it leaves.
    #[serde(rename = "x", default, skip_serializing_if = "is_false")]
    pub leaving: bool,
    /// Calls that it works on.
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
    /// Whether it leaves.
    #[serde(rename = "x")]
    pub leaving: bool,
    /// How long ago the list was read.
    #[serde(rename = "a")]
    pub age: Millis,
}

/// A heartbeat, and the answer to one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's own line.
    #[serde(rename = "m")]
    pub me: Status,
    /// The digest of all lines of VMs and shards that the sender has.
    #[serde(rename = "h")]
    pub digest: u64,
    /// Whether the sender wants all lines.
    #[serde(rename = "f", default, skip_serializing_if = "is_false")]
    pub full: bool,
    /// News of VMs.
    #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
    pub vms: Vec<Status>,
    /// News of shards.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub owners: Vec<Owner>,
    /// Loads of endpoints.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub loads: Vec<Load>,
    /// News of endpoints that leave.
    #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
    pub listings: Vec<Listing>,
}

// serde calls it with a reference.
#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !*flag
}
