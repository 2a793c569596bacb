//! When enough members have answered, as pure decisions over the answers so far.

use crate::ledger;
use crate::ledger::Entry;
use crate::list;

/// Where a write to a group stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteState {
    /// More answers are needed.
    Waiting,
    /// A majority has it, and more members may still answer.
    Majority,
    /// Every member has it.
    All,
    /// No majority can be had any more.
    Failed,
}

/// Judges a write by the members that have it and those that failed.
#[must_use]
pub const fn write_state(group: usize, done: usize, failed: usize) -> WriteState {
    if group > 0 && done == group {
        return WriteState::All;
    }
    if done >= list::majority(group) {
        return WriteState::Majority;
    }
    if group - failed < list::majority(group) {
        return WriteState::Failed;
    }
    WriteState::Waiting
}

/// Whether a reservation fits its program's budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Verdict {
    /// The turn may run.
    Fits,
    /// The turn may not run; what is spent and set aside without it.
    Spent(u64),
}

/// Judges a reservation by the entries that members know, its own among them.
///
/// Two concurrent reservations each see the other and may both be refused where one would have
/// fitted; both running could break the budget. Members that were asked after a majority had the
/// reservation, or all members, are enough: of any set of reservations that got through, the one
/// whose write was complete last has then seen all others.
#[must_use]
pub fn check_budget(entries: &[Entry], own: &Entry, budget: u64) -> Verdict {
    let others = entries.iter().filter(|entry| entry.turn != own.turn);
    let spent: u64 = others.map(Entry::charged).sum();
    if spent + u64::from(own.most) <= budget {
        return Verdict::Fits;
    }
    Verdict::Spent(spent)
}

/// Yields the union of what members know.
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
