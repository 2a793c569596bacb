//! Tracks which members of the list don't answer, and since when.

use wire::clock::Millis;

use crate::list::List;
use crate::list::Member;

/// How long a member may be unresponsive before it is removed from a list that has more members
/// than it needs. Until then its groups tolerate one loss less, so this is well below the time
/// after which the replacement of a removed VM counts. It is longer than a restart or a short
/// network cut, because each change of the list makes all members compare what they hold.
const EVICT_AFTER: Millis = Millis::new(3_000);
/// The same where a data centre has several members and all of them are unresponsive. It is cut off
/// or has lost its power, which the groups tolerate, and its members will come back together.
/// Removing and re-adding them one by one would keep all members busy catching up for seconds. This
/// is longer than a network cut; a data centre that is gone for good is removed after it.
const EVICT_AFTER_WHOLE_CENTRE: Millis = Millis::new(30_000);

/// The members that don't answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Members {
    /// VMs in the order in which they stopped answering, with the times at which they did.
    members: Vec<(String, Millis)>,
}

impl Members {
    /// Records which members of the list have just answered.
    ///
    /// Members that are no longer in the list are forgotten. Otherwise they would be removed again
    /// and again, each time with a new version of the list that all members have to catch up with.
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

    /// Returns the member that has been unresponsive longest among those that exceed their limit.
    #[must_use]
    pub fn to_evict(&self, list: &List, now: Millis) -> Option<&str> {
        let is_overdue =
            |(vm, since): &&(String, Millis)| now.since(*since) >= self.timeout(list, vm);
        let (vm, _) = self.members.iter().find(is_overdue)?;
        Some(vm)
    }

    /// Returns how long a member may be unresponsive.
    fn timeout(&self, list: &List, vm: &str) -> Millis {
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
}

#[cfg(test)]
mod tests;
