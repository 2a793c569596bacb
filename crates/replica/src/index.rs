//! Index of the turns stored on a member's disk.

use std::collections::HashMap;

use crate::record::Key;

/// The location of a frame on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The segment's number.
    pub segment: u64,
    /// The frame's offset in the segment, in bytes.
    pub offset: u64,
    /// The frame's length in bytes.
    pub length: u32,
}

/// A turn in the index.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key of the turn that it continues, if any.
    pub previous: Option<Key>,
    /// Where it is stored.
    pub location: Location,
}

/// The turns of a member. It is a map because tens of thousands arrive in no order of their keys.
#[derive(Debug, Default)]
pub struct Index {
    turns: HashMap<Key, Entry>,
}

impl Index {
    /// Adds a turn.
    pub fn insert(&mut self, key: Key, entry: Entry) {
        self.turns.insert(key, entry);
    }

    /// Finds a turn.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<Entry> {
        self.turns.get(&key).copied()
    }

    /// Returns the number of turns.
    #[must_use]
    pub fn count(&self) -> usize {
        self.turns.len()
    }

    /// Returns the keys of all turns, for another member.
    #[must_use]
    pub fn keys(&self) -> Vec<Key> {
        self.turns.keys().copied().collect()
    }

    /// Removes the turns of a segment that was removed, and returns their number.
    pub fn remove_segment(&mut self, segment: u64) -> usize {
        let before = self.turns.len();
        self.turns
            .retain(|_, entry| entry.location.segment != segment);
        before - self.turns.len()
    }
}
