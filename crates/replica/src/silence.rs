//! Which members of the list don't answer, and since when.

use wire::clock::Millis;

use crate::list::List;
use crate::list::Member;

/// How long a member may be silent before it is taken off a list that has more members than it
/// needs. Until then its groups bear one loss less, so it is well below the time after which a
/// removed VM's successor counts; and longer than a restart or a short cut, as each change of the list
/// has all members compare what they hold.
const LAPSED: Millis = Millis::new(3_000);
/// The same for the other one of two members. Each write needs both, so that turns wait for it.
const LAPSED_OF_TWO: Millis = Millis::new(1_500);

/// The same where all members of a data centre are silent, of which it has several: it is cut off
/// or has lost its power, which the groups bear, and its members will be back together. Taken off
/// and back on one by one, they would have all members learn for seconds. Longer than a cut; one
/// that is gone for good is taken off then.
const LAPSED_CENTRE: Millis = Millis::new(30_000);

/// The members that don't answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Silence {
    /// In the order in which they fell silent.
    silent: Vec<(String, Millis)>,
}

impl Silence {
    /// Notes which members of the list have just answered.
    ///
    /// One that isn't in the list any more is forgotten. Remembered, it would be taken off again
    /// and again: each time the list's version grows, and all members learn anew.
    pub fn note(&mut self, list: &List, answered: &[&str], now: Millis) {
        self.silent.retain(|(vm, _)| {
            let listed = list.find(vm).is_some();
            listed && !answered.contains(&vm.as_str())
        });
        for member in &list.members {
            let vm = member.vm.as_str();
            let known = self.silent.iter().any(|(silent, _)| silent == vm);
            if !known && !answered.contains(&vm) {
                self.silent.push((vm.to_owned(), now));
            }
        }
    }

    /// Yields the member that has been silent longest, if that is too long.
    #[must_use]
    pub fn lapsed(&self, list: &List, now: Millis) -> Option<&str> {
        let lapsed = |(vm, since): &&(String, Millis)| now.since(*since) >= self.most(list, vm);
        let (vm, _) = self.silent.iter().find(lapsed)?;
        Some(vm)
    }

    /// Yields how long a member may be silent.
    fn most(&self, list: &List, vm: &str) -> Millis {
        if list.members.len() == 2 {
            return LAPSED_OF_TWO;
        }
        let centre = list.find(vm).map(|member| member.centre.as_str());
        let around = list.members.iter();
        let mut around = around.filter(|member| Some(member.centre.as_str()) == centre);
        let several = around.clone().count() > 1;
        let is_silent = |member: &Member| self.silent.iter().any(|(vm, _)| *vm == member.vm);
        if several && around.all(is_silent) {
            return LAPSED_CENTRE;
        }
        LAPSED
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.silent.clear();
    }
}

#[cfg(test)]
mod tests;
