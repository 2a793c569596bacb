//! What this VM knows of the rest of the deployment at one moment.
//!
//! Controllers publish a new [`View`] through a watch channel; the request path only reads it, so
//! that no request waits for a controller.

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
    /// The VMs, this one among them.
    pub peers: Vec<Peer>,
    /// Who owns which shard; a shard without a line has no owner as far as this VM knows.
    pub owners: Vec<Owner>,
    /// The endpoints' load.
    pub loads: Vec<Load>,
    /// Whether the platform answers.
    pub platform: bool,
    /// Whether this VM is on its way out.
    pub stopping: bool,
}

impl View {
    /// Looks a VM up.
    #[must_use]
    pub fn peer(&self, vm: &id::Vm) -> Option<&Peer> {
        let at = self.peers.binary_search_by(|p| p.vm.cmp(vm)).ok()?;
        Some(&self.peers[at])
    }

    /// Looks the owner of a shard up.
    #[must_use]
    pub fn owner(&self, shard: &id::Shard) -> Option<&Owner> {
        let at = self.owners.binary_search_by(|o| o.shard.cmp(shard)).ok()?;
        Some(&self.owners[at])
    }

    /// Looks the load of an endpoint up.
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
    /// Its listener for VMs.
    pub address: SocketAddr,
    /// Its size beside the others.
    pub size: u32,
    /// Whether it is thought to be up.
    pub up: bool,
    /// Whether it is on its way out.
    pub stopping: bool,
}

/// A shard's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The shard.
    pub shard: id::Shard,
    /// The VM that owns it.
    pub vm: id::Vm,
    /// The number of the ownership; a higher one replaces a lower one.
    pub epoch: u64,
}

/// An endpoint's last load report, or what is known without one.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The endpoint.
    pub endpoint: id::Endpoint,
    /// Whether it answers its keeper.
    pub up: bool,
    /// Whether the platform's list, its own report or a refusal says that it leaves.
    pub leaving: bool,
    /// Calls that it works on.
    pub running: u32,
    /// Calls that wait at it.
    pub waiting: u32,
    /// Tokens a second that it generates for one call, as measured.
    pub speed: f64,
    /// Prompt tokens that fit in its cache.
    pub cache: u64,
    /// When the endpoint made the report, by this VM's clock at receipt less the report's age.
    pub at: Millis,
}
