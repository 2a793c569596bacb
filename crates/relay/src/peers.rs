//! The other VMs that take requests, and which of them exchange messages with each other.
//!
//! In a small deployment all VMs exchange messages pairwise. In a larger one that would be more
//! messages than requests. There the first VM of each data centre (by name) is its hub: the other
//! VMs of the data centre, its leaves, exchange messages with their hub only, and the hubs with
//! each other. A hub that dies is skipped once its entry has lapsed or it no longer answers. It is
//! the hub again as soon as it answers again.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// The most other VMs with which all VMs exchange messages pairwise. At 16 exchanges a second with
/// each, that is under 200 messages a second and VM, which takes a few per cent of a small VM's
/// processor.
pub const MAX_DIRECT_PEERS: usize = 12;
/// Number of VMs of a data centre that exchange with their hub at the full rate, 16 times a second
/// each.
const LEAVES_AT_FULL_RATE: usize = 24;
/// Number of silent VMs before a data centre's hub that are probed in each round. These are the
/// first ones by name, because any of them becomes the hub as soon as it answers. One of the other
/// silent VMs is probed as well, chosen again in each round. If all were probed, the messages would
/// grow with the square of the number of VMs when a hub dies, because no leaf has heard another
/// one.
const PROBED_SILENT: usize = 2;
/// How long a VM is kept after its entry has lapsed, because the key-value service may have been
/// unavailable.
const LAPSED_RETENTION: Millis = Millis::new(10_000);
/// A VM that hasn't answered for this long can't be a hub. Covers several exchanges and a short
/// freeze.
const ANSWER_TIMEOUT: Millis = Millis::new(1_000);

/// The other VMs, sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    known: Vec<Peer>,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub centre: String,
    /// Address that takes messages from other VMs.
    pub address: SocketAddr,
    /// Revision of the roster that the VM had when it was last heard.
    pub roster: u64,
    /// Revision of the configuration that the VM had then.
    pub config: u64,
    last_heard: Millis,
    lifecycle: Lifecycle,
    lapsed_at: Option<Millis>,
}

/// Whether a VM keeps running.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It keeps running.
    #[default]
    Stays,
    /// Its process is stopping.
    Stops,
}

impl Peer {
    fn answers(&self, now: Millis) -> bool {
        self.lapsed_at.is_none() && now.since(self.last_heard) < ANSWER_TIMEOUT
    }
}

/// The state that a VM reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Status {
    /// Revision of the VM's roster.
    pub roster: u64,
    /// Revision of the VM's configuration.
    pub config: u64,
    /// Whether the VM keeps running.
    pub lifecycle: Lifecycle,
}

/// The part of a VM in the exchange, from its own view of the other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Exchanges with all other VMs.
    Direct,
    /// The first VM of its data centre. Exchanges with its leaves and with the other hubs.
    Hub,
    /// Exchanges only with the hub of its data centre.
    Leaf,
}

impl Peers {
    /// Adds or updates a VM. A new VM counts as just heard, so that exchanges with it start.
    pub fn set(&mut self, vm: &str, centre: &str, address: SocketAddr, now: Millis) {
        match self.find(vm) {
            Ok(index) => {
                let peer = &mut self.known[index];
                peer.address = address;
                centre.clone_into(&mut peer.centre);
                peer.lapsed_at = None;
            }
            Err(index) => self.known.insert(
                index,
                Peer {
                    vm: vm.to_owned(),
                    centre: centre.to_owned(),
                    address,
                    roster: 0,
                    config: 0,
                    last_heard: now,
                    lifecycle: Lifecycle::Stays,
                    lapsed_at: None,
                },
            ),
        }
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|peer| peer.vm.as_str().cmp(vm))
    }

    /// Returns the number of other VMs.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Finds a VM by name.
    #[must_use]
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        self.find(vm).ok().map(|index| &self.known[index])
    }

    /// Records the state that a VM reported.
    pub fn note_status(&mut self, vm: &str, status: Status, now: Millis) {
        if let Ok(index) = self.find(vm) {
            let peer = &mut self.known[index];
            peer.last_heard = now;
            peer.lifecycle = status.lifecycle;
            peer.roster = status.roster;
            peer.config = status.config;
        }
    }

    /// Records that a VM's entry has lapsed.
    pub fn mark_lapsed(&mut self, vm: &str, now: Millis) {
        if let Ok(index) = self.find(vm) {
            self.known[index].lapsed_at.get_or_insert(now);
        }
    }

    /// Marks all VMs but the listed ones as lapsed.
    pub fn mark_unlisted(&mut self, vms: &[String], now: Millis) {
        for peer in &mut self.known {
            if !vms.contains(&peer.vm) {
                peer.lapsed_at.get_or_insert(now);
            }
        }
    }

    /// Removes VMs whose entries lapsed long ago.
    pub fn forget_lapsed(&mut self, now: Millis) {
        let recent = |since: Millis| now.since(since) < LAPSED_RETENTION;
        self.known.retain(|peer| peer.lapsed_at.is_none_or(recent));
    }

    /// Returns whether no VM that answers sorts before `own`, across all data centres. If so, this
    /// VM reads the runners' entries on behalf of the others. One reader in each data centre would
    /// multiply the calls of the key-value service by the number of data centres and give the other
    /// VMs no more information.
    ///
    /// In a small deployment a VM that is stopping is skipped before it turns silent. If the next
    /// one stopped as well, waiting for the second timeout would have all VMs use a runner that
    /// has left for longer than allowed. In a larger deployment it isn't skipped, because leaves
    /// hear only their hub and would all read at once.
    #[must_use]
    pub fn is_reader(&self, own: &str, now: Millis) -> bool {
        let keeps_running = |peer: &Peer| !self.is_direct() || peer.lifecycle == Lifecycle::Stays;
        let mut earlier = self.known.iter().take_while(|peer| peer.vm.as_str() < own);
        !earlier.any(|peer| peer.answers(now) && keeps_running(peer))
    }

    fn is_direct(&self) -> bool {
        self.known.len() <= MAX_DIRECT_PEERS
    }

    /// Returns whether no VM of the data centre that answers sorts before `own`. Where hubs are
    /// needed, this VM is the hub of its data centre.
    #[must_use]
    pub fn is_first(&self, own: &str, centre: &str, now: Millis) -> bool {
        self.hub(centre, now)
            .is_none_or(|hub| own <= hub.vm.as_str())
    }

    fn hub(&self, centre: &str, now: Millis) -> Option<&Peer> {
        let of_centre = |peer: &&Peer| peer.centre == centre && peer.answers(now);
        self.known.iter().find(of_centre)
    }

    /// Returns the factor by which the pause between two exchanges grows, so that a hub handles at
    /// most some hundred messages a second. It grows by one for each `LEAVES_AT_FULL_RATE` VMs of
    /// the largest data centre.
    #[must_use]
    pub fn pause_factor(&self) -> u32 {
        let mut centres: Vec<&str> = self.known.iter().map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        let largest = centres.chunk_by(|a, b| a == b).map(<[&str]>::len).max();
        u32::try_from(largest.unwrap_or(0) / LEAVES_AT_FULL_RATE).unwrap_or(u32::MAX) + 1
    }

    /// Returns the part of the VM `own` in the exchange.
    #[must_use]
    pub fn exchange_role(&self, own: &str, centre: &str, now: Millis) -> Role {
        if self.is_direct() {
            return Role::Direct;
        }
        if self.is_first(own, centre, now) {
            return Role::Hub;
        }
        Role::Leaf
    }

    /// Returns the VMs with which the VM `own` starts an exchange. Where VMs exchange pairwise, the
    /// one whose name sorts first starts.
    ///
    /// A VM hears only those that it exchanges with. If silent ones weren't probed, nobody would
    /// learn which VM has become another data centre's hub. The leaves of a hub that was silent for
    /// a moment would stay with the VM that took over meanwhile. That VM has stepped back and sends
    /// them no figures of other VMs.
    #[must_use]
    pub fn exchange_targets(&self, own: &str, centre: &str, now: Millis) -> Vec<Peer> {
        let role = self.exchange_role(own, centre, now);
        let mut asked = Vec::new();
        if role == Role::Direct {
            asked.extend(self.known.iter().filter(|peer| peer.vm.as_str() > own));
        } else {
            let own_search = self.find_hub(centre, |vm| vm < own, now);
            asked.extend(own_search.probed(now));
            asked.extend(own_search.hub);
            if role == Role::Hub {
                let others = self.centres().into_iter().filter(|other| *other != centre);
                for search in others.map(|other| self.find_hub(other, |_| true, now)) {
                    if own_search.probes_other_centres(now) {
                        asked.extend(search.probed(now));
                    }
                    asked.extend(search.hub);
                }
            }
        }
        asked.into_iter().cloned().collect()
    }

    /// Returns the data centres of the other VMs.
    fn centres(&self) -> Vec<&str> {
        let mut centres: Vec<&str> = self.known.iter().map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    /// Finds the hub of a data centre among the VMs that `counts` selects, and the silent VMs
    /// before it.
    fn find_hub(&self, centre: &str, counts: impl Fn(&str) -> bool, now: Millis) -> Search<'_> {
        let known = self.known.iter();
        let mut counted = known.filter(|peer| peer.centre == centre && counts(&peer.vm));
        let mut silent = Vec::new();
        let hub = counted.find(|peer| {
            let answers = peer.answers(now);
            if !answers {
                silent.push(*peer);
            }
            answers
        });
        Search { silent, hub }
    }
}

/// The VMs of a data centre in the order of their names, up to its hub.
struct Search<'a> {
    silent: Vec<&'a Peer>,
    hub: Option<&'a Peer>,
}

impl<'a> Search<'a> {
    /// Returns the silent VMs that are probed now: the first [`PROBED_SILENT`], and one chosen by
    /// the time.
    fn probed(&self, now: Millis) -> impl Iterator<Item = &'a Peer> {
        let extra = pseudo_random_index(now, self.silent.len());
        let silent = self.silent.iter().copied().enumerate();
        let probed = silent.filter(move |(index, _)| *index < PROBED_SILENT || *index == extra);
        probed.map(|(_, peer)| peer)
    }

    /// Returns whether a VM that has only silent VMs before it probes the silent VMs of other data
    /// centres now. The more VMs are before it, the more rarely it does. When a hub dies, all its
    /// leaves consider themselves hubs for a moment, and would otherwise probe the same VMs of each
    /// other data centre at once.
    fn probes_other_centres(&self, now: Millis) -> bool {
        pseudo_random_index(now, self.silent.len()) < PROBED_SILENT
    }
}

/// Returns a pseudo-random number below `count`, derived from the time. A counter of rounds could
/// skip the same VMs again and again.
fn pseudo_random_index(now: Millis, count: usize) -> usize {
    let number = xxh3_64(&now.as_u64().to_le_bytes());
    usize::try_from(number % count.max(1) as u64).unwrap_or(0)
}

#[cfg(test)]
mod tests;
