//! Who owns which shard, as heartbeats tell.
//!
//! The journal decides; these lines only say whom to ask. A line with a higher number of ownership
//! replaces a lower one, so an owner that was paused and speaks again changes nothing.

use wire::id;
use xxhash_rust::xxh3::Xxh3;

use super::broadcast;
use super::broadcast::Queue;
use super::heartbeat::Owner;

/// The lines, sorted by shard.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    entries: Vec<Owner>,
    updates: Queue<id::Shard>,
}

impl Owners {
    /// Yields all lines.
    #[must_use]
    pub fn entries(&self) -> &[Owner] {
        &self.entries
    }

    /// Looks a shard's line up.
    #[must_use]
    pub fn find(&self, shard: &id::Shard) -> Option<&Owner> {
        Some(&self.entries[self.position(shard).ok()?])
    }

    /// Takes a line, the own ones too; it is news where it is later than the known one. Yields
    /// whether it was.
    pub fn merge(&mut self, new: &Owner) -> bool {
        match self.position(&new.shard) {
            Err(at) => self.entries.insert(at, new.clone()),
            Ok(at) if new.rank() > self.entries[at].rank() => self.entries[at] = new.clone(),
            Ok(_) => return false,
        }
        self.updates.push(new.shard.clone());
        true
    }

    /// Picks up to `most` lines that are news, for a heartbeat in a fleet of `vms`.
    pub fn take_updates(&mut self, max: usize, vms: usize) -> Vec<Owner> {
        let shards = self.updates.take(max, broadcast::transmit_limit(vms));
        shards
            .iter()
            .filter_map(|shard| self.find(shard).cloned())
            .collect()
    }

    /// Adds all lines to a digest.
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
