//! Kept turns that are at hand.

use std::collections::HashMap;
use std::collections::VecDeque;

use bytes::Bytes;
use replica::record::Key;

/// Turns at hand, the oldest dropped first. A map, as turns come in no order of their keys.
#[derive(Debug, Default)]
pub struct Cache {
    turns: HashMap<Key, CachedTurn>,
    order: VecDeque<Key>,
    bytes: usize,
    room: usize,
}

/// A turn at hand.
#[derive(Clone, Debug)]
pub struct CachedTurn {
    /// Its input and output.
    pub text: Bytes,
    /// The turn that it continued from.
    pub previous: Option<Key>,
}

impl Cache {
    /// Makes a cache of `room` bytes.
    #[must_use]
    pub fn new(room: usize) -> Self {
        Self {
            room,
            ..Self::default()
        }
    }

    /// Notes a turn.
    pub fn insert(&mut self, key: Key, text: Bytes, previous: Option<Key>) {
        if self.turns.contains_key(&key) {
            return;
        }
        self.bytes += text.len();
        self.turns.insert(key, CachedTurn { text, previous });
        self.order.push_back(key);
        while self.bytes > self.room {
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
    pub fn find(&self, key: Key) -> Option<CachedTurn> {
        self.turns.get(&key).cloned()
    }
}

#[cfg(test)]
mod tests;
