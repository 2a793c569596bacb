//! The latest figures that other VMs reported, by the VMs whose figures they are.

use std::ops::Add;

use wire::clock::Millis;

use crate::tally::Origin;

/// The latest report of each origin.
#[derive(Clone, Debug)]
pub struct Reports<T> {
    max_age: Millis,
    pub(crate) stored: Vec<Report<T>>,
}

#[derive(Clone, Debug)]
pub(crate) struct Report<T> {
    origin: Origin,
    figures: T,
    at: Millis,
}

impl<T: Copy + Default + Add<Output = T>> Reports<T> {
    /// Creates an empty set of reports, each of which is valid for `max_age`.
    #[must_use]
    pub const fn new(max_age: Millis) -> Self {
        Self {
            max_age,
            stored: Vec::new(),
        }
    }

    /// Replaces the report of an origin; `None` removes it, as the origin has nothing to report.
    ///
    /// Empty and outdated reports aren't stored: otherwise a hub would have a report for each
    /// subject and VM, and go through all of them for each message.
    pub fn note(&mut self, origin: &Origin, figures: Option<T>, now: Millis) {
        let max_age = self.max_age;
        self.stored
            .retain(|report| report.origin != *origin && now.since(report.at) < max_age);
        if let Some(figures) = figures {
            self.stored.push(Report {
                origin: origin.clone(),
                figures,
                at: now,
            });
        }
    }

    /// Sums up the valid reports of the origins that `counts` selects.
    #[must_use]
    pub fn sum(&self, now: Millis, counts: impl Fn(&Origin) -> bool) -> T {
        let valid = self.stored.iter();
        let valid = valid.filter(|report| now.since(report.at) < self.max_age);
        let counted = valid.filter(|report| counts(&report.origin));
        counted.fold(T::default(), |sum, report| sum + report.figures)
    }

    /// Returns the total of all other VMs: the one that a hub sent, or the sum of individual
    /// reports, whichever is higher by `higher`.
    #[must_use]
    pub fn all(&self, now: Millis, higher: impl Fn(T, T) -> T) -> T {
        let from_hub = self.sum(now, |origin| *origin == Origin::Others);
        let one_by_one = self.sum(now, |origin| *origin != Origin::Others);
        higher(from_hub, one_by_one)
    }
}
