//! Histories of kept turns: what is at hand, and the rest from the VMs with a disk.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use bytes::Bytes;
use replica::client::Found;
use replica::record::Key;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::node::Node;

/// When a turn whose history couldn't be read may come again: about the time in which a VM with a
/// disk restarts or a cut is noticed, and short beside a program's time.
const RETRY: Millis = Millis::new(300);

/// Turns at hand, the oldest dropped first. A map, as turns come in no order of their keys.
#[derive(Debug, Default)]
pub struct Cache {
    turns: HashMap<Key, Kept>,
    order: VecDeque<Key>,
    bytes: usize,
    room: usize,
}

#[derive(Clone, Debug)]
struct Kept {
    text: Bytes,
    previous: Option<Key>,
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
        self.turns.insert(key, Kept { text, previous });
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

    fn find(&self, key: Key) -> Option<Kept> {
        self.turns.get(&key).cloned()
    }
}

/// Puts together the texts of a turn and of all that it continued from, the oldest first.
///
/// # Errors
///
/// Refuses with "no such turn" only where that is certain, and otherwise asks to come again.
pub async fn history(node: &Arc<Node>, last: Key) -> Result<Vec<Bytes>, Refusal> {
    let mut texts = Vec::new();
    let mut next = Some(last);
    while let Some(key) = next {
        let at_hand = node.turns().find(key);
        if let Some(kept) = at_hand {
            texts.push(kept.text);
            next = kept.previous;
            continue;
        }
        match node.replicas.chain(key).await {
            Ok(Found::Part(links, after)) => {
                let mut turns = node.turns();
                for (at, link) in links.iter().enumerate() {
                    let previous = links.get(at + 1).map(|link| link.key).or(after);
                    turns.insert(link.key, link.text.clone(), previous);
                    texts.push(link.text.clone());
                }
                next = after;
            }
            Ok(Found::Absent) if key == last => {
                return Err(Refusal::new(Code::UnknownTurn, ""));
            }
            Ok(Found::Absent) => {
                let refusal = Refusal::new(Code::RecordsUnreachable, "an earlier turn is missing");
                return Err(refusal.retry_after(RETRY));
            }
            Err(fault) => {
                let refusal = Refusal::new(Code::RecordsUnreachable, &fault.to_string());
                return Err(refusal.retry_after(RETRY));
            }
        }
    }
    texts.reverse();
    Ok(texts)
}

#[cfg(test)]
mod tests;
