//! Pure functions that decide from the answers so far whether enough members have answered.

use crate::ledger;
use crate::ledger::Entry;
use crate::list;

/// State of a write to a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// More answers are needed.
    Waiting,
    /// A majority has it; more members may still answer.
    Majority,
    /// Every member has it.
    All,
    /// A majority can no longer be reached.
    Failed,
}

/// Returns the state of a write, given how many members have it and how many failed.
#[must_use]
pub const fn write_state(group: usize, done: usize, failed: usize) -> State {
    if group > 0 && done == group {
        return State::All;
    }
    if done >= list::majority(group) {
        return State::Majority;
    }
    if group - failed < list::majority(group) {
        return State::Failed;
    }
    State::Waiting
}

/// Whether a reservation fits its program's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The turn may run.
    Fits,
    /// The turn may not run. Holds the tokens that are spent or reserved without it.
    Spent(u64),
}

/// Decides whether a reservation fits the budget, given the entries that members know, including
/// the reservation's own entry.
///
/// Two concurrent reservations each see the other, and both may be refused where one would have
/// fitted; running both could exceed the budget. It is enough to ask either all members, or a
/// majority after a majority has the reservation: of any set of reservations that were accepted,
/// the one whose write completed last has then seen all others.
#[must_use]
pub fn check_budget(entries: &[Entry], own: &Entry, budget: u64) -> Verdict {
    let others = entries.iter().filter(|entry| entry.turn != own.turn);
    let spent: u64 = others.map(Entry::charged).sum();
    if spent + u64::from(own.most) <= budget {
        return Verdict::Fits;
    }
    Verdict::Spent(spent)
}

/// Returns the union of what the members know.
#[must_use]
pub fn union(known: &[Vec<Entry>]) -> Vec<Entry> {
    let mut all = Vec::new();
    for entries in known {
        ledger::merge_entries(&mut all, entries);
    }
    all
}

#[cfg(test)]
mod tests;
