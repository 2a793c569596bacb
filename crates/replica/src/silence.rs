//! Which members of the list don't answer, and since when.

use wire::clock::Millis;

use crate::list::List;

/// How long a member may be silent before it is taken off a list that has more members than it
/// needs. Until then its groups bear one loss less, so it is well below the time after which a
/// removed VM's successor counts (4.9 s and more); and longer than a restart or a short cut, as
/// each change of the list has all members compare what they hold.
const LAPSED: Millis = Millis::new(3_000);
/// The same for the other one of two members. Each write needs both, so that turns wait for it.
const LAPSED_OF_TWO: Millis = Millis::new(1_500);

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
        let (vm, since) = self.silent.first()?;
        let most = if list.members.len() == 2 {
            LAPSED_OF_TWO
        } else {
            LAPSED
        };
        (now.since(*since) >= most).then_some(vm)
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.silent.clear();
    }
}

#[cfg(test)]
mod tests;
