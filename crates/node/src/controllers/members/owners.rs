//! Which VM owns which shard, as learned from heartbeats.
//!
//! The journal decides on ownership; these entries only say which VM to ask. An entry with a higher
//! epoch replaces one with a lower epoch, so an owner that resumes after a pause changes nothing.

use wire::id;
use xxhash_rust::xxh3::Xxh3;

use super::broadcast;
use super::broadcast::Queue;
use super::heartbeat::Owner;

/// The entries, sorted by shard.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    entries: Vec<Owner>,
    updates: Queue<id::Shard>,
}

impl Owners {
    /// Returns all entries.
    #[must_use]
    pub fn entries(&self) -> &[Owner] {
        &self.entries
    }

    /// Looks up the owner of a shard.
    #[must_use]
    pub fn find(&self, shard: &id::Shard) -> Option<&Owner> {
        Some(&self.entries[self.position(shard).ok()?])
    }

    /// Merges an entry of this VM or of another one, and queues it for sending if it is later than
    /// the known entry. Returns whether it was.
    pub fn merge(&mut self, new: &Owner) -> bool {
        match self.position(&new.shard) {
            Err(at) => self.entries.insert(at, new.clone()),
            Ok(at) if new.rank() > self.entries[at].rank() => self.entries[at] = new.clone(),
            Ok(_) => return false,
        }
        self.updates.push(new.shard.clone());
        true
    }

    /// Takes up to `max` entries to send with a heartbeat in a fleet of `vms`.
    pub fn take_updates(&mut self, max: usize, vms: usize) -> Vec<Owner> {
        let shards = self.updates.take(max, broadcast::transmit_limit(vms));
        shards
            .iter()
            .filter_map(|shard| self.find(shard).cloned())
            .collect()
    }

    /// Adds all entries to a digest.
    pub fn digest(&self, hash: &mut Xxh3) {
        for entry in &self.entries {
            hash.update(entry.shard.centre.as_str().as_bytes());
            hash.update(&entry.shard.index.to_le_bytes());
            hash.update(&entry.epoch.to_le_bytes());
            hash.update(&[u8::from(entry.free)]);
        }
    }

    fn position(&self, shard: &id::Shard) -> std::result::Result<usize, usize> {
        self.entries.binary_search_by(|l| l.shard.cmp(shard))
    }
}
