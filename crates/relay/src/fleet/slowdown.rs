//! What VMs tell each other of how fast the runners' machines are, with each exchange.
//!
//! A VM reads a runner's figure with its own answers only, and a slowdown is over within few of them. So
//! VMs tell each other the readings that aren't as usual, and those that are again. Of two readings of a
//! runner the newer one counts, whoever made it. A reading that gets lost is followed by others; nothing
//! is confirmed or repeated for its sake.
//!
//! VMs pass on what they hear by the rules for all figures ([`crate::tally::is_forwarded`]), so that no
//! reading comes back to a VM that passed it on. Where no runner tells how fast it is, nothing is sent.

use adapter::runner::Load;
use policy::slowdown::MAX_AGE;
use policy::slowdown::Reading;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::told;
use crate::fleet::told::short_hash;
use crate::tally::Origin;

/// The most readings that a message holds, the newest: about a kilobyte.
const MAX_TOLD: usize = 128;

/// A reading as VMs tell it. Encoded by position, so the order of fields must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// Hash of the runner's id.
    pub runner: u32,
    /// How long work takes, in per cent of the usual time.
    pub percent: u32,
    /// How long ago it was read, in milliseconds.
    pub age: u64,
}

/// What is known of the machine of a runner.
#[derive(Clone, Debug, Default)]
pub(super) struct Known {
    /// The newest reading.
    pub(super) reading: Option<Reading>,
    /// The VMs that told it; `None` if this VM read it.
    told_by: Option<Origin>,
    /// When a reading that wasn't as usual was last made.
    slowed_at: Option<Millis>,
}

/// Returns what a load that has just come says of the runner's machine.
#[must_use]
pub fn reading(load: Load, now: Millis) -> Option<Reading> {
    let percent = load.slowdown_percent?;
    Some(Reading { percent, at: now })
}

impl Known {
    /// Records a reading of this VM.
    pub(super) fn note_own(&mut self, reading: Reading) {
        self.set(reading, None);
    }

    /// Records a reading that another VM told. Returns whether it is newer than what was known.
    fn note_told(&mut self, reading: Reading, by: &Origin) -> bool {
        let is_newer = self.reading.is_none_or(|known| reading.at > known.at);
        if is_newer {
            self.set(reading, Some(by.clone()));
        }
        is_newer
    }

    fn set(&mut self, reading: Reading, told_by: Option<Origin>) {
        if !reading.is_usual() {
            self.slowed_at = Some(reading.at);
        }
        self.reading = Some(reading);
        self.told_by = told_by;
    }

    /// Returns the reading if others need to hear it from a VM that speaks for the VMs that
    /// `speaks_for` selects.
    fn news(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Option<Reading> {
        let reading = self.reading.filter(|reading| reading.is_valid(now))?;
        let was_slowed = self.slowed_at.is_some_and(|at| now.since(at) < MAX_AGE);
        let is_news = match &self.told_by {
            Some(by) => speaks_for(by),
            None => was_slowed,
        };
        is_news.then_some(reading)
    }
}

impl Fleet {
    /// Returns the readings that others need to hear: those of this VM and those that the origins told
    /// which `speaks_for` selects. Sorted by runner.
    #[must_use]
    pub fn slowdowns(&self, now: Millis, speaks_for: impl Fn(&Origin) -> bool) -> Vec<Told> {
        let readings = self.runners.iter().filter_map(|runner| {
            let reading = runner.slowdown.news(now, &speaks_for)?;
            Some(Told {
                runner: short_hash(runner.id_hash),
                percent: reading.percent,
                age: now.since(reading.at).as_u64(),
            })
        });
        told::newest(readings, MAX_TOLD, |told| told.age, |told| told.runner)
    }

    /// Records readings that another VM told. Returns how many were newer than what was known.
    pub fn note_slowdowns(&mut self, origin: &Origin, told: &[Told], now: Millis) -> u64 {
        let mut taken = 0;
        for (runner, told) in self.reported(told, |told| told.runner) {
            let reading = Reading {
                percent: told.percent,
                at: told::made_at(told.age, now),
            };
            if reading.is_valid(now) && runner.slowdown.note_told(reading, origin) {
                runner.shares_machine = true;
                taken += 1;
            }
        }
        taken
    }
}
