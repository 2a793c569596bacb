//! What VMs tell each other of a runner: how many requests they have under way at it, and how many
//! of them hold it off because requests to it broke.

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

/// How long another VM's figures hold without newer ones.
const REPORT_MAX_AGE: Millis = Millis::new(600);

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

/// Whose figures these are.
///
/// In a large deployment sums are passed on, and for a moment several VMs may take themselves for
/// the hub of a data centre. Were a sum added to another one without knowing whose it is, a VM's
/// own requests would come back to it as others' and be told again: figures that double with each
/// exchange, and all runners that look full.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Origin {
    /// One VM's own.
    Vm(String),
    /// All VMs' of a data centre.
    Centre(String),
    /// All VMs' but the one that is told. Never told on.
    Others,
}

/// Whom a hub tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Recipient<'a> {
    /// A VM of its own data centre, by name: all that it knows of the others.
    SameCentre(&'a str),
    /// Another hub: the sum of its data centre.
    OtherHub,
}

/// Tells whether a hub in `centre` adds an origin's figures to its own for this recipient; `in_own_centre`
/// tells whether a VM belongs to its data centre.
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

/// What other VMs told of one runner.
#[derive(Clone, Debug, Default)]
pub struct PeerReports(Vec<Report>);

#[derive(Clone, Debug)]
struct Report {
    origin: Origin,
    under_way: u32,
    held_off: u32,
    at: Millis,
}

impl PeerReports {
    /// Takes in what is told; `None` where there is nothing at this runner.
    ///
    /// What is nothing isn't kept: a hub would have a report for each runner and VM, and go through all
    /// of them for each message.
    pub fn note(&mut self, origin: &Origin, tally: Option<&Tally>, now: Millis) {
        let known = self.0.iter().position(|report| report.origin == *origin);
        let report = tally.map(|tally| Report {
            origin: origin.clone(),
            under_way: tally.under_way,
            held_off: tally.held_off,
            at: now,
        });
        match (known, report) {
            (Some(at), Some(report)) => self.0[at] = report,
            (Some(at), None) => {
                self.0.swap_remove(at);
            }
            (None, Some(report)) => self.0.push(report),
            (None, None) => {}
        }
    }

    /// Adds up what was told lately by the origins that `counts` names: requests under way, and VMs
    /// that hold the runner off.
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

    /// Yields what all others have: the sum that a hub told, or what was heard one by one.
    #[must_use]
    pub fn all(&self, now: Millis) -> (u32, u32) {
        let told = self.sum(now, |origin| *origin == Origin::Others);
        let heard = self.sum(now, |origin| *origin != Origin::Others);
        (told.0.max(heard.0), told.1.max(heard.1))
    }
}

#[cfg(test)]
mod tests;
