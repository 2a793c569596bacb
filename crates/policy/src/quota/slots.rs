//! Counts events by the slots of a window.
//!
//! A sum of a window falls as events leave it, so two VMs' sums of the same events can't be compared.
//! The count of a slot only grows: of two counts of the same events the higher one is right.

use wire::clock::Millis;

/// Number of slots that are kept. What falls out of the window does so in these steps.
pub const SLOTS: usize = 25;

/// Returns the length of a slot: all slots but the newest, which has only begun, span the window.
#[must_use]
pub fn span(window: Millis) -> Millis {
    let span = window.as_u64().div_ceil(SLOTS as u64 - 1).max(1);
    Millis::new(span)
}

/// Returns the number of the slot to which a time belongs.
#[must_use]
pub const fn number(at: Millis, span: Millis) -> u64 {
    at.as_u64() / span.as_u64()
}

/// Counts of the latest slots, by the slots' numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Slots {
    newest: u64,
    counts: [u32; SLOTS],
}

impl Slots {
    /// Creates counts without events, up to a slot.
    #[must_use]
    pub const fn new(newest: u64) -> Self {
        Self {
            newest,
            counts: [0; SLOTS],
        }
    }

    /// Returns the number of the newest slot.
    #[must_use]
    pub const fn newest(&self) -> u64 {
        self.newest
    }

    /// Forgets the slots that are no longer kept once `newest` has begun.
    pub fn advance(&mut self, newest: u64) {
        let passed = newest.saturating_sub(self.newest).min(SLOTS as u64);
        for step in 0..passed {
            self.counts[index(newest - step)] = 0;
        }
        self.newest = self.newest.max(newest);
    }

    /// Adds `by` to the numbers of all slots.
    pub fn renumber(&mut self, by: u64) {
        self.newest += by;
        self.counts.rotate_right(index(by));
    }

    const fn keeps(&self, number: u64) -> bool {
        number <= self.newest && self.newest - number < SLOTS as u64
    }

    /// Adds events to a slot; does nothing if it isn't kept.
    pub fn add(&mut self, number: u64, count: u32) {
        if self.keeps(number) {
            self.counts[index(number)] += count;
        }
    }

    /// Raises the count of a slot and returns by how much.
    pub fn raise(&mut self, number: u64, count: u32) -> u32 {
        if !self.keeps(number) {
            return 0;
        }
        let kept = &mut self.counts[index(number)];
        let added = count.saturating_sub(*kept);
        *kept += added;
        added
    }

    /// Returns the count of a slot; 0 if it isn't kept.
    #[must_use]
    pub fn count(&self, number: u64) -> u32 {
        if self.keeps(number) {
            self.counts[index(number)]
        } else {
            0
        }
    }

    /// Returns the numbers of the slots that are kept.
    pub fn numbers(&self) -> impl Iterator<Item = u64> + use<> {
        let oldest = (self.newest + 1).saturating_sub(SLOTS as u64);
        oldest..=self.newest
    }

    /// Returns the sum of all slots.
    #[must_use]
    pub fn sum(&self) -> u32 {
        self.counts.iter().sum()
    }

    /// Returns whether there is no event.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.counts.iter().all(|count| *count == 0)
    }
}

fn index(number: u64) -> usize {
    // The remainder is below SLOTS.
    usize::try_from(number % SLOTS as u64).unwrap_or(0)
}

#[cfg(test)]
mod tests;
