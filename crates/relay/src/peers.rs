//! The other VMs that take requests: who they are, and which of them tells whom.
//!
//! In a small deployment every two VMs exchange what they know. In a larger one that would be more
//! messages than requests; there the first VM of each data centre (by name) is its hub: the others
//! exchange with their hub, and the hubs among each other. A hub that dies is passed over once its
//! entry has lapsed or it no longer answers.

use std::net::SocketAddr;

use wire::clock::Millis;

/// Up to this many VMs exchange with each other directly: at 16 exchanges a second with each that
/// is under 200 messages a second and VM, some per cent of a small VM's processor.
pub const DIRECT: usize = 12;
/// VMs of a data centre that its hub hears at the full rate, 16 times a second each.
const LEAVES: usize = 24;
/// A VM whose entry has lapsed is still told for this long: the service may have been away.
const LAPSED: Millis = Millis::new(10_000);
/// A VM that hasn't answered for this long is no hub: several exchanges, and a short freeze.
const SILENT: Millis = Millis::new(1_000);

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
    heard: Millis,
    lapsed: Option<Millis>,
}

impl Peer {
    fn answers(&self, now: Millis) -> bool {
        self.lapsed.is_none() && now.since(self.heard) < SILENT
    }
}

/// Whom a VM exchanges with, as it sees the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
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
                peer.lapsed = None;
            }
            Err(at) => self.known.insert(
                at,
                Peer {
                    vm: vm.to_owned(),
                    centre: centre.to_owned(),
                    address,
                    roster: 0,
                    config: 0,
                    heard: now,
                    lapsed: None,
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
    pub fn hear(&mut self, vm: &str, roster: u64, config: u64, now: Millis) {
        if let Ok(at) = self.find(vm) {
            let peer = &mut self.known[at];
            peer.heard = now;
            peer.roster = roster;
            peer.config = config;
        }
    }

    /// Notes that a VM's entry has lapsed.
    pub fn lapse(&mut self, vm: &str, now: Millis) {
        if let Ok(at) = self.find(vm) {
            self.known[at].lapsed.get_or_insert(now);
        }
    }

    /// Notes which VMs are listed; the others have lapsed.
    pub fn keep(&mut self, vms: &[String], now: Millis) {
        for peer in &mut self.known {
            if !vms.contains(&peer.vm) {
                peer.lapsed.get_or_insert(now);
            }
        }
    }

    /// Forgets VMs whose entries lapsed long ago.
    pub fn sweep(&mut self, now: Millis) {
        let recent = |since: Millis| now.since(since) < LAPSED;
        self.known.retain(|peer| peer.lapsed.is_none_or(recent));
    }

    /// Tells whether no VM that answers comes before `own`: it reads the runners' entries for the
    /// others. One reader a data centre would ask the service as often as there are data centres,
    /// and tell the others no more.
    #[must_use]
    pub fn is_reader(&self, own: &str, now: Millis) -> bool {
        let before = self.known.iter().take_while(|peer| peer.vm.as_str() < own);
        !before.into_iter().any(|peer| peer.answers(now))
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
    /// hundred messages a second: once more for each [`LEAVES`] VMs of a data centre.
    #[must_use]
    pub fn spread(&self) -> u32 {
        let mut centres: Vec<&str> = self.known.iter().map(|peer| peer.centre.as_str()).collect();
        centres.sort_unstable();
        let largest = centres.chunk_by(|a, b| a == b).map(<[&str]>::len).max();
        u32::try_from(largest.unwrap_or(0) / LEAVES).unwrap_or(u32::MAX) + 1
    }

    /// Tells whom the VM named exchanges with.
    #[must_use]
    pub fn place(&self, own: &str, centre: &str, now: Millis) -> Place {
        if self.known.len() <= DIRECT {
            return Place::Direct;
        }
        if self.is_first(own, centre, now) {
            return Place::Hub;
        }
        Place::Leaf
    }

    /// Yields the VMs that the VM named starts an exchange with. Of two that both would, the one
    /// whose name comes first does; a hub keeps asking silent VMs that came before it, so that it
    /// steps back when they are heard again.
    #[must_use]
    pub fn to_ask(&self, own: &str, centre: &str, now: Millis) -> Vec<Peer> {
        let others = self.known.iter().filter(|peer| peer.vm != own);
        match self.place(own, centre, now) {
            Place::Direct => others
                .filter(|peer| peer.vm.as_str() > own)
                .cloned()
                .collect(),
            Place::Leaf => self.hub(centre, now).into_iter().cloned().collect(),
            Place::Hub => {
                let mut asked: Vec<Peer> = others
                    .clone()
                    .filter(|peer| peer.centre == centre && peer.vm.as_str() < own)
                    .cloned()
                    .collect();
                let mut centres: Vec<&str> = others.map(|peer| peer.centre.as_str()).collect();
                centres.sort_unstable();
                centres.dedup();
                for other in centres.into_iter().filter(|other| *other != centre) {
                    asked.extend(self.hub(other, now).cloned());
                }
                asked
            }
        }
    }
}

#[cfg(test)]
mod tests;
