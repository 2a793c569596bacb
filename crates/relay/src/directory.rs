//! The directory in the key-value service: a few VMs of each data centre, through which all other
//! VMs find each other.
//!
//! If every VM had an entry, each start and each renewal would cost a call per VM, and a restart of
//! all VMs would cost the service thousands. A data centre has [`SLOTS`] entries. VMs without one
//! announce themselves to the hub of their data centre, which is always a VM with an entry.

use std::net::SocketAddr;

use platform::edge;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

use crate::subject;

/// Number of entries of a data centre. With fewer, the VMs of a data centre would lose their hub
/// and all its substitutes in a rolling restart of a few machines.
pub const SLOTS: usize = 6;
/// Time that a VM with a whole core leaves to larger ones before it takes a free slot; smaller VMs
/// wait longer in inverse proportion. A hub exchanges messages with all VMs of its data centre,
/// which a VM with a tenth of a core can't sustain.
const CLAIM_DELAY: Millis = Millis::new(20);
/// The longest time that a VM leaves to larger ones, before the part by which VMs differ.
const MAX_CLAIM_DELAY: Millis = Millis::new(200);
/// Thousandths of a core in a whole one.
const WHOLE_CORE: u64 = 1_000;

/// The entry of a VM.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Key of the entry, which names data centre and slot.
    pub key: String,
    /// Revision of the entry in the key-value service.
    pub revision: u64,
    /// Name of the VM.
    pub vm: String,
    /// Data centre of the VM.
    pub centre: String,
    /// Address that takes messages from other VMs.
    pub address: SocketAddr,
    /// The VM's share of a processor in thousandths of a core.
    pub capacity: u64,
}

/// All entries at one revision of the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Directory {
    /// Revision up to which the entries are complete. 0 if nothing is known yet.
    pub revision: u64,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// What a VM can do to be in the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Claim {
    /// Write this key, provided that it still has this revision; 0 if it must not exist.
    Write {
        /// The key.
        key: String,
        /// Its revision.
        revision: u64,
    },
    /// Nothing: other VMs have all slots of the data centre.
    Full,
}

impl Directory {
    /// Adds or replaces an entry unless the known one is as new.
    pub fn set(&mut self, entry: Entry) {
        match self.find(&entry.key) {
            Ok(index) if self.entries[index].revision >= entry.revision => {}
            Ok(index) => self.entries[index] = entry,
            Err(index) => self.entries.insert(index, entry),
        }
    }

    /// Removes an entry unless it is newer than the removal.
    pub fn remove(&mut self, key: &str, revision: u64) {
        if let Ok(index) = self.find(key)
            && self.entries[index].revision <= revision
        {
            self.entries.remove(index);
        }
    }

    /// Records that the entries are complete up to a revision.
    pub fn raise_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Replaces the entries by those of another directory if it is newer. Keeps the entries that
    /// were written after it. An older one would bring back entries that have been removed.
    pub fn adopt(&mut self, other: Self) {
        if other.revision <= self.revision {
            return;
        }
        let known = std::mem::replace(self, other);
        for entry in known.entries {
            if entry.revision > self.revision {
                self.set(entry);
            }
        }
    }

    /// Returns whether a VM has an entry.
    #[must_use]
    pub fn lists(&self, vm: &str) -> bool {
        self.entries.iter().any(|entry| entry.vm == vm)
    }

    /// Returns whether any VM of a data centre has an entry.
    #[must_use]
    pub fn covers(&self, centre: &str) -> bool {
        self.entries.iter().any(|entry| entry.centre == centre)
    }

    /// Returns what a VM can do to be in the directory. VMs that start at once choose different
    /// free slots, so that few of them meet at the same key.
    #[must_use]
    pub fn claim(&self, vm: &str, centre: &str) -> Claim {
        if let Some(own) = self.entries.iter().find(|entry| entry.vm == vm) {
            return Claim::Write {
                key: own.key.clone(),
                revision: own.revision,
            };
        }
        let keys = (0..SLOTS).map(|slot| subject::directory_key(centre, slot));
        let free: Vec<String> = keys.filter(|key| self.find(key).is_err()).collect();
        if free.is_empty() {
            return Claim::Full;
        }
        let chosen = xxh3_64(vm.as_bytes()) % free.len() as u64;
        let key = free[usize::try_from(chosen).unwrap_or(0)].clone();
        Claim::Write { key, revision: 0 }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.key.as_str().cmp(key))
    }
}

/// Returns how long a VM leaves free slots to larger VMs. VMs of the same size wait for different
/// times, as most start at the same moment and would all write before one of them can read that the
/// slots are taken.
#[must_use]
pub fn claim_delay(vm: &str, capacity: u64) -> Millis {
    let delay = CLAIM_DELAY.as_u64() * WHOLE_CORE / capacity.max(1);
    let delay = delay.min(MAX_CLAIM_DELAY.as_u64());
    Millis::new(delay + xxh3_64(vm.as_bytes()) % delay.max(1))
}

/// Encodes the value of an entry.
#[must_use]
pub fn encode(entry: &Entry) -> Vec<u8> {
    let Entry {
        vm,
        address,
        capacity,
        ..
    } = entry;
    format!("{vm} {address} {capacity}").into_bytes()
}

/// Decodes an entry; `None` if key or value has another form.
#[must_use]
pub fn decode(item: &edge::Entry) -> Option<Entry> {
    let slot = item.key.strip_prefix(&subject::directory_prefix())?;
    let (centre, _) = slot.rsplit_once('/')?;
    let mut parts = std::str::from_utf8(&item.value).ok()?.split(' ');
    let (vm, address, capacity) = (parts.next()?, parts.next()?, parts.next()?);
    Some(Entry {
        key: item.key.clone(),
        revision: item.revision,
        vm: vm.to_owned(),
        centre: centre.to_owned(),
        address: address.parse().ok()?,
        capacity: capacity.parse().ok()?,
    })
}

#[cfg(test)]
mod tests;
