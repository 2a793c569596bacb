//! What this VM knows about the deployment at one moment.
//!
//! Controllers publish a new [`View`] through a watch channel. The request path only reads it, so
//! no request waits for a controller.

use std::net::SocketAddr;
use std::sync::Arc;

use settings::config::Config;
use wire::clock::Millis;
use wire::id;

/// The deployment as this VM sees it. Every list is sorted by its first field.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// The highest configuration revision that this VM has.
    pub config: Arc<Config>,
    /// The VMs, including this one.
    pub peers: Vec<Peer>,
    /// The owners of the shards; a shard that isn't listed has no owner as far as this VM knows.
    pub owners: Vec<Owner>,
    /// The endpoints' load.
    pub loads: Vec<Load>,
    /// Whether the platform answers.
    pub platform: bool,
    /// Whether this VM is stopping.
    pub stopping: bool,
}

impl View {
    /// Returns the VM of this name.
    #[must_use]
    pub fn peer(&self, vm: &id::Vm) -> Option<&Peer> {
        let at = self.peers.binary_search_by(|p| p.vm.cmp(vm)).ok()?;
        Some(&self.peers[at])
    }

    /// Returns the owner of a shard.
    #[must_use]
    pub fn owner(&self, shard: &id::Shard) -> Option<&Owner> {
        let at = self.owners.binary_search_by(|o| o.shard.cmp(shard)).ok()?;
        Some(&self.owners[at])
    }

    /// Returns the load of an endpoint.
    #[must_use]
    pub fn load(&self, endpoint: &id::Endpoint) -> Option<&Load> {
        let find = |l: &Load| l.endpoint.cmp(endpoint);
        let at = self.loads.binary_search_by(find).ok()?;
        Some(&self.loads[at])
    }
}

/// A VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: id::Vm,
    /// Its data centre.
    pub centre: id::Centre,
    /// The address of its listener for other VMs.
    pub address: SocketAddr,
    /// Its size relative to the other VMs.
    pub size: u32,
    /// Whether this VM considers it up.
    pub up: bool,
    /// Whether it is stopping.
    pub stopping: bool,
}

/// A shard's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The shard.
    pub shard: id::Shard,
    /// The VM that owns it.
    pub vm: id::Vm,
    /// The epoch of the ownership; a higher one replaces a lower one.
    pub epoch: u64,
}

/// An endpoint's last load report, or what is known about the endpoint without one.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Whether it answers the VM that polls it.
    pub up: bool,
    /// Whether the platform's list, its own report or a refusal says that it is leaving.
    pub leaving: bool,
    /// Calls that it runs.
    pub running: u32,
    /// Calls that wait in its own queue.
    pub waiting: u32,
    /// Measured tokens per second that it generates for one call.
    pub speed: f64,
    /// Size of its cache in prompt tokens.
    pub cache: u64,
    /// When the endpoint made the report: this VM's clock at receipt minus the report's age.
    pub at: Millis,
}
