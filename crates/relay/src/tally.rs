//! Figures that VMs exchange about each runner: how many requests they have in flight at it, and
//! how many VMs hold it off because requests to it broke.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

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
#[derive(Clone, Debug, Default)]
pub struct Reports(Vec<Report>);

#[derive(Clone, Debug)]
struct Report {
    origin: Origin,
    under_way: u32,
    held_off: u32,
    at: Millis,
}

impl Reports {
    /// Replaces the report of an origin; `None` removes it, as the origin has nothing to report.
    ///
    /// Empty reports aren't stored: otherwise a hub would have a report for each runner and VM, and
    /// go through all of them for each message.
    pub fn note(&mut self, origin: &Origin, tally: Option<&Tally>, now: Millis) {
        let known = self.0.iter().position(|report| report.origin == *origin);
        let report = tally.map(|tally| Report {
            origin: origin.clone(),
            under_way: tally.under_way,
            held_off: tally.held_off,
            at: now,
        });
        match (known, report) {
            (Some(index), Some(report)) => self.0[index] = report,
            (Some(index), None) => {
                self.0.swap_remove(index);
            }
            (None, Some(report)) => self.0.push(report),
            (None, None) => {}
        }
    }

    /// Sums up the recent reports of the origins that `counts` selects. Returns the requests in
    /// flight and the number of VMs that hold the runner off.
    #[must_use]
    pub fn sum(&self, now: Millis, counts: impl Fn(&Origin) -> bool) -> (u32, u32) {
        let fresh = self
            .0
            .iter()
            .filter(|report| now.since(report.at) < REPORT_MAX_AGE);
        let counted = fresh.filter(|report| counts(&report.origin));
        counted.fold((0, 0), |(under_way, held_off), report| {
            (under_way + report.under_way, held_off + report.held_off)
        })
    }

    /// Returns the totals of all other VMs: those that a hub sent, or the sum of individual
    /// reports, whichever is higher.
    #[must_use]
    pub fn all(&self, now: Millis) -> (u32, u32) {
        let from_hub = self.sum(now, |origin| *origin == Origin::Others);
        let one_by_one = self.sum(now, |origin| *origin != Origin::Others);
        (from_hub.0.max(one_by_one.0), from_hub.1.max(one_by_one.1))
    }
}

#[cfg(test)]
mod tests;
