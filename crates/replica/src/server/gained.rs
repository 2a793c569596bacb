//! Answers which keys another member gained by the latest change of the list.

use crate::age;
use crate::catch_up;
use crate::index;
use crate::ledger::Account;
use crate::list::List;
use crate::message::Holdings;
use crate::record::Key;
use crate::server::Member;

/// Keys that are handled before other requests get to run: under a millisecond on a third of a
/// core.
const KEYS_PER_YIELD: usize = 200;

/// The keys that members gained by the latest change of the list, as far as this member holds them;
/// sorted by VM.
///
/// What was computed stays if the one that asked leaves before the end: on a slow VM with many keys each
/// would leave in turn, and none would ever be answered.
#[derive(Debug, Default)]
pub(super) struct Keys {
    version: u64,
    /// The list version up to which the member held everything when its keys were listed.
    ready: u64,
    turns: Part,
    programs: Part,
}

/// The keys of one kind.
#[derive(Debug, Default)]
struct Part {
    /// Keys that weren't looked at yet.
    pending: Vec<Key>,
    gained: Vec<(String, Key)>,
}

impl Part {
    const fn new(pending: Vec<Key>) -> Self {
        Self {
            pending,
            gained: Vec::new(),
        }
    }

    /// Looks at all pending keys in chunks, so that requests are answered in between.
    async fn compute(&mut self, list: &List, losses: usize) {
        while !self.pending.is_empty() {
            let from = self.pending.len().saturating_sub(KEYS_PER_YIELD);
            let gained = catch_up::gained_keys(list, &self.pending[from..], losses);
            self.gained.extend(gained);
            self.pending.truncate(from);
            if self.pending.is_empty() {
                self.gained.sort_unstable();
            }
            tokio::task::yield_now().await;
        }
    }

    /// Returns the keys that a VM gained.
    fn of_vm(&self, vm: &str) -> Vec<Key> {
        let first = self
            .gained
            .partition_point(|(other, _)| other.as_str() < vm);
        let of_vm = self.gained[first..].iter();
        let of_vm = of_vm.take_while(|(other, _)| other == vm);
        of_vm.map(|(_, key)| *key).collect()
    }
}

impl Member {
    /// Returns what this member holds and `vm` has to hold only since the latest change of the
    /// list, old turns included: a new one that continues them may be held by others.
    pub(super) async fn gained(&self, vm: &str, losses: usize) -> Holdings {
        // The lock is held during the computation, so that members that ask at the same time share
        // the result.
        let mut cached = self.gained_cache.lock().await;
        let list = self.identity().list;
        {
            let state = self.lock();
            let ready = state.identity.ready;
            // What the member has copied since is missing from what was listed before.
            if (cached.version, cached.ready) != (list.version, ready) {
                *cached = Keys {
                    version: list.version,
                    ready,
                    turns: Part::new(state.index.keys()),
                    programs: Part::new(state.ledger.programs()),
                };
            }
        }
        cached.turns.compute(&list, losses).await;
        cached.programs.compute(&list, losses).await;
        let keys = cached.turns.of_vm(vm);
        let programs = cached.programs.of_vm(vm);
        let now = self.clock.now();
        let (mut turns, accounts) = {
            let state = self.lock();
            let stored = |key: Key| Some((key, state.index.find(key)?));
            let account = |program: Key| Account {
                program,
                entries: state.ledger.entries(program).to_vec(),
            };
            let turns: Vec<(Key, index::Entry)> = keys.into_iter().filter_map(stored).collect();
            (turns, programs.into_iter().map(account).collect())
        };
        index::sort_newest_first(&mut turns);
        let turns = turns.iter().map(|(key, entry)| (*key, entry.stored_at));
        Holdings {
            ready: cached.ready,
            turns: age::encode(turns, now),
            accounts,
        }
    }
}
