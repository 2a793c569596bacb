//! Which members of the list don't answer, and since when.

use wire::clock::Millis;

use crate::list::List;
use crate::list::Member;

/// How long a member may be silent before it is taken off a list that has more members than it
/// needs. Until then its groups bear one loss less, so it is well below the time after which a
/// removed VM's successor counts; and longer than a restart or a short cut, as each change of the list
/// has all members compare what they hold.
const EVICT_AFTER: Millis = Millis::new(3_000);
/// The same for the other one of two members. Each write needs both, so that turns wait for it.
const EVICT_AFTER_OF_TWO: Millis = Millis::new(1_500);

/// The same where all members of a data centre are silent, of which it has several: it is cut off
/// or has lost its power, which the groups bear, and its members will be back together. Taken off
/// and back on one by one, they would have all members learn for seconds. Longer than a cut; one
/// that is gone for good is taken off then.
const EVICT_AFTER_WHOLE_CENTRE: Millis = Millis::new(30_000);

/// The members that don't answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct UnresponsiveMembers {
    /// In the order in which they fell silent.
    members: Vec<(String, Millis)>,
}

impl UnresponsiveMembers {
    /// Notes which members of the list have just answered.
    ///
    /// One that isn't in the list any more is forgotten. Remembered, it would be taken off again
    /// and again: each time the list's version grows, and all members learn anew.
    pub fn record_answers(&mut self, list: &List, answered: &[&str], now: Millis) {
        self.members.retain(|(vm, _)| {
            let listed = list.find(vm).is_some();
            listed && !answered.contains(&vm.as_str())
        });
        for member in &list.members {
            let vm = member.vm.as_str();
            let is_known = self.members.iter().any(|(known, _)| known == vm);
            if !is_known && !answered.contains(&vm) {
                self.members.push((vm.to_owned(), now));
            }
        }
    }

    /// Yields the member that has been silent longest, if that is too long.
    #[must_use]
    pub fn to_evict(&self, list: &List, now: Millis) -> Option<&str> {
        let is_overdue =
            |(vm, since): &&(String, Millis)| now.since(*since) >= self.timeout(list, vm);
        let (vm, _) = self.members.iter().find(is_overdue)?;
        Some(vm)
    }

    /// Yields how long a member may be silent.
    fn timeout(&self, list: &List, vm: &str) -> Millis {
        if list.members.len() == 2 {
            return EVICT_AFTER_OF_TWO;
        }
        let centre = list.find(vm).map(|member| member.centre.as_str());
        let in_centre = list.members.iter();
        let mut in_centre = in_centre.filter(|member| Some(member.centre.as_str()) == centre);
        let several = in_centre.clone().count() > 1;
        let is_unresponsive = |member: &Member| self.members.iter().any(|(vm, _)| *vm == member.vm);
        if several && in_centre.all(is_unresponsive) {
            return EVICT_AFTER_WHOLE_CENTRE;
        }
        EVICT_AFTER
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.members.clear();
    }
}

#[cfg(test)]
mod tests;
