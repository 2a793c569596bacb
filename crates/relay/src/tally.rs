//! What VMs tell each other of a runner: how many requests they have under way at it, and how many
//! of them hold it off because requests to it broke.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

/// How long another VM's figures hold without newer ones.
const HEARD: Millis = Millis::new(600);

/// Figures of one runner, of one VM or of several that one speaks for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// The runner.
    pub runner: String,
    /// Requests under way at it.
    pub under_way: u32,
    /// How many VMs hold it off.
    pub held_off: u32,
}

/// What other VMs told of one runner.
#[derive(Clone, Debug, Default)]
pub struct Told(Vec<Line>);

#[derive(Clone, Debug)]
struct Line {
    vm: String,
    under_way: u32,
    held_off: u32,
    at: Millis,
}

impl Told {
    /// Takes in what a VM tells; `None` where it has nothing there.
    pub fn note(&mut self, vm: &str, tally: Option<&Tally>, now: Millis) {
        let line = Line {
            vm: vm.to_owned(),
            under_way: tally.map_or(0, |tally| tally.under_way),
            held_off: tally.map_or(0, |tally| tally.held_off),
            at: now,
        };
        match self.0.iter_mut().find(|known| known.vm == vm) {
            Some(known) => *known = line,
            None => self.0.push(line),
        }
    }

    /// Adds up what was told lately by the VMs that `counts` names: requests under way, and VMs
    /// that hold the runner off.
    #[must_use]
    pub fn sum(&self, now: Millis, counts: impl Fn(&str) -> bool) -> (u32, u32) {
        let fresh = self.0.iter().filter(|line| now.since(line.at) < HEARD);
        let counted = fresh.filter(|line| counts(&line.vm));
        counted.fold((0, 0), |(under_way, held_off), line| {
            (under_way + line.under_way, held_off + line.held_off)
        })
    }
}
