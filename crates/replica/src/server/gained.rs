//! What others have to learn from a member after a change of the list.

use crate::gain;
use crate::ledger::Account;
use crate::list::List;
use crate::message::Holdings;
use crate::record::Key;
use crate::server::Member;

/// Keys that are looked at before other requests get their turn: under a millisecond on a third of
/// a core.
const AT_ONCE: usize = 200;

/// What members got by the latest change of the list, of what this one holds; in the order of VMs.
#[derive(Debug, Default)]
pub(super) struct Gains {
    version: u64,
    turns: Vec<(String, Key)>,
    programs: Vec<(String, Key)>,
}

/// Works out gains some at a time, so that requests are answered meanwhile.
async fn gains(list: &List, keys: &[Key], losses: usize) -> Vec<(String, Key)> {
    let mut all = Vec::new();
    for some in keys.chunks(AT_ONCE) {
        all.extend(gain::gains(list, some, losses));
        tokio::task::yield_now().await;
    }
    all.sort_unstable();
    all
}

impl Member {
    /// Yields what the member holds and `vm` has to hold only since the latest change of the list.
    pub(super) async fn gained(&self, vm: &str, losses: usize) -> Holdings {
        // Held while the gains are worked out, so that members that ask at once share the work.
        let mut gains = self.gains.lock().await;
        let list = self.identity().list;
        if gains.version != list.version {
            *gains = self.work_out(&list, losses).await;
        }
        let own = |gained: &[(String, Key)]| -> Vec<Key> {
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
            turns: own(&gains.turns),
            accounts: own(&gains.programs).into_iter().map(account).collect(),
        }
    }

    async fn work_out(&self, list: &List, losses: usize) -> Gains {
        let (turns, programs) = {
            let state = self.lock();
            (state.index.keys(), state.ledger.programs())
        };
        Gains {
            version: list.version,
            turns: gains(list, &turns, losses).await,
            programs: gains(list, &programs, losses).await,
        }
    }
}
