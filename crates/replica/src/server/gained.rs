//! Answers which keys another member gained by the latest change of the list.

use crate::catch_up;
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
#[derive(Debug, Default)]
pub(super) struct Keys {
    version: u64,
    turns: Vec<(String, Key)>,
    programs: Vec<(String, Key)>,
}

/// Computes the gained keys in chunks, so that requests are answered in between.
async fn gained_keys(list: &List, keys: &[Key], losses: usize) -> Vec<(String, Key)> {
    let mut all = Vec::new();
    for chunk in keys.chunks(KEYS_PER_YIELD) {
        all.extend(catch_up::gained_keys(list, chunk, losses));
        tokio::task::yield_now().await;
    }
    all.sort_unstable();
    all
}

impl Member {
    /// Returns what this member holds and `vm` has to hold only since the latest change of the
    /// list.
    pub(super) async fn gained(&self, vm: &str, losses: usize) -> Holdings {
        // The lock is held during the computation, so that members that ask at the same time share
        // the result.
        let mut cached = self.gained_cache.lock().await;
        let list = self.identity().list;
        if cached.version != list.version {
            *cached = self.compute_gained(&list, losses).await;
        }
        let keys_of_vm = |gained: &[(String, Key)]| -> Vec<Key> {
            let first = gained.partition_point(|(other, _)| other.as_str() < vm);
            let of_vm = gained[first..].iter();
            let of_vm = of_vm.take_while(|(other, _)| other == vm);
            of_vm.map(|(_, key)| *key).collect()
        };
        let state = self.lock();
        let account = |program: Key| Account {
            program,
            entries: state.ledger.entries(program).to_vec(),
        };
        Holdings {
            ready: state.identity.ready,
            turns: keys_of_vm(&cached.turns),
            accounts: keys_of_vm(&cached.programs)
                .into_iter()
                .map(account)
                .collect(),
        }
    }

    async fn compute_gained(&self, list: &List, losses: usize) -> Keys {
        let (turns, programs) = {
            let state = self.lock();
            (state.index.keys(), state.ledger.programs())
        };
        Keys {
            version: list.version,
            turns: gained_keys(list, &turns, losses).await,
            programs: gained_keys(list, &programs, losses).await,
        }
    }
}
