//! The operators' configuration as one VM holds it.
//!
//! There is one document with one revision, at one key of the platform. A VM only ever moves up to
//! a higher revision, whoever offers it, so an accepted change can't revert on a VM that has it.
//! A VM that starts holds nothing and mustn't serve until it has caught up, see [`boot`].
//!
//! How a revision gets about: the VM that had the change accepted offers it to its peers at once;
//! each VM that moves up sends heartbeats at once, which carry the revision; a VM that hears of a
//! higher one pulls it. [`WATCHERS`] VMs of each centre watch the key, and all others read it
//! every [`POLL`]: a watch by each VM would have the platform hold one waiting call a VM, while its
//! rates grow more slowly than the fleet.

use std::sync::Arc;

use settings::config::Config;
use wire::clock::Millis;
use wire::id;

pub mod change;
pub mod edit;

/// The platform's key of the document, JSON of [`Config`].
pub const KEY: &str = "config";

/// VMs of each centre that watch the key. Two, so that one may die unnoticed without delaying a
/// change; in eight centres they are 16 waiting calls in place of 380.
pub const WATCHERS: usize = 2;

/// How often a VM that doesn't watch reads the key. It is the safety net below heartbeats: at 380
/// VMs it costs 13 reads a second of the platform's 2,000.
pub const POLL_INTERVAL: Millis = Millis::new(30_000);

/// The document that a VM holds.
#[derive(Clone, Debug, Default)]
pub struct Current {
    config: Option<Arc<Config>>,
}

/// What became of a document offered to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Offer {
    /// It is now in force.
    Taken,
    /// It is in force already.
    Known,
    /// It is older than the one in force, and is dropped.
    Older,
    /// It has the revision of the one in force and other content; it is dropped. Only a platform
    /// that lost accepted writes brings this about.
    Forked,
}

impl Current {
    /// Offers an accepted document. Only a higher revision is taken: an older one comes from a
    /// peer that was paused or cut off, and taking it would revert an accepted change.
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

    /// Yields the document in force; `None` before the VM has caught up for the first time.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.config.as_ref()
    }

    /// Yields the revision in force, 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.config.as_ref().map_or(0, |config| config.revision)
    }

    /// Tells whether a peer's revision is worth a pull.
    #[must_use]
    pub fn is_behind(&self, revision: u64) -> bool {
        revision > self.revision()
    }
}

/// What one source said to a VM that starts.
#[derive(Clone, Debug)]
pub enum Source {
    /// It hasn't answered yet.
    Waiting,
    /// It can't be reached, or has nothing to offer as it starts itself.
    Silent,
    /// It holds this document.
    Holds(Arc<Config>),
}

/// Whether a VM that starts may serve.
#[derive(Clone, Debug)]
pub enum Boot {
    /// Not yet.
    Wait,
    /// With this document.
    Serve(Arc<Config>),
}

/// Decides whether a VM that starts may serve, and with which revision.
///
/// Where the platform answers, its document is at least as high as any accepted before the
/// question, and the VM serves. In an outage the VM hears every peer out and serves with the
/// highest revision; with none it waits: a VM that served without the operators' configuration
/// would let work through that a selector forbids.
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

/// Which revision a VM has in force, as its heartbeats say.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    /// The VM.
    pub vm: id::Vm,
    /// The revision.
    pub revision: u64,
    /// Whether the VM is thought to be up.
    pub up: bool,
}

/// How far a revision has got.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rollout {
    /// VMs that are up and have it, or a higher one, in force.
    pub reached: Vec<id::Vm>,
    /// VMs that are up and don't.
    pub behind: Vec<id::Vm>,
    /// VMs that aren't heard; they take the highest revision before they serve again.
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

/// Parses the document as the platform holds it.
///
/// # Errors
///
/// Fails where the value isn't JSON of a [`Config`].
pub fn parse(value: &[u8]) -> serde_json::Result<Config> {
    serde_json::from_slice(value)
}

#[cfg(test)]
mod tests;
