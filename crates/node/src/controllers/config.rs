//! The operators' configuration as held by one VM.
//!
//! There is one document with one revision, at one key of the platform. A VM only ever takes a
//! higher revision, whoever offers it, so an accepted change can't be reverted on a VM that has it.
//! A VM that starts has no document and mustn't serve until it has caught up, see [`boot`].
//!
//! A revision spreads as follows: the VM that had the change accepted offers it to its peers at
//! once. Each VM that takes it sends heartbeats at once, which carry the revision, and a VM that
//! receives a higher revision pulls the document. [`WATCHERS`] VMs of each centre watch the key,
//! and all others read it every [`POLL_INTERVAL`]: watches by all VMs would make the platform keep
//! one waiting call for each VM, while its rate limits grow more slowly than the fleet.

use std::sync::Arc;

use settings::config::Config;
use wire::clock::Millis;
use wire::id;

pub mod change;
pub mod edit;

/// The platform's key of the document, which is the JSON of a [`Config`].
pub const KEY: &str = "config";

/// Number of VMs of each centre that watch the key. Two, so that one may die unnoticed without
/// delaying a change; in eight centres these are 16 waiting calls instead of 380.
pub const WATCHERS: usize = 2;

/// How often a VM that doesn't watch reads the key, as a fallback for heartbeats. At 380 VMs this
/// costs 13 reads a second of the platform's 2,000.
pub const POLL_INTERVAL: Millis = Millis::new(30_000);

/// The document in force on a VM.
#[derive(Clone, Debug, Default)]
pub struct Current {
    config: Option<Arc<Config>>,
}

/// The result of offering a document to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is now in force.
    Taken,
    /// It was in force already.
    Known,
    /// It is older than the one in force and was dropped.
    Older,
    /// It has the revision of the one in force but other content, and was dropped. This only
    /// happens if the platform lost accepted writes.
    Forked,
}

impl Current {
    /// Offers an accepted document. Only a higher revision is taken: an older one comes from a peer
    /// that was paused or cut off, and would revert an accepted change.
    pub fn offer(&mut self, config: &Arc<Config>) -> Offer {
        let Some(held) = &self.config else {
            self.config = Some(Arc::clone(config));
            return Offer::Taken;
        };
        if config.revision > held.revision {
            self.config = Some(Arc::clone(config));
            return Offer::Taken;
        }
        if config.revision < held.revision {
            return Offer::Older;
        }
        if config.nonce == held.nonce {
            return Offer::Known;
        }
        Offer::Forked
    }

    /// Returns the document in force; `None` before the VM has caught up for the first time.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Returns the revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Returns whether a peer's revision is higher, so that it should be pulled.
    #[must_use]
    pub fn is_behind(&self, revision: u64) -> bool {
        revision > self.revision()
    }
}

/// The answer of one source to a VM that starts.
#[derive(Clone, Debug)]
pub enum Source {
    /// It hasn't answered yet.
    Waiting,
    /// It can't be reached, or it is starting itself and has no document.
    Silent,
    /// It has this document.
    Holds(Arc<Config>),
}

/// Whether a VM that starts may serve.
#[derive(Clone, Debug)]
pub enum Boot {
    /// Not yet.
    Wait,
    /// Yes, with this document.
    Serve(Arc<Config>),
}

/// Decides whether a VM that starts may serve, and with which revision.
///
/// If the platform answers, its document is at least as high as any that was accepted before the
/// question, and the VM serves. In an outage the VM waits for the answers of all peers and serves
/// with the highest revision. If there is none, it keeps waiting: without the operators'
/// configuration it would let work through that a selector forbids.
#[must_use]
pub fn boot(platform: &Source, peers: &[Source]) -> Boot {
    if matches!(platform, Source::Waiting) {
        return Boot::Wait;
    }
    let in_outage = matches!(platform, Source::Silent);
    if in_outage && peers.iter().any(|p| matches!(p, Source::Waiting)) {
        return Boot::Wait;
    }
    let held = peers.iter().chain([platform]).filter_map(|s| match s {
        Source::Holds(config) => Some(config),
        Source::Waiting | Source::Silent => None,
    });
    match held.max_by_key(|config| config.revision) {
        Some(config) => Boot::Serve(Arc::clone(config)),
        None => Boot::Wait,
    }
}

/// The revision in force on a VM, as reported by its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The VM.
    pub vm: id::Vm,
    /// The revision.
    pub revision: u64,
    /// Whether the VM is thought to be up.
    pub up: bool,
}

/// How far a revision has spread.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// VMs that are up and have this or a higher revision in force.
    pub reached: Vec<id::Vm>,
    /// VMs that are up and have a lower one in force.
    pub behind: Vec<id::Vm>,
    /// VMs that are down. They take the highest revision before they serve again.
    pub silent: Vec<id::Vm>,
}

/// Sorts the VMs by whether `revision` is in force on them.
#[must_use]
pub fn rollout(revision: u64, vms: &[InForce]) -> Rollout {
    let mut rollout = Rollout::default();
    for vm in vms {
        let list = match vm {
            InForce { up: false, .. } => &mut rollout.silent,
            InForce { revision: has, .. } if *has >= revision => &mut rollout.reached,
            InForce { .. } => &mut rollout.behind,
        };
        list.push(vm.vm.clone());
    }
    rollout
}

/// Parses the document as stored in the platform.
///
/// # Errors
///
/// Fails if the value isn't the JSON of a [`Config`].
pub fn parse(value: &[u8]) -> serde_json::Result<Config> {
    serde_json::from_slice(value)
}

#[cfg(test)]
mod tests;
