//! Decides, from what is known of the members' disks, what may become of the list of members.
//!
//! A disk that is lost takes its copies with it, so the list changes only while enough of its disks are there to
//! copy from, and it never gives up members that a loss and a write need. If more disks are lost than it bears,
//! no regular change is possible any more, and nobody would be a complete replica again. The list is then reset
//! to the disks that are left.

use wire::clock::Millis;

use crate::catch_up;
use crate::list::Certainty;
use crate::list::List;
use crate::list::Member;
use crate::list::Reset;
use crate::message::Status;

/// What is known of a VM with a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sight {
    /// It answers, with the disk that it has now.
    Answers(Status),
    /// It doesn't answer.
    Silent,
    /// It hasn't answered for so long that nobody waits for it.
    GivenUp,
}

/// What is known of the VMs of a list.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    /// Each VM with its entry in the list, or in the one before.
    sights: Vec<(Member, Sight)>,
}

/// What is known of a disk.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Present(Status),
    Unknown,
    Lost,
}

/// Whether a list can change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outlook {
    /// The disks that answer hold all that was acknowledged.
    Usable,
    /// They will once more of them answer or have caught up.
    Waiting,
    /// The disks that are left will never do so.
    Lost,
}

impl View {
    /// Records what is known of a VM.
    pub fn note(&mut self, member: Member, sight: Sight) {
        self.sights.push((member, sight));
    }

    /// Returns whether it is known of a VM whether it answers.
    #[must_use]
    pub fn has(&self, vm: &str) -> bool {
        self.sights.iter().any(|(known, _)| known.vm == vm)
    }

    /// Returns those of these members whose VMs answer, with whichever disk.
    #[must_use]
    pub fn responsive<'a>(&self, members: &'a [Member]) -> Vec<&'a Member> {
        let answers = |(known, sight): &(Member, Sight), vm: &str| {
            known.vm == vm && matches!(sight, Sight::Answers(_))
        };
        let is_responsive = |member: &&Member| {
            let mut sights = self.sights.iter();
            sights.any(|sight| answers(sight, &member.vm))
        };
        members.iter().filter(is_responsive).collect()
    }

    fn fate(&self, member: &Member) -> Fate {
        let sight = self.sights.iter().find(|(known, _)| known.vm == member.vm);
        match sight {
            Some((_, Sight::Answers(status))) if status.disk == member.disk => {
                Fate::Present(*status)
            }
            Some((_, Sight::Answers(_) | Sight::GivenUp)) => Fate::Lost,
            Some((_, Sight::Silent)) | None => Fate::Unknown,
        }
    }

    /// Returns those of these members whose disks answer.
    #[must_use]
    pub fn present<'a>(&self, members: &'a [Member]) -> Vec<&'a Member> {
        let is_present = |member: &&Member| matches!(self.fate(member), Fate::Present(_));
        members.iter().filter(is_present).collect()
    }

    /// Returns those of these members whose disks answer and have caught up with a version of the list.
    #[must_use]
    pub fn caught_up<'a>(&self, members: &'a [Member], version: u64) -> Vec<&'a Member> {
        let has_caught_up = |member: &&Member| matches!(self.fate(member), Fate::Present(status) if status.ready >= version);
        members.iter().filter(has_caught_up).collect()
    }

    /// Returns those of these members whose disks aren't lost.
    fn left<'a>(&self, members: &'a [Member]) -> Vec<&'a Member> {
        let is_left = |member: &&Member| self.fate(member) != Fate::Lost;
        members.iter().filter(is_left).collect()
    }

    /// Returns the disks that answer, each once.
    fn disks(&self) -> Vec<Member> {
        let disk = |(member, sight): &(Member, Sight)| match sight {
            Sight::Answers(status) => Some(Member {
                disk: status.disk,
                ..member.clone()
            }),
            Sight::Silent | Sight::GivenUp => None,
        };
        self.sights.iter().filter_map(disk).collect()
    }
}

/// Returns whether a list can change.
#[must_use]
pub fn outlook(list: &List, view: &View, losses: usize) -> Outlook {
    let present = view.present(&list.members);
    let caught_up = view.caught_up(&list.members, list.version);
    if list.members.is_empty() || catch_up::can_be_copied_from(list, &present, &caught_up, losses) {
        return Outlook::Usable;
    }
    let left = view.left(&list.members);
    let can_catch_up = can_catch_up(list, view, losses);
    let hopeful: Vec<&Member> = left
        .iter()
        .copied()
        .filter(|member| match view.fate(member) {
            Fate::Present(status) => can_catch_up || status.ready >= list.version,
            Fate::Unknown => true,
            Fate::Lost => false,
        })
        .collect();
    if catch_up::can_be_copied_from(list, &left, &hopeful, losses) {
        Outlook::Waiting
    } else {
        Outlook::Lost
    }
}

/// Returns whether a member that is behind can still copy what it needs.
fn can_catch_up(list: &List, view: &View, losses: usize) -> bool {
    let left = view.left(&list.before);
    let may_be_complete = |member: &&Member| match view.fate(member) {
        Fate::Present(status) => status.ready + 1 >= list.version,
        Fate::Unknown => true,
        Fate::Lost => false,
    };
    let complete: Vec<&Member> = left.iter().copied().filter(may_be_complete).collect();
    catch_up::has_enough_sources(list, &left, &complete, losses)
}

/// Returns whether each disk of the list, and of the one before, is known to be lost or answers.
#[must_use]
pub fn is_settled(list: &List, view: &View) -> bool {
    let mut members = list.members.iter().chain(&list.before);
    members.all(|member| view.fate(member) != Fate::Unknown)
}

/// Builds the list of the disks that are left: those that answer at the VMs of the list, and `own`. All disks that
/// answer are copied from. `knowing` are the numbers of those that know all accounts of the list.
#[must_use]
pub fn reset(
    list: &List,
    view: &View,
    own: &Member,
    knowing: &[u64],
    now: Millis,
    losses: usize,
) -> List {
    let mut left = view.disks();
    if !left.contains(own) {
        left.push(own.clone());
    }
    left.sort_by(|a, b| a.vm.cmp(&b.vm));
    let mut members = left.clone();
    members.retain(|member| member == own || list.find(&member.vm).is_some());
    let knows = |member: &&Member| knowing.contains(&member.disk);
    let present: Vec<&Member> = list
        .members
        .iter()
        .filter(|member| left.contains(member))
        .collect();
    let knowing_members: Vec<&Member> = present.iter().copied().filter(knows).collect();
    // What an earlier reset may have lost is as uncertain as before.
    let was_certain = list
        .reset
        .as_ref()
        .is_none_or(|reset| reset.accounts == Certainty::All);
    let all_known = catch_up::can_be_copied_from(list, &present, &knowing_members, losses);
    let accounts = if was_certain && all_known {
        Certainty::All
    } else {
        Certainty::Some
    };
    let numbers = |members: &[&Member]| {
        let mut numbers: Vec<u64> = members.iter().map(|member| member.disk).collect();
        numbers.sort_unstable();
        numbers
    };
    let reset = Reset {
        version: list.version + 1,
        at: now,
        losses,
        left: numbers(&present),
        knowing: numbers(&knowing_members),
        accounts,
    };
    list.reset(members, left, reset)
}

/// Returns whether a member may leave the list: as many others are complete as a loss and a write need.
#[must_use]
pub fn may_leave(list: &List, caught_up: &[&Member], vm: &str, losses: usize) -> bool {
    let others = caught_up.iter().filter(|member| member.vm != vm);
    list.find(vm).is_some() && others.count() > 2 * losses
}

#[cfg(test)]
mod tests;
