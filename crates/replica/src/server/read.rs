//! How a member answers requests for what it holds.

use std::io;
use std::io::ErrorKind;

use crate::age;
use crate::disk::Identity;
use crate::index;
use crate::list::List;
use crate::message::Answer;
use crate::message::Chain;
use crate::message::Holdings;
use crate::message::Link;
use crate::record::Key;
use crate::record::Record;
use crate::record::Turn;
use crate::server::Member;
use crate::server::disk_failed;

/// An answer gets no more turns once its text exceeds this length: a part of what a small VM can
/// buffer.
const MAX_TEXT_BYTES: usize = 512 * 1024;

impl Member {
    pub(super) fn chain(&self, key: Key) -> Answer {
        let mut chain = Chain::default();
        let mut text_bytes = 0;
        let mut next = Some(key);
        while let Some(key) = next {
            let Some(entry) = self.lock().index.find(key) else {
                break;
            };
            if text_bytes > MAX_TEXT_BYTES {
                break;
            }
            match self.disk.read(entry.location) {
                Ok(Record::Turn(turn)) => {
                    text_bytes += turn.text.len();
                    chain.turns.push(Link {
                        key,
                        text: turn.text,
                    });
                    next = turn.previous;
                }
                Ok(_) => return Answer::Failed("the stored record is no turn".to_owned()),
                Err(fault) => return disk_failed(&fault),
            }
        }
        chain.next = next;
        Answer::Chain(chain)
    }

    /// Returns what a member that joins has to copy. If this member holds whole chains, that is only the turns
    /// that are still owed; otherwise, an old turn may belong to the chain of a new one that others hold.
    #[must_use]
    pub(super) fn holdings(&self) -> Holdings {
        let now = self.clock.now();
        let (ready, mut turns, accounts) = {
            let state = self.lock();
            let owed = self.has_whole_chains(&state.identity);
            let owed = owed.then(|| state.index.owed(now)).flatten();
            let turns = owed.unwrap_or_else(|| state.index.turns());
            (state.identity.ready, turns, state.ledger.accounts())
        };
        index::sort_newest_first(&mut turns);
        let turns = turns.iter().map(|(key, entry)| (*key, entry.stored_at));
        Holdings {
            ready,
            turns: age::encode(turns, now),
            accounts,
        }
    }

    /// Returns whether the member has to hold the turns of all keys, and has caught up with the list that it
    /// uses or with the one before.
    fn has_whole_chains(&self, identity: &Identity) -> bool {
        let list = &identity.list;
        let Some(losses) = self.losses.get() else {
            return false;
        };
        let holds_all = |list: &List| list.members.len() == list.group_size(*losses);
        identity.ready + 1 >= list.version && holds_all(list) && holds_all(&list.previous())
    }

    /// Returns the turns that the member holds. Fails if the disk does before any of them is read: without
    /// an answer's turns, the sender takes all that it asked for as dropped, and no longer copies them.
    pub(super) fn fetch(&self, keys: &[Key]) -> Answer {
        let mut turns: Vec<Turn> = Vec::new();
        let mut failure = None;
        let mut text_bytes = 0;
        for key in keys {
            let Some(entry) = self.lock().index.find(*key) else {
                continue;
            };
            match self.disk.read(entry.location) {
                Ok(Record::Turn(turn)) => {
                    text_bytes += turn.text.len();
                    turns.push(turn);
                }
                Ok(_) => {}
                Err(fault) if is_absent(&fault) => {
                    log::error!("text=\"a turn can't be read\" fault=\"{fault}\"");
                }
                Err(fault) => failure = Some(fault),
            }
            if text_bytes > MAX_TEXT_BYTES {
                break;
            }
        }
        match failure {
            Some(fault) if turns.is_empty() => disk_failed(&fault),
            _ => Answer::Turns(turns),
        }
    }

    /// Returns which of the turns that another member listed this one doesn't hold, in the order of the list. The
    /// ages that the list tells apply to what is copied until the next list.
    #[must_use]
    pub fn missing(&self, keys: &[Key]) -> Vec<Key> {
        let mut listed = age::decode(keys, self.clock.now());
        let mut state = self.lock();
        listed.retain(|(key, _)| state.index.find(*key).is_none());
        let missing = listed.iter().map(|(key, _)| *key).collect();
        listed.sort_unstable_by_key(|(key, _)| *key);
        state.listed = listed;
        missing
    }
}

/// Returns whether a record is no longer on the disk: its segment was removed, or its frame is damaged.
/// After any other failure it may be read later.
fn is_absent(fault: &io::Error) -> bool {
    matches!(fault.kind(), ErrorKind::NotFound | ErrorKind::InvalidData)
}
