//! The list of members, and which members hold which keys.

use std::cmp::Reverse;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::event::Event;
use xxhash_rust::xxh3::xxh3_64;

use crate::record::Key;

/// A VM with a disk.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM's name.
    pub vm: String,
    /// The VM's data centre.
    pub centre: String,
    /// The address at which it serves other VMs.
    pub address: SocketAddr,
    /// Random number drawn when the disk was found empty. A VM whose disk was lost is therefore a
    /// different member.
    pub disk: u64,
}

/// The members, agreed on in the platform's key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct List {
    /// Increases by one with each change.
    pub version: u64,
    /// The members, sorted by VM name.
    pub members: Vec<Member>,
    /// The members of the previous version. The present members copy from them what was
    /// acknowledged. After a reset, all disks that are left.
    pub before: Vec<Member>,
    /// The last reset, if any. Not encoded without one: a process that doesn't know it reads all other lists.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reset: Option<Reset>,
}

/// A change of the list to the disks that were left after more of them were lost than the list bore.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reset {
    /// The version that it made.
    pub version: u64,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at: Millis,
    /// How many members could be lost at once.
    pub losses: usize,
    /// Numbers of the disks that were left, sorted.
    pub left: Vec<u64>,
    /// Numbers of those that knew all accounts of the list before, sorted.
    pub knowing: Vec<u64>,
    /// Which accounts are complete.
    pub accounts: Certainty,
}

impl Reset {
    /// Returns whether the disks that are left hold all entries of a program's account that were acknowledged
    /// under the list `before` the reset.
    #[must_use]
    pub fn is_complete(&self, before: &List, program: Key) -> bool {
        if before.version + 1 != self.version {
            return false;
        }
        if self.accounts == Certainty::All {
            return true;
        }
        let group = before.group(program, self.losses);
        let count = |numbers: &[u64]| {
            let is_among = |member: &&&Member| numbers.binary_search(&member.disk).is_ok();
            group.iter().filter(is_among).count()
        };
        let blocking = blocking_size(group.len());
        let is_partial = before.members.len() > group.len();
        let needed = if is_partial { blocking } else { 1 };
        count(&self.left) >= blocking && count(&self.knowing) >= needed
    }
}

/// Which accounts are certain to hold all entries that were acknowledged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Certainty {
    /// Each one.
    All,
    /// Those that [`Reset::is_complete`] names.
    Some,
}

impl List {
    /// Finds a VM's entry.
    #[must_use]
    pub fn find(&self, vm: &str) -> Option<&Member> {
        self.members.iter().find(|member| member.vm == vm)
    }

    /// Returns whether this disk of this VM is a member at this address.
    #[must_use]
    pub fn has_member(&self, member: &Member) -> bool {
        self.members.contains(member)
    }

    /// Returns the members of the previous version as a list.
    #[must_use]
    pub fn previous(&self) -> Self {
        Self {
            members: self.before.clone(),
            ..Self::default()
        }
    }

    /// Builds the next version with `member` added. It replaces an earlier disk of the same VM.
    #[must_use]
    pub fn with(&self, member: &Member) -> Self {
        let mut members = self.members_except(&member.vm);
        members.push(member.clone());
        members.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.next(members)
    }

    /// Builds the next version without a VM.
    #[must_use]
    pub fn without(&self, vm: &str) -> Self {
        self.next(self.members_except(vm))
    }

    fn members_except(&self, vm: &str) -> Vec<Member> {
        let others = self.members.iter().filter(|member| member.vm != vm);
        others.cloned().collect()
    }

    fn next(&self, members: Vec<Member>) -> Self {
        Self {
            version: self.version + 1,
            members,
            before: self.members.clone(),
            reset: self.reset.clone(),
        }
    }

    /// Builds the next version with these members, which copy from all disks that are left.
    #[must_use]
    pub fn reset(&self, members: Vec<Member>, left: Vec<Member>, reset: Reset) -> Self {
        Self {
            version: self.version + 1,
            members,
            before: left,
            reset: Some(reset),
        }
    }

    /// Returns whether a reset made this version.
    #[must_use]
    pub fn is_reset(&self) -> bool {
        let reset = self.reset.as_ref();
        reset.is_some_and(|reset| reset.version == self.version)
    }

    /// Returns the members that hold a key: enough of them that `losses` may be lost.
    ///
    /// They are spread over the data centres even if there are only a few more members than a group
    /// needs, when it would be simpler for all to hold everything. With four members that hold
    /// everything, two of them in one data centre, neither side of a partition around that data
    /// centre has three of four.
    #[must_use]
    pub fn group(&self, key: Key, losses: usize) -> Vec<&Member> {
        let size = self.group_size(losses);
        let mut ranked: Vec<(u64, &Member)> = self
            .members
            .iter()
            .map(|member| (rendezvous_weight(key, member), member))
            .collect();
        ranked.sort_by_key(|(weight, _)| Reverse(*weight));
        spread_over_centres(&ranked, size)
    }

    /// Returns how many members hold each key.
    #[must_use]
    pub fn group_size(&self, losses: usize) -> usize {
        (2 * losses + 1).min(self.members.len())
    }

    /// Returns whether `subset` contains at least `needed` members of the group of every key.
    ///
    /// Members that intersect every majority leave the others too few for one: those can neither
    /// store a turn nor be certain that one is absent.
    ///
    /// The bound is conservative, not exact: no group has more members of a data centre than its
    /// even share plus what the other data centres leave free.
    #[must_use]
    pub fn covers(&self, subset: &[&Member], losses: usize, needed: usize) -> bool {
        let size = self.group_size(losses);
        let mut centres: Vec<(&str, usize, usize)> = Vec::new();
        for member in &self.members {
            let missing = usize::from(!subset.contains(&member));
            match centres.iter_mut().find(|entry| entry.0 == member.centre) {
                Some(entry) => {
                    entry.1 += 1;
                    entry.2 += missing;
                }
                None => centres.push((&member.centre, 1, missing)),
            }
        }
        let max_in_centre = max_per_centre(&centres, size);
        let lost: usize = centres.iter().map(|entry| entry.2.min(max_in_centre)).sum();
        size.saturating_sub(lost) >= needed
    }
}

/// Returns the most members of one data centre in a group of this size: the round in which
/// [`spread_over_centres`] has taken enough. `centres` holds each data centre's name, how many
/// members it has and how many of them are missing.
fn max_per_centre(centres: &[(&str, usize, usize)], size: usize) -> usize {
    let taken = |rounds: usize| -> usize { centres.iter().map(|entry| entry.1.min(rounds)).sum() };
    (1..=size)
        .find(|rounds| taken(*rounds) >= size)
        .unwrap_or(size)
}

/// Takes the first member of each data centre before a second of any, so that a lost data centre
/// costs as few copies as possible.
fn spread_over_centres<'a>(ranked: &[(u64, &'a Member)], size: usize) -> Vec<&'a Member> {
    let mut taken: Vec<&Member> = Vec::with_capacity(size);
    let mut used = vec![false; ranked.len()];
    for rounds in 1..=size {
        for (at, (_, member)) in ranked.iter().enumerate() {
            if taken.len() == size {
                return taken;
            }
            let same = taken.iter().filter(|other| other.centre == member.centre);
            if !used[at] && same.count() < rounds {
                used[at] = true;
                taken.push(member);
            }
        }
    }
    taken
}

/// The longest VM name that is ranked without an allocation. A group is computed for each of about
/// ten thousand keys when the list changes.
const STACK_NAME_BYTES: usize = 112;

/// Ranks a member for a key by rendezvous hashing, so that a change of the list moves few keys.
fn rendezvous_weight(key: Key, member: &Member) -> u64 {
    let name = member.vm.as_bytes();
    let key = key.0.to_le_bytes();
    if name.len() > STACK_NAME_BYTES {
        return xxh3_64(&[name, key.as_slice()].concat());
    }
    let mut buffer = [0; STACK_NAME_BYTES + 16];
    let end = name.len() + key.len();
    buffer[..name.len()].copy_from_slice(name);
    buffer[name.len()..end].copy_from_slice(&key);
    xxh3_64(&buffer[..end])
}

/// Logs that a list has replaced the one of version `before`.
pub fn log_list_change(list: &List, before: u64) {
    log::info!(
        "event=E{} text=\"{}\" version={} before={before} members={}",
        Event::MembersChanged.number(),
        Event::MembersChanged.text(),
        list.version,
        list.members.len()
    );
}

/// Returns how many members of a group make a majority.
#[must_use]
pub const fn majority(group: usize) -> usize {
    group / 2 + 1
}

/// Returns how many members of a group it takes to intersect every majority of it.
#[must_use]
pub const fn blocking_size(group: usize) -> usize {
    group.div_ceil(2)
}

#[cfg(test)]
mod tests;
