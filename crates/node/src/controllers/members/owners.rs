//! Who owns which shard, as heartbeats tell.
//!
//! The journal decides; these lines only say whom to ask. A line with a higher number of ownership
//! replaces a lower one, so an owner that was paused and speaks again changes nothing.

use wire::id;
use xxhash_rust::xxh3::Xxh3;

use super::beat::Owner;
use super::spread;
use super::spread::Spread;

/// The lines, sorted by shard.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    lines: Vec<Owner>,
    news: Spread<id::Shard>,
}

impl Owners {
    /// Yields all lines.
    #[must_use]
    pub fn lines(&self) -> &[Owner] {
        &self.lines
    }

    /// Looks a shard's line up.
    #[must_use]
    pub fn find(&self, shard: &id::Shard) -> Option<&Owner> {
        Some(&self.lines[self.at(shard).ok()?])
    }

    /// Takes a line, the own ones too; it is news where it is later than the known one. Yields
    /// whether it was.
    pub fn merge(&mut self, told: &Owner) -> bool {
        match self.at(&told.shard) {
            Err(at) => self.lines.insert(at, told.clone()),
            Ok(at) if told.rank() > self.lines[at].rank() => self.lines[at] = told.clone(),
            Ok(_) => return false,
        }
        self.news.push(told.shard.clone());
        true
    }

    /// Picks up to `most` lines that are news, for a heartbeat in a fleet of `vms`.
    pub fn news(&mut self, most: usize, vms: usize) -> Vec<Owner> {
        let shards = self.news.take(most, spread::sends(vms));
        shards
            .iter()
            .filter_map(|shard| self.find(shard).cloned())
            .collect()
    }

    /// Adds all lines to a digest.
    pub fn digest(&self, hash: &mut Xxh3) {
        for line in &self.lines {
            hash.update(line.shard.centre.as_str().as_bytes());
            hash.update(&line.shard.index.to_le_bytes());
            hash.update(&line.epoch.to_le_bytes());
            hash.update(&[u8::from(line.free)]);
        }
    }

    fn at(&self, shard: &id::Shard) -> std::result::Result<usize, usize> {
        self.lines.binary_search_by(|l| l.shard.cmp(shard))
    }
}
