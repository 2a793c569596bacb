//! What members have to learn after a change of the list.
//!
//! A change moves few keys: a member that goes or comes changes the groups that it is in by one or
//! two members. Were every member to compare everything with every other, reads that need all
//! members would wait for as long. So a member that held its share before asks only for the keys
//! that it has just got.
//!
//! Where each acknowledged fact is with a majority of its group, so it is after the change: of the
//! majority each member that went out is replaced by one that came in, which has learnt from so
//! many that one of the majority is among them. That asks for groups of the same size, and that
//! those it learns from had learnt their own share. In a list where each member holds everything,
//! whatever its size, they compare all instead.

use crate::list;
use crate::list::List;
use crate::list::Member;
use crate::record::Key;

/// What a member has to learn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// All that it has to hold by the list.
    All,
    /// What it has to hold by the list, and hadn't by the one before.
    Gained,
}

/// Yields what the member `own` has to learn for a list, if it has learnt all up to version `ready`.
#[must_use]
pub fn scope(list: &List, own: &Member, ready: u64, losses: usize) -> Scope {
    let before = list.previous();
    let was_caught_up = ready + 1 == list.version && before.has_member(own);
    let same_group_size = before.group_size(losses) == list.group_size(losses);
    if was_caught_up && same_group_size && is_partial(list, losses) {
        Scope::Gained
    } else {
        Scope::All
    }
}

/// Tells whether a member takes a key over when it learns for a list: one that it has to hold by the
/// list, or by the one `before` it.
///
/// A member that is late may learn for a list without having learnt for the one before. From then on
/// others take it for one that had, and learn from it. Without that share, the copies that they
/// count on aren't there, and a majority calls an acknowledged turn absent.
#[must_use]
pub fn must_hold(list: &List, before: &List, own: &Member, key: Key, losses: usize) -> bool {
    let in_group = |list: &List| list.group(key, losses).contains(&own);
    in_group(list) || in_group(before)
}

/// Tells whether a member has learnt enough of a list's earlier members: `answered` have told what
/// they hold, `caught_up` of them had learnt their own share.
///
/// Those heard meet every majority, so that the others are too few to go on with the earlier list.
/// Where members hold everything, one that had learnt all is enough; where they hold a share, so
/// many are needed that they meet every majority that may have a fact.
#[must_use]
pub fn has_enough_sources(
    list: &List,
    answered: &[&Member],
    caught_up: &[&Member],
    losses: usize,
) -> bool {
    let before = list.previous();
    let blocking = list::blocking_size(before.group_size(losses));
    let needed = if is_partial(&before, losses) {
        blocking
    } else {
        1
    };
    before.members.is_empty()
        || (before.covers(answered, losses, blocking) && before.covers(caught_up, losses, needed))
}

/// Yields which members get which of the keys by a change of the list.
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

fn is_partial(list: &List, losses: usize) -> bool {
    list.members.len() > list.group_size(losses)
}

#[cfg(test)]
mod tests;
