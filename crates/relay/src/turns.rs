//! A cache of kept turns in memory.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use replica::record::Key;

/// Kept turns in memory; the oldest are evicted first. A hash map, because turns don't arrive in
/// the order of their keys.
#[derive(Debug, Default)]
pub struct Cache {
    turns: HashMap<Key, Entry>,
    order: VecDeque<Key>,
    bytes: usize,
    capacity: usize,
}

/// A cached turn.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The turn's input and output.
    pub text: Bytes,
    /// The turn that it continued from.
    pub previous: Option<Key>,
}

impl Cache {
    /// Creates a cache that holds texts of `capacity` bytes in total.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            ..Self::default()
        }
    }

    /// Adds a turn, and evicts the oldest ones if the cache is over its capacity.
    pub fn insert(&mut self, key: Key, text: Bytes, previous: Option<Key>) {
        if self.turns.contains_key(&key) {
            return;
        }
        self.bytes += text.len();
        self.turns.insert(key, Entry { text, previous });
        self.order.push_back(key);
        while self.bytes > self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            if let Some(kept) = self.turns.remove(&oldest) {
                self.bytes -= kept.text.len();
            }
        }
    }

    /// Finds a turn.
    #[must_use]
    pub fn find(&self, key: Key) -> Option<Entry> {
        self.turns.get(&key).cloned()
    }
}

#[cfg(test)]
mod tests;
