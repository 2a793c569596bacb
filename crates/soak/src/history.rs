//! What was done to the system, and which promises hold beside it.

use fakes::settings;
use serde::Serialize;
use wire::clock::Millis;

/// How long after a disruption promises about planned work rest.
const RECOVERY: Millis = Millis::new(3_000);
/// Between SIGTERM and SIGKILL.
pub const GRACE: Millis = Millis::new(settings::GRACE_S * 1_000);
/// How long after the grace the promise about a stop holds.
const AFTER_GRACE: Millis = Millis::new(1_000);
/// Until so long after SIGTERM a runner may still be at work on what was sent [`SENT_WITHIN`] after it.
const STILL_RUNNING_AFTER: Millis = Millis::new(settings::GRACE_S * 1_000 * 5 / 6);
/// See [`STILL_RUNNING_AFTER`].
const SENT_WITHIN: Millis = Millis::new(3_000);
/// Until so long after SIGHUP requests count as sent beside it.
const APPLY_TIME: Millis = Millis::new(settings::APPLY_MS);

/// How long a VM with a disk that is back still counts as lost: until then it may have to learn.
const CATCH_UP: Millis = Millis::new(4_900);

/// A disruption that wasn't planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Disruption {
    from: Millis,
    /// `None` while it lasts.
    to: Option<Millis>,
}

/// Names a disruption that was noted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisruptionId(usize);

/// What was done to the system.
#[derive(Clone, Debug, Default)]
pub struct History {
    disruptions: Vec<Disruption>,
    /// VMs that got SIGTERM, and when.
    stops: Vec<(usize, Millis)>,
    /// VMs that got SIGHUP, and when.
    reloads: Vec<(usize, Millis)>,
    /// VMs with a disk that are lost, since when, and until when.
    lost_disks: Vec<(usize, Millis, Option<Millis>)>,
    /// Runners that leave: since when, and until when they are gone or back.
    leaving: Vec<(String, Millis, Option<Millis>)>,
    /// Since when nothing is done any more.
    quiet: Option<Millis>,
}

impl History {
    /// Notes that a disruption begins.
    pub fn begin_disruption(&mut self, from: Millis) -> DisruptionId {
        self.disruptions.push(Disruption { from, to: None });
        DisruptionId(self.disruptions.len() - 1)
    }

    /// Notes that it ends.
    pub fn end_disruption(&mut self, disruption: DisruptionId, to: Millis) {
        self.disruptions[disruption.0].to = Some(to);
    }

    /// Notes that a VM gets SIGTERM.
    pub fn note_stop(&mut self, vm: usize, at: Millis) {
        self.stops.push((vm, at));
    }

    /// Notes that a VM with a disk is gone.
    pub fn note_disk_lost(&mut self, vm: usize, at: Millis) {
        self.lost_disks.push((vm, at, None));
    }

    /// Notes that its process is back.
    pub fn note_disk_back(&mut self, vm: usize, at: Millis) {
        for (_, _, to) in self
            .lost_disks
            .iter_mut()
            .filter(|(lost_disks, ..)| *lost_disks == vm)
        {
            to.get_or_insert(at.plus(CATCH_UP));
        }
    }

    /// Notes that a VM gets SIGHUP.
    pub fn note_reload(&mut self, vm: usize, at: Millis) {
        self.reloads.push((vm, at));
    }

    /// Notes that a runner leaves.
    pub fn note_leaving(&mut self, runner: &str, at: Millis) {
        self.leaving.push((runner.to_owned(), at, None));
    }

    /// Notes that a runner is back.
    pub fn note_runner_back(&mut self, runner: &str, at: Millis) {
        let rows = self.leaving.iter_mut();
        for (_, _, back) in rows.filter(|(name, ..)| name == runner) {
            back.get_or_insert(at);
        }
    }

    /// Notes that nothing is done any more.
    pub fn note_quiet(&mut self, at: Millis) {
        self.quiet = Some(at);
    }

    /// Yields since when nothing is done any more.
    #[must_use]
    pub fn quiet_from(&self) -> Millis {
        self.quiet.unwrap_or(Millis::new(u64::MAX))
    }

    /// Tells whether something unplanned happened in this time or shortly before it.
    #[must_use]
    pub fn is_disturbed(&self, from: Millis, to: Millis) -> bool {
        let from = from.since(RECOVERY);
        let mut disruptions = self.disruptions.iter();
        disruptions.any(|row| row.from <= to && row.to.is_none_or(|end| end >= from))
            || self.is_beyond_tolerance(from, to)
    }

    /// Tells whether two VMs with a disk were lost at the same time, be it by planned work: one loss
    /// of three is what the settings ask the system to bear.
    fn is_beyond_tolerance(&self, from: Millis, to: Millis) -> bool {
        let near = |(_, since, end): &&(usize, Millis, Option<Millis>)| {
            *since <= to && end.is_none_or(|end| end >= from)
        };
        let near: Vec<_> = self.lost_disks.iter().filter(near).collect();
        near.iter().any(|(vm, since, end)| {
            let meets = |other: &&&(usize, Millis, Option<Millis>)| {
                other.0 != *vm && other.1 >= *since && end.is_none_or(|end| other.1 <= end)
            };
            near.iter().any(|other| meets(&other))
        })
    }

    /// Yields when the planned work began that a request to this VM is to outlast.
    #[must_use]
    pub fn planned_work(&self, vm: usize, sent: Millis, ended: Millis) -> Option<Millis> {
        let end = GRACE.plus(AFTER_GRACE);
        let stop = self
            .stops
            .iter()
            .find(|(stopped, at)| *stopped == vm && *at <= ended && ended <= at.plus(end));
        let reload = self.reloads.iter().find(|(reloaded, at)| {
            *reloaded == vm && *at <= ended && sent <= at.plus(APPLY_TIME) && ended <= at.plus(end)
        });
        stop.or(reload).map(|(_, at)| *at)
    }

    /// Tells whether a run was still at work in the last sixth of a stop's grace, on what was sent
    /// soon after its SIGTERM.
    #[must_use]
    pub fn is_cut_by_grace(&self, vm: usize, sent: Millis, ended: Millis) -> bool {
        let mut stops = self.stops.iter().filter(|(stopped, _)| *stopped == vm);
        stops.any(|(_, at)| {
            sent <= at.plus(SENT_WITHIN)
                && ended <= at.plus(GRACE.plus(AFTER_GRACE))
                && ended >= at.plus(STILL_RUNNING_AFTER)
        })
    }

    /// Yields since when a runner leaves, if it does at this time.
    #[must_use]
    pub fn leaving_since(&self, runner: &str, at: Millis) -> Option<Millis> {
        let leaves = |(name, from, back): &&(String, Millis, Option<Millis>)| {
            name == runner && *from <= at && back.is_none_or(|back| at < back)
        };
        self.leaving.iter().find(leaves).map(|(_, from, _)| *from)
    }
}

#[cfg(test)]
mod tests;
