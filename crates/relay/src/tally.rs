//! Figures that VMs exchange about each runner: how many requests they have in flight at it, and
//! how many VMs hold it off because requests to it broke.

use std::ops::Add;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::reports;

/// How long another VM's figures are valid without an update.
const REPORT_MAX_AGE: Millis = Millis::new(600);

/// Figures about one runner, from one VM or summed over several VMs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tally {
    /// Id of the runner.
    pub runner: String,
    /// Requests in flight at the runner.
    pub under_way: u32,
    /// Number of VMs that hold the runner off.
    pub held_off: u32,
}

/// The VMs whose figures a message contains.
///
/// In a large deployment hubs forward sums, and for a moment several VMs may consider themselves
/// the hub of a data centre. If sums were added up regardless of their origin, a VM's own requests
/// would come back to it as those of others and be forwarded again: the figures would double with
/// each exchange, and all runners would look full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// A single VM.
    Vm(String),
    /// All VMs of a data centre.
    Centre(String),
    /// All VMs but the recipient. Such figures are never forwarded.
    Others,
}

/// The recipient of a hub's message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient<'a> {
    /// A VM of the hub's data centre, by name. It gets the figures of all other VMs.
    SameCentre(&'a str),
    /// Another hub. It gets the sum of the sender's data centre.
    OtherHub,
}

/// Returns whether a hub in `centre` includes the figures of `origin` in a message to `recipient`.
/// `in_own_centre` returns whether a VM belongs to the hub's data centre.
#[must_use]
pub fn is_forwarded(
    origin: &Origin,
    recipient: Recipient<'_>,
    centre: &str,
    in_own_centre: impl Fn(&str) -> bool,
) -> bool {
    match (origin, recipient) {
        (Origin::Vm(vm), Recipient::SameCentre(to)) => vm != to && in_own_centre(vm),
        (Origin::Vm(vm), Recipient::OtherHub) => in_own_centre(vm),
        (Origin::Centre(of), Recipient::SameCentre(_)) => of != centre,
        (Origin::Centre(_), Recipient::OtherHub) | (Origin::Others, _) => false,
    }
}

/// The latest reports of other VMs about one runner.
#[derive(Clone, Debug)]
pub struct Reports(reports::Reports<Figures>);

/// The figures of a [`Tally`].
#[derive(Clone, Copy, Debug, Default)]
struct Figures {
    under_way: u32,
    held_off: u32,
}

impl Add for Figures {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            under_way: self.under_way.saturating_add(other.under_way),
            held_off: self.held_off.saturating_add(other.held_off),
        }
    }
}

impl Figures {
    const fn as_pair(self) -> (u32, u32) {
        (self.under_way, self.held_off)
    }

    fn higher(self, other: Self) -> Self {
        Self {
            under_way: self.under_way.max(other.under_way),
            held_off: self.held_off.max(other.held_off),
        }
    }
}

impl Default for Reports {
    fn default() -> Self {
        Self(reports::Reports::new(REPORT_MAX_AGE))
    }
}

impl Reports {
    /// Replaces the report of an origin; `None` removes it, as the origin has nothing to report.
    pub fn note(&mut self, origin: &Origin, tally: Option<&Tally>, now: Millis) {
        let figures = tally.map(|tally| Figures {
            under_way: tally.under_way,
            held_off: tally.held_off,
        });
        self.0.note(origin, figures, now);
    }

    /// Sums up the recent reports of the origins that `counts` selects. Returns the requests in
    /// flight and the number of VMs that hold the runner off.
    #[must_use]
    pub fn sum(&self, now: Millis, counts: impl Fn(&Origin) -> bool) -> (u32, u32) {
        self.0.sum(now, counts).as_pair()
    }

    /// Returns the totals of all other VMs: those that a hub sent, or the sum of individual
    /// reports, whichever is higher.
    #[must_use]
    pub fn all(&self, now: Millis) -> (u32, u32) {
        self.0.all(now, Figures::higher).as_pair()
    }
}

#[cfg(test)]
mod tests;
