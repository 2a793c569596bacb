//! The other VMs that take requests: who they are, and which of them tells whom.
//!
//! In a small deployment every two VMs exchange what they know. In a larger one that would be more
//! messages than requests; there the first VM of each data centre (by name) is its hub: the others
//! exchange with their hub, and the hubs among each other. A hub that dies is passed over once its
//! entry has lapsed or it no longer answers, and has its place back when it answers again.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Up to this many VMs exchange with each other directly: at 16 exchanges a second with each that
/// is under 200 messages a second and VM, some per cent of a small VM's processor.
pub const MAX_DIRECT_PEERS: usize = 12;
/// VMs of a data centre that its hub hears at the full rate, 16 times a second each.
const LEAVES_AT_FULL_RATE: usize = 24;
/// Of the silent VMs before a data centre's hub, so many are asked each time, the first ones by name,
/// as one of them is the hub as soon as it answers; and one of the others in turn. To ask all would be
/// messages by the square of the VMs when a hub dies, as no leaf has heard another one.
const PROBED_SILENT: usize = 2;
/// A VM whose entry has lapsed is still told for this long: the service may have been away.
const LAPSED_RETENTION: Millis = Millis::new(10_000);
/// A VM that hasn't answered for this long is no hub: several exchanges, and a short freeze.
const ANSWER_TIMEOUT: Millis = Millis::new(1_000);

/// The other VMs, in the order of their names.
#[derive(Debug, Default)]
pub struct Peers {
    known: Vec<Peer>,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub vm: String,
    /// Its data centre.
    pub centre: String,
    /// Where it answers other VMs.
    pub address: SocketAddr,
    /// The roster's revision that it had when it was last heard.
    pub roster: u64,
    /// The configuration's revision that it had then.
    pub config: u64,
    last_heard: Millis,
    lifecycle: Lifecycle,
    lapsed_at: Option<Millis>,
}

/// Whether a VM goes on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Lifecycle {
    /// It does.
    #[default]
    Stays,
    /// Its process stops.
    Stops,
}

impl Peer {
    fn answers(&self, now: Millis) -> bool {
        self.lapsed_at.is_none() && now.since(self.last_heard) < ANSWER_TIMEOUT
    }
}

/// What a VM tells of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// The roster's revision that it has.
    pub roster: u64,
    /// The configuration's revision that it has.
    pub config: u64,
    /// Whether it goes on.
    pub lifecycle: Lifecycle,
}

/// Whom a VM exchanges with, as it sees the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeRole {
    /// Every two VMs exchange.
    Direct,
    /// The first of its data centre.
    Hub,
    /// Exchanges with its data centre's hub only.
    Leaf,
}

impl Peers {
    /// Notes a VM. One that is new counts as heard, so that it can be asked.
    pub fn set(&mut self, vm: &str, centre: &str, address: SocketAddr, now: Millis) {
        match self.find(vm) {
            Ok(at) => {
                let peer = &mut self.known[at];
                peer.address = address;
                centre.clone_into(&mut peer.centre);
                peer.lapsed_at = None;
            }
            Err(at) => self.known.insert(
                at,
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

    /// Counts the other VMs.
    #[must_use]
    pub fn count(&self) -> usize {
        self.known.len()
    }

    /// Finds a VM.
    #[must_use]
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        self.find(vm).ok().map(|at| &self.known[at])
    }

    /// Notes what a VM had when it was heard.
    pub fn note_status(&mut self, vm: &str, status: PeerStatus, now: Millis) {
        if let Ok(at) = self.find(vm) {
            let peer = &mut self.known[at];
            peer.last_heard = now;
            peer.lifecycle = status.lifecycle;
            peer.roster = status.roster;
            peer.config = status.config;
        }
    }

    /// Notes that a VM's entry has lapsed.
    pub fn mark_lapsed(&mut self, vm: &str, now: Millis) {
        if let Ok(at) = self.find(vm) {
            self.known[at].lapsed_at.get_or_insert(now);
        }
    }

    /// Notes which VMs are listed; the others have lapsed.
    pub fn mark_unlisted(&mut self, vms: &[String], now: Millis) {
        for peer in &mut self.known {
            if !vms.contains(&peer.vm) {
                peer.lapsed_at.get_or_insert(now);
            }
        }
    }

    /// Forgets VMs whose entries lapsed long ago.
    pub fn forget_lapsed(&mut self, now: Millis) {
        let recent = |since: Millis| now.since(since) < LAPSED_RETENTION;
        self.known.retain(|peer| peer.lapsed_at.is_none_or(recent));
    }

    /// Tells whether no VM that answers comes before `own`: it reads the runners' entries for the
    /// others. One reader a data centre would ask the service as often as there are data centres,
    /// and tell the others no more.
    ///
    /// One that stops isn't waited for until it is silent: where the next one stops as well, the second
    /// silence would have all VMs use a runner that left for longer than it may be. In a larger deployment
    /// it is, as leaves that hear only their hub would all read at once.
    #[must_use]
    pub fn is_reader(&self, own: &str, now: Millis) -> bool {
        let goes_on = |peer: &Peer| !self.is_direct() || peer.lifecycle == Lifecycle::Stays;
        let mut before = self.known.iter().take_while(|peer| peer.vm.as_str() < own);
        !before.any(|peer| peer.answers(now) && goes_on(peer))
    }

    fn is_direct(&self) -> bool {
        self.known.len() <= MAX_DIRECT_PEERS
    }

    /// Tells whether no VM of the data centre that answers comes before `own`: it is their hub where
    /// hubs are needed.
    #[must_use]
    pub fn is_first(&self, own: &str, centre: &str, now: Millis) -> bool {
        self.hub(centre, now)
            .is_none_or(|hub| own <= hub.vm.as_str())
    }

    fn hub(&self, centre: &str, now: Millis) -> Option<&Peer> {
        let of_centre = |peer: &&Peer| peer.centre == centre && peer.answers(now);
        self.known.iter().find(of_centre)
    }

    /// Yields by how much the pause between two exchanges grows, so that a hub has at most some
    /// hundred messages a second: once more for each [`LEAVES_AT_FULL_RATE`] VMs of a data centre.
    #[must_use]
    pub fn pause_factor(&self) -> u32 {
        let mut centres: Vec<&str> = self.known.iter().map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        let largest = centres.chunk_by(|a, b| a == b).map(<[&str]>::len).max();
        u32::try_from(largest.unwrap_or(0) / LEAVES_AT_FULL_RATE).unwrap_or(u32::MAX) + 1
    }

    /// Tells whom the VM named exchanges with.
    #[must_use]
    pub fn exchange_role(&self, own: &str, centre: &str, now: Millis) -> ExchangeRole {
        if self.is_direct() {
            return ExchangeRole::Direct;
        }
        if self.is_first(own, centre, now) {
            return ExchangeRole::Hub;
        }
        ExchangeRole::Leaf
    }

    /// Yields the VMs that the VM named starts an exchange with. Of two that both would, the one
    /// whose name comes first does.
    ///
    /// A VM hears only those that it exchanges with. Did it ask no silent ones, nobody would ever learn
    /// which VM has become another data centre's hub, and the leaves of a hub that was silent for a
    /// moment would stay with its deputy, which has stepped back and tells them nothing of others.
    #[must_use]
    pub fn exchange_targets(&self, own: &str, centre: &str, now: Millis) -> Vec<Peer> {
        let role = self.exchange_role(own, centre, now);
        let mut asked = Vec::new();
        if role == ExchangeRole::Direct {
            asked.extend(self.known.iter().filter(|peer| peer.vm.as_str() > own));
        } else {
            let before = self.find_hub(centre, |vm| vm < own, now);
            asked.extend(before.probed(now));
            asked.extend(before.hub);
            if role == ExchangeRole::Hub {
                let others = self.centres().into_iter().filter(|of| *of != centre);
                for other in others.map(|of| self.find_hub(of, |_| true, now)) {
                    if before.probes_other_centres(now) {
                        asked.extend(other.probed(now));
                    }
                    asked.extend(other.hub);
                }
            }
        }
        asked.into_iter().cloned().collect()
    }

    /// Names the data centres of the others.
    fn centres(&self) -> Vec<&str> {
        let mut centres: Vec<&str> = self.known.iter().map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        centres.dedup();
        centres
    }

    /// Yields a data centre's hub among the VMs that `counts` names, and the silent VMs before it.
    fn find_hub(&self, centre: &str, counts: impl Fn(&str) -> bool, now: Millis) -> HubSearch<'_> {
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
        HubSearch { silent, hub }
    }
}

/// A data centre's VMs in the order of their names, up to its hub.
struct HubSearch<'a> {
    silent: Vec<&'a Peer>,
    hub: Option<&'a Peer>,
}

impl<'a> HubSearch<'a> {
    /// Yields the silent VMs that are asked now: the first [`PROBED_SILENT`], and one in turn.
    fn probed(&self, now: Millis) -> impl Iterator<Item = &'a Peer> {
        let turn = pseudo_random_index(now, self.silent.len());
        let silent = self.silent.iter().copied().enumerate();
        let tried = silent.filter(move |(at, _)| *at < PROBED_SILENT || *at == turn);
        tried.map(|(_, peer)| peer)
    }

    /// Tells whether a VM that has these before it, all silent, tries those of other data centres now:
    /// the more there are, the more seldom. When a hub dies, for a moment all its leaves take
    /// themselves for hubs, and all at once would ask the same VMs of each other data centre.
    fn probes_other_centres(&self, now: Millis) -> bool {
        pseudo_random_index(now, self.silent.len()) < PROBED_SILENT
    }
}

/// Draws a number below `count`. Drawn by the time, as a count of rounds could skip the same VMs again
/// and again.
fn pseudo_random_index(now: Millis, count: usize) -> usize {
    let number = xxh3_64(&now.as_u64().to_le_bytes());
    usize::try_from(number % count.max(1) as u64).unwrap_or(0)
}

#[cfg(test)]
mod tests;
