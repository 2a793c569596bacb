//! Where each kept turn lies on a member's disk.

use std::collections::HashMap;

use crate::record::Key;

/// Where a frame lies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The segment's number.
    pub segment: u64,
    /// The frame's place in it, in bytes.
    pub offset: u64,
    /// The frame's length.
    pub length: u32,
}

/// A turn as the index knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct IndexEntry {
    /// The turn that it continued from.
    pub previous: Option<Key>,
    /// Where it lies.
    pub location: Location,
}

/// The turns of a member. A map, as tens of thousands come in no order of their keys.
#[derive(Debug, Default)]
pub struct Index {
    turns: HashMap<Key, IndexEntry>,
}

impl Index {
    /// Notes a turn.
    pub fn insert(&mut self, key: Key, entry: IndexEntry) {
        self.turns.insert(key, entry);
    }

    /// Finds a turn.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<IndexEntry> {
        self.turns.get(&key).copied()
    }

    /// Counts the turns.
    #[must_use]
    pub fn count(&self) -> usize {
        self.turns.len()
    }

    /// Yields all turns, for another member.
    #[must_use]
    pub fn keys(&self) -> Vec<Key> {
        self.turns.keys().copied().collect()
    }

    /// Forgets the turns of a segment that was removed.
    pub fn remove_segment(&mut self, segment: u64) {
        self.turns
            .retain(|_, entry| entry.location.segment != segment);
    }
}
