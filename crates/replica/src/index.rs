//! Index of the turns stored on a member's disk.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use wire::clock::Millis;

use crate::ledger::RETENTION;
use crate::record::Key;

/// The location of a frame on disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
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
    /// When it was stored, or a later time if that isn't known.
    pub stored_at: Millis,
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

    /// Records that a turn was written again.
    pub fn renew(&mut self, key: Key, now: Millis) {
        if let Some(entry) = self.turns.get_mut(&key) {
            entry.stored_at = now;
        }
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

    /// Returns the keys of all turns.
    #[must_use]
    pub fn keys(&self) -> Vec<Key> {
        self.turns.keys().copied().collect()
    }

    /// Returns all turns.
    #[must_use]
    pub fn turns(&self) -> Vec<(Key, Entry)> {
        let turns = self.turns.iter();
        turns.map(|(key, entry)| (*key, *entry)).collect()
    }

    /// Returns the turns stored within [`RETENTION`] and all turns that they continue: a turn is kept together
    /// with its chain. Returns `None` if a turn of such a chain isn't here, because the earlier ones aren't
    /// known then.
    #[must_use]
    pub fn owed(&self, now: Millis) -> Option<Vec<(Key, Entry)>> {
        let is_recent = |entry: &Entry| now.since(entry.stored_at) < RETENTION;
        let recent = self.turns.iter().filter(|(_, entry)| is_recent(entry));
        let mut owed: Vec<(Key, Entry)> = recent.map(|(key, entry)| (*key, *entry)).collect();
        let mut known: HashSet<Key> = owed.iter().map(|(key, _)| *key).collect();
        let mut at = 0;
        while let Some((_, entry)) = owed.get(at) {
            if let Some(previous) = entry.previous
                && known.insert(previous)
            {
                owed.push((previous, self.find(previous)?));
            }
            at += 1;
        }
        Some(owed)
    }

    /// Removes the turns of a segment that was removed, and returns their number.
    pub fn remove_segment(&mut self, segment: u64) -> usize {
        let before = self.turns.len();
        self.turns
            .retain(|_, entry| entry.location.segment != segment);
        before - self.turns.len()
    }
}

/// Sorts turns, the newest first: by time, and those of the same time by where they are on the disk.
pub fn sort_newest_first(turns: &mut [(Key, Entry)]) {
    turns.sort_unstable_by_key(|(_, entry)| Reverse((entry.stored_at, entry.location)));
}
