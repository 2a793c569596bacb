//! The other VMs that take requests, and which of them exchange messages with each other.
//!
//! In a small deployment all VMs exchange messages pairwise. In a larger one that would be more
//! messages than requests. There the largest VM of each data centre in the directory (the first by
//! name among equals) is its hub: the other VMs of the data centre, its leaves, exchange messages
//! with their hub only, and the hubs with each other. A hub that dies is skipped once its entry has
//! lapsed or it no longer answers. It is the hub again as soon as it answers again. VMs without an
//! entry are leaves, known only to the VMs that they ask.

use std::cmp::Reverse;
use std::net::SocketAddr;

use adapter::settings::Settings;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::directory::Entry;
use crate::directory::SLOTS;
use crate::freshness::Stamp;

/// The most other VMs with which all VMs exchange messages pairwise. At 16 exchanges a second with
/// each, that is under 200 messages per VM and second, which take a few per cent of a small VM's
/// processor.
pub const MAX_DIRECT_PEERS: usize = 12;
/// Number of VMs of a data centre that exchange with their hub at the full rate, 16 times a second
/// each.
const LEAVES_AT_FULL_RATE: u32 = 24;
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

/// Time for which the same VMs of a data centre read the key-value service for a hub whose knowledge
/// is stale: that of a call that fails at once, and its retry.
const STALE_READ_INTERVAL: Millis = Millis::new(400);
/// How long a VM without an entry is kept after it was last heard.
const LEAF_RETENTION: Millis = Millis::new(3_000);

/// The other VMs, each group sorted by name.
#[derive(Debug, Default)]
pub struct Peers {
    own: Own,
    /// The VMs in the directory.
    known: Vec<Peer>,
    /// VMs without an entry that this VM has heard from.
    leaves: Vec<Leaf>,
}

/// This VM.
#[derive(Debug, Default)]
struct Own {
    vm: String,
    centre: String,
    capacity: u64,
    is_listed: bool,
}

/// Another VM that isn't in the directory.
#[derive(Debug)]
struct Leaf {
    vm: String,
    centre: String,
    last_heard: Millis,
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
    /// The state that the VM last reported of itself.
    pub status: Status,
    /// The stamp of the last message from the VM.
    pub stamp: Option<Stamp>,
    /// The last of the runners' entries that the VM has of those that this one sends in parts.
    pub cursor: Option<String>,
    /// The VM's share of a processor in thousandths of a core.
    capacity: u64,
    last_heard: Millis,
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

/// What a VM's last message said besides its status.
#[derive(Clone, Copy, Debug, Default)]
pub struct Recipient<'a> {
    /// The stamp of the message; `None` if the VM doesn't know the extension of messages.
    pub stamp: Option<Stamp>,
    /// The last entry that the VM has of those that this one sends in parts.
    pub cursor: Option<&'a str>,
}

/// Whether a VM hears other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Others {
    /// It does.
    Heard,
    /// It doesn't.
    Silent,
}

impl Peer {
    /// Returns what the VM's last message said.
    #[must_use]
    pub fn recipient(&self) -> Recipient<'_> {
        Recipient {
            stamp: self.stamp,
            cursor: self.cursor.as_deref(),
        }
    }

    fn answers(&self, now: Millis) -> bool {
        self.lapsed_at.is_none() && now.since(self.last_heard) < ANSWER_TIMEOUT
    }

    /// Returns the VM's place in the order in which VMs become hubs.
    fn rank(&self) -> Rank<'_> {
        (Reverse(self.capacity), &self.vm)
    }
}

/// The place of a VM in the order in which VMs become hubs.
type Rank<'a> = (Reverse<u64>, &'a str);

/// The state that a VM reports of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Revision of the VM's roster.
    pub roster: u64,
    /// Revision of the VM's configuration.
    pub config: u64,
    /// Revision of the VM's directory.
    pub directory: u64,
    /// Version of the VM's list of VMs with a disk.
    pub members: u64,
    /// Number of VMs in the VM's data centre that it knows of.
    pub centre_vms: u32,
    /// Whether the VM keeps running.
    pub lifecycle: Lifecycle,
    /// Whether the key-value service answers the VM.
    pub access: Access,
}

/// Whether the key-value service answers a VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Access {
    /// It answered the last call.
    #[default]
    Answered,
    /// It didn't, or refused it.
    Failing,
}

/// A VM's role in the exchange, which follows from what it knows of the other VMs.
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
    /// Creates the peers of a VM that knows of no other VM yet and isn't in the directory.
    #[must_use]
    pub fn new(settings: &Settings) -> Self {
        Self {
            own: Own {
                vm: settings.vm.clone(),
                centre: settings.centre.clone(),
                capacity: settings.capacity,
                is_listed: false,
            },
            ..Self::default()
        }
    }

    /// Applies the entries of the directory. A new VM counts as just heard, so that exchanges with
    /// it start; one without an entry as lapsed.
    pub fn apply(&mut self, entries: &[Entry], now: Millis) {
        self.own.is_listed = entries.iter().any(|entry| entry.vm == self.own.vm);
        for peer in &mut self.known {
            if !entries.iter().any(|entry| entry.vm == peer.vm) {
                peer.lapsed_at.get_or_insert(now);
            }
        }
        for entry in entries {
            if entry.vm != self.own.vm {
                self.set(entry, now);
            }
        }
        let known = &self.known;
        let has_entry = |leaf: &Leaf| known.iter().any(|peer| peer.vm == leaf.vm);
        self.leaves.retain(|leaf| !has_entry(leaf));
    }

    fn set(&mut self, entry: &Entry, now: Millis) {
        match self.find(&entry.vm) {
            Ok(index) => {
                let peer = &mut self.known[index];
                peer.address = entry.address;
                peer.capacity = entry.capacity;
                entry.centre.clone_into(&mut peer.centre);
                peer.lapsed_at = None;
            }
            Err(index) => self.known.insert(
                index,
                Peer {
                    vm: entry.vm.clone(),
                    centre: entry.centre.clone(),
                    address: entry.address,
                    status: Status::default(),
                    stamp: None,
                    cursor: None,
                    capacity: entry.capacity,
                    last_heard: now,
                    lapsed_at: None,
                },
            ),
        }
    }

    fn find(&self, vm: &str) -> Result<usize, usize> {
        self.known.binary_search_by(|peer| peer.vm.as_str().cmp(vm))
    }

    /// Returns the number of other VMs in the directory.
    #[must_use]
    pub fn listed(&self) -> usize {
        self.known.len()
    }

    /// Returns whether this VM is in the directory.
    #[must_use]
    pub const fn lists_own(&self) -> bool {
        self.own.is_listed
    }

    /// Finds a VM of the directory by name.
    #[must_use]
    pub fn peer(&self, vm: &str) -> Option<&Peer> {
        self.find(vm).ok().map(|index| &self.known[index])
    }

    /// Returns whether a VM belongs to a data centre, as far as this VM has heard of it.
    #[must_use]
    pub fn is_in_centre(&self, vm: &str, centre: &str) -> bool {
        if let Some(peer) = self.peer(vm) {
            return peer.centre == centre;
        }
        let leaf = self.leaves.iter().find(|leaf| leaf.vm == vm);
        leaf.is_some_and(|leaf| leaf.centre == centre)
    }

    /// Records the state that a VM reported.
    pub fn note_status(&mut self, vm: &str, centre: &str, status: Status, now: Millis) {
        if let Ok(index) = self.find(vm) {
            let peer = &mut self.known[index];
            peer.last_heard = now;
            peer.status = status;
            return;
        }
        let known = self
            .leaves
            .binary_search_by(|leaf| leaf.vm.as_str().cmp(vm));
        match known {
            Ok(index) => self.leaves[index].last_heard = now,
            Err(index) => self.leaves.insert(
                index,
                Leaf {
                    vm: vm.to_owned(),
                    centre: centre.to_owned(),
                    last_heard: now,
                },
            ),
        }
    }

    /// Records what else a message said, for the next message to its sender: its stamp, and the last
    /// of the runners' entries that the sender has of those sent to it in parts.
    pub fn note_extension(&mut self, vm: &str, stamp: Option<Stamp>, cursor: Option<String>) {
        if let Ok(index) = self.find(vm) {
            self.known[index].stamp = stamp;
            self.known[index].cursor = cursor;
        }
    }

    /// Removes VMs whose entries lapsed at least `LAPSED_RETENTION` ago, and those without an entry
    /// that have been silent.
    pub fn forget_lapsed(&mut self, now: Millis) {
        let recent = |since: Millis| now.since(since) < LAPSED_RETENTION;
        self.known.retain(|peer| peer.lapsed_at.is_none_or(recent));
        let heard = |leaf: &Leaf| now.since(leaf.last_heard) < LEAF_RETENTION;
        self.leaves.retain(heard);
    }

    /// Returns whether no VM that answers sorts before `own`, across all data centres. If so, this
    /// VM reads the runners' entries on behalf of the others. One reader in each data centre would
    /// multiply the calls of the key-value service by the number of data centres and give the other
    /// VMs no more information.
    ///
    /// In a small deployment a VM that is stopping is skipped before it turns silent. If the next
    /// one stopped as well, waiting until both have timed out would make all VMs use a departed
    /// runner for longer than allowed. In a larger deployment a stopping VM isn't skipped, because
    /// leaves hear only their hub and would all read at once.
    ///
    /// A VM that the service doesn't answer is skipped. Otherwise all VMs would wait for it until
    /// their knowledge is stale, and then read at once, as long as the service refuses it.
    #[must_use]
    pub fn is_reader(&self, own: &str, now: Millis) -> bool {
        let keeps_running =
            |peer: &Peer| !self.is_direct() || peer.status.lifecycle == Lifecycle::Stays;
        let can_read = |peer: &Peer| keeps_running(peer) && peer.status.access == Access::Answered;
        !self.before(own, now).any(can_read)
    }

    /// Returns whether no VM that answers ranks before `own`, across all data centres, whether or not
    /// the key-value service answers it.
    #[must_use]
    pub fn is_first_of_all(&self, own: &str, now: Millis) -> bool {
        self.before(own, now).next().is_none()
    }

    /// Returns the VMs that answer and rank before `own`.
    fn before(&self, own: &str, now: Millis) -> impl Iterator<Item = &Peer> {
        let known = self.known.iter();
        known.filter(move |peer| peer.answers(now) && self.ranks_before(peer, own))
    }

    /// Returns whether this VM, a leaf whose knowledge is stale although its hub answers, reads the
    /// key-value service itself at `now`. About two VMs of a data centre do at a time, whatever
    /// their number. If the service has failed, all VMs would otherwise call it until it returns.
    /// If it only refuses the hub, the first that reads tells the hub.
    #[must_use]
    pub fn reads_for_stale_hub(&self, now: Millis) -> bool {
        let centre_vms = self.told_vms(&self.own.centre).max(1);
        let seed = now.as_u64() / STALE_READ_INTERVAL.as_u64();
        let number = xxh3_64_with_seed(self.own.vm.as_bytes(), seed);
        number % u64::from(centre_vms) < PROBED_SILENT as u64
    }

    /// Returns how many VMs a data centre has according to those of it that were heard.
    fn told_vms(&self, centre: &str) -> u32 {
        let of_centre = self.known.iter().filter(|peer| peer.centre == centre);
        let told = of_centre.map(|peer| peer.status.centre_vms);
        told.max().unwrap_or(0)
    }

    /// Returns whether a VM becomes a hub before the VM `own`. All VMs in the directory rank before
    /// one that isn't.
    fn ranks_before(&self, peer: &Peer, own: &str) -> bool {
        !self.own.is_listed || peer.rank() < (Reverse(self.own.capacity), own)
    }

    /// Returns whether all VMs exchange pairwise: they are few, and no data centre has more of them
    /// than the directory has room for.
    fn is_direct(&self) -> bool {
        self.known.len() <= MAX_DIRECT_PEERS
            && self.centres().into_iter().all(|centre| {
                let others = self.known.iter().filter(|peer| peer.centre == centre);
                others.count() + usize::from(centre == self.own.centre) < SLOTS
            })
    }

    /// Returns whether no VM of the data centre that answers ranks before `own`. Where hubs are
    /// needed, this VM is the hub of its data centre.
    #[must_use]
    pub fn is_first(&self, own: &str, centre: &str, now: Millis) -> bool {
        !self.before(own, now).any(|peer| peer.centre == centre)
    }

    /// Returns the factor by which the pause between two exchanges grows, so that a hub handles at
    /// most some hundred messages a second. It grows by one for each `LEAVES_AT_FULL_RATE` VMs of
    /// the largest data centre.
    #[must_use]
    pub fn pause_factor(&self) -> u32 {
        let told = self.known.iter().map(|peer| peer.status.centre_vms).max();
        let largest = told.unwrap_or(0).max(self.count_in(&self.own.centre));
        largest / LEAVES_AT_FULL_RATE + 1
    }

    /// Returns the number of VMs of a data centre that this VM knows of, itself included.
    #[must_use]
    pub fn count_in(&self, centre: &str) -> u32 {
        let listed = self.known.iter().filter(|peer| peer.centre == centre);
        let leaves = self.leaves.iter().filter(|leaf| leaf.centre == centre);
        let others = listed.count() + leaves.count();
        u32::try_from(others + usize::from(centre == self.own.centre)).unwrap_or(u32::MAX)
    }

    /// Returns the number of VMs of all data centres, this one included, according to those that were
    /// heard.
    #[must_use]
    pub fn count_all(&self) -> u32 {
        let own = self.own.centre.as_str();
        let mut centres = self.centres();
        centres.retain(|centre| *centre != own);
        let others = centres
            .into_iter()
            .map(|centre| self.count_in(centre).max(self.told_vms(centre)));
        let own = self.count_in(own).max(self.told_vms(own));
        others.sum::<u32>() + own
    }

    /// Returns the number of data centres with VMs, this one's included.
    #[must_use]
    pub fn count_centres(&self) -> u32 {
        let own = self.own.centre.as_str();
        let others = self.centres().into_iter().filter(|centre| *centre != own);
        u32::try_from(others.count() + 1).unwrap_or(u32::MAX)
    }

    /// Returns whether any other VM of the directory is heard.
    #[must_use]
    pub fn heard(&self, now: Millis) -> Others {
        if self.known.iter().any(|peer| peer.answers(now)) {
            Others::Heard
        } else {
            Others::Silent
        }
    }

    /// Returns a VM that answers and has told of the newest configuration, if it is newer than the revision
    /// `own`. Of several, different VMs choose different ones.
    #[must_use]
    pub fn newest_config(&self, own: u64, now: Millis) -> Option<Peer> {
        let answering = || self.known.iter().filter(|peer| peer.answers(now));
        let newest = answering().map(|peer| peer.status.config).max()?;
        if newest <= own {
            return None;
        }
        let have_it: Vec<&Peer> = answering()
            .filter(|peer| peer.status.config == newest)
            .collect();
        let number = xxh3_64_with_seed(self.own.vm.as_bytes(), now.as_u64());
        let index = usize::try_from(number % have_it.len() as u64).unwrap_or(0);
        Some(have_it[index].clone())
    }

    /// Returns the role of the VM `own` in the exchange.
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
            let own_search = self.find_hub(centre, |peer| self.ranks_before(peer, own), now);
            asked.extend(own_search.probed(now));
            asked.extend(own_search.hub);
            if role == Role::Hub {
                let centre_vms = self.told_vms(centre);
                let others = self.centres().into_iter().filter(|other| *other != centre);
                for search in others.map(|other| self.find_hub(other, |_| true, now)) {
                    let probes = own_search.probes_other_centres(now, centre_vms);
                    if probes {
                        asked.extend(search.probed(now));
                    }
                    if probes || self.own.is_listed {
                        asked.extend(search.hub);
                    }
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
    fn find_hub(&self, centre: &str, counts: impl Fn(&Peer) -> bool, now: Millis) -> Search<'_> {
        let known = self.known.iter();
        let counted = known.filter(|peer| peer.centre == centre && counts(peer));
        let mut counted: Vec<&Peer> = counted.collect();
        counted.sort_by_key(|peer| peer.rank());
        let mut silent = Vec::new();
        let hub = counted.into_iter().find(|peer| {
            let answers = peer.answers(now);
            if !answers {
                silent.push(*peer);
            }
            answers
        });
        Search { silent, hub }
    }
}

/// The VMs of a data centre in the order in which they become hubs, up to its hub.
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
    /// centres now. The more VMs its data centre has, the more rarely it does. When a hub dies, all its
    /// leaves consider themselves hubs for a moment, and would otherwise probe the same VMs of each
    /// other data centre at once.
    fn probes_other_centres(&self, now: Millis, centre_vms: u32) -> bool {
        let centre_vms = usize::try_from(centre_vms).unwrap_or(usize::MAX);
        let asking = match self.silent.len() {
            0 => 0,
            silent => silent.max(centre_vms),
        };
        pseudo_random_index(now, asking) < PROBED_SILENT
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
