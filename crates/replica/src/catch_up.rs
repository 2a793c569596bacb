//! What members have to copy from each other after a change of the list.
//!
//! A change moves few keys: a member that leaves or joins changes each of its groups by one or two
//! members. If every member compared everything with every other, reads that need caught-up members
//! would wait for all of it. So a member that had caught up with the previous list asks only for
//! the keys that it has just gained.
//!
//! If each acknowledged record is held by a majority of its group before the change, it still is
//! after the change: each member of that majority that left the group is replaced by one that
//! joined, and the new one has copied from so many members that one of the majority is among them.
//! This requires groups of the same size before and after, and that the members it copies from had
//! caught up themselves. In a list where each member holds everything, whatever its size, members
//! compare everything instead.

use crate::list;
use crate::list::List;
use crate::list::Member;
use crate::record::Key;

/// Which keys a member has to copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All keys that it holds under the list.
    All,
    /// The keys that it holds under the list and didn't hold under the previous one.
    Gained,
}

/// Returns what the member `own` has to copy for a list, if it has caught up with version `ready`.
#[must_use]
pub fn scope(list: &List, own: &Member, ready: u64, losses: usize) -> Scope {
    // The disks that are left aren't the members of the list before, by which gains are told.
    if list.is_reset() {
        return Scope::All;
    }
    let before = list.previous();
    let was_caught_up = ready + 1 == list.version && before.has_member(own);
    let same_group_size = before.group_size(losses) == list.group_size(losses);
    if was_caught_up && same_group_size && is_partial(list, losses) {
        Scope::Gained
    } else {
        Scope::All
    }
}

/// Returns whether a member copies a key when it catches up with a list: one that it holds under
/// the list or under the one `before` it.
///
/// A slow member may catch up with a list without having caught up with the one before. From then
/// on others assume that it had, and copy from it. If it skipped the keys of the earlier list, the
/// copies that they count on would be missing, and a majority would call an acknowledged turn
/// absent.
#[must_use]
pub fn must_copy(list: &List, before: &List, own: &Member, key: Key, losses: usize) -> bool {
    let in_group = |list: &List| list.group(key, losses).contains(&own);
    in_group(list) || in_group(before)
}

/// Returns whether a member has copied from enough members of the previous list: `answered` have
/// sent what they hold, and `caught_up` are those of them that had caught up with the previous
/// list. After a reset, all disks that are left have to answer.
#[must_use]
pub fn has_enough_sources(
    list: &List,
    answered: &[&Member],
    caught_up: &[&Member],
    losses: usize,
) -> bool {
    if list.is_reset() {
        return list.before.iter().all(|member| answered.contains(&member));
    }
    let before = list.previous();
    before.members.is_empty() || can_be_copied_from(&before, answered, caught_up, losses)
}

/// Returns whether members of a list hold all that was acknowledged under it: `answered` of them, of which
/// `caught_up` had caught up with it.
///
/// `answered` must intersect every majority, so that the remaining members are too few to continue
/// with the list. Where members hold everything, one caught-up member is enough; where
/// each holds a part, the caught-up ones must intersect every majority that may have a record.
#[must_use]
pub fn can_be_copied_from(
    list: &List,
    answered: &[&Member],
    caught_up: &[&Member],
    losses: usize,
) -> bool {
    let blocking = list::blocking_size(list.group_size(losses));
    let needed = if is_partial(list, losses) {
        blocking
    } else {
        1
    };
    list.covers(answered, losses, blocking) && list.covers(caught_up, losses, needed)
}

/// Returns pairs of a VM and a key that its member gains by a change of the list.
#[must_use]
pub fn gained_keys(list: &List, keys: &[Key], losses: usize) -> Vec<(String, Key)> {
    let before = list.previous();
    let mut gained = Vec::new();
    for key in keys {
        let earlier = before.group(*key, losses);
        for member in list.group(*key, losses) {
            if !earlier.contains(&member) {
                gained.push((member.vm.clone(), *key));
            }
        }
    }
    gained
}

/// Returns whether each member holds only a part of the keys.
fn is_partial(list: &List, losses: usize) -> bool {
    list.members.len() > list.group_size(losses)
}

#[cfg(test)]
mod tests;
