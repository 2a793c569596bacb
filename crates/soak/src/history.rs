//! Records faults and planned work, and answers which guarantees hold at a given time.

use fakes::settings;
use serde::Serialize;
use wire::clock::Millis;

/// How long after a disruption the guarantees about planned work don't apply yet.
const RECOVERY: Millis = Millis::new(3_000);
/// The time between SIGTERM and SIGKILL.
pub const GRACE: Millis = Millis::new(settings::GRACE_S * 1_000);
/// How long after the grace period the guarantee about a stop still applies.
const AFTER_GRACE: Millis = Millis::new(1_000);
/// The start of the last sixth of the grace period, measured from SIGTERM. If a request was sent
/// within [`SENT_WITHIN`] after SIGTERM and its runner works on it beyond this point, the end of
/// the process may cut it off.
const STILL_RUNNING_AFTER: Millis = Millis::new(settings::GRACE_S * 1_000 * 5 / 6);
/// See [`STILL_RUNNING_AFTER`].
const SENT_WITHIN: Millis = Millis::new(3_000);
/// Requests that are sent within this time after SIGHUP count as sent during the reload.
const APPLY_TIME: Millis = Millis::new(settings::APPLY_MS);

/// How long a VM with a disk still counts as lost after its process is back, because it may have to
/// catch up first.
const CATCH_UP: Millis = Millis::new(4_900);

/// An unplanned disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
struct Disruption {
    from: Millis,
    /// `None` while it lasts.
    to: Option<Millis>,
}

/// Identifies a recorded disruption.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DisruptionId(usize);

/// The faults and the planned work of a run.
#[derive(Clone, Debug, Default)]
pub struct History {
    disruptions: Vec<Disruption>,
    /// VMs that received SIGTERM, and when.
    stops: Vec<(usize, Millis)>,
    /// VMs that received SIGHUP, and when.
    reloads: Vec<(usize, Millis)>,
    /// VMs with a disk that were lost: since when, and until when they count as lost.
    lost_disks: Vec<(usize, Millis, Option<Millis>)>,
    /// Runners that leave: since when, and when they came back.
    leaving: Vec<(String, Millis, Option<Millis>)>,
    /// When the quiet phase began, in which no faults are injected any more.
    quiet: Option<Millis>,
}

impl History {
    /// Records that a disruption begins.
    pub fn begin_disruption(&mut self, from: Millis) -> DisruptionId {
        self.disruptions.push(Disruption { from, to: None });
        DisruptionId(self.disruptions.len() - 1)
    }

    /// Records that a disruption ends.
    pub fn end_disruption(&mut self, disruption: DisruptionId, to: Millis) {
        self.disruptions[disruption.0].to = Some(to);
    }

    /// Records that a VM receives SIGTERM.
    pub fn note_stop(&mut self, vm: usize, at: Millis) {
        self.stops.push((vm, at));
    }

    /// Records that a VM with a disk is lost.
    pub fn note_disk_lost(&mut self, vm: usize, at: Millis) {
        self.lost_disks.push((vm, at, None));
    }

    /// Records that the process of a VM is back; if the VM has a disk, it counts as lost a little
    /// longer.
    pub fn note_disk_back(&mut self, vm: usize, at: Millis) {
        for (_, _, to) in self.lost_disks.iter_mut().filter(|(lost, ..)| *lost == vm) {
            to.get_or_insert(at.plus(CATCH_UP));
        }
    }

    /// Records that a VM receives SIGHUP.
    pub fn note_reload(&mut self, vm: usize, at: Millis) {
        self.reloads.push((vm, at));
    }

    /// Records that a runner begins to leave.
    pub fn note_leaving(&mut self, runner: &str, at: Millis) {
        self.leaving.push((runner.to_owned(), at, None));
    }

    /// Records that a runner is back.
    pub fn note_runner_back(&mut self, runner: &str, at: Millis) {
        let rows = self.leaving.iter_mut();
        for (_, _, back) in rows.filter(|(name, ..)| name == runner) {
            back.get_or_insert(at);
        }
    }

    /// Records when the quiet phase begins.
    pub fn note_quiet(&mut self, at: Millis) {
        self.quiet = Some(at);
    }

    /// Returns when the quiet phase began; the largest time if it has not.
    #[must_use]
    pub fn quiet_from(&self) -> Millis {
        self.quiet.unwrap_or(Millis::new(u64::MAX))
    }

    /// Returns whether something unplanned happened in this span of time or within [`RECOVERY`]
    /// before it.
    #[must_use]
    pub fn is_disturbed(&self, from: Millis, to: Millis) -> bool {
        let from = from.since(RECOVERY);
        let mut disruptions = self.disruptions.iter();
        disruptions.any(|row| row.from <= to && row.to.is_none_or(|end| end >= from))
            || self.is_beyond_tolerance(from, to)
    }

    /// Returns whether two VMs with a disk were lost at the same time, even if by planned work. The
    /// settings ask the system to tolerate the loss of one of three.
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

    /// Returns when the planned work (a stop or a reload) of this VM began during which the request
    /// has to be answered, `None` if there was none.
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

    /// Returns whether the end of the grace period may have cut off an execution: the request was
    /// sent soon after SIGTERM, and the execution went on into the last sixth of the grace period.
    #[must_use]
    pub fn is_cut_by_grace(&self, vm: usize, sent: Millis, ended: Millis) -> bool {
        let mut stops = self.stops.iter().filter(|(stopped, _)| *stopped == vm);
        stops.any(|(_, at)| {
            sent <= at.plus(SENT_WITHIN)
                && ended <= at.plus(GRACE.plus(AFTER_GRACE))
                && ended >= at.plus(STILL_RUNNING_AFTER)
        })
    }

    /// Returns since when a runner has been leaving, if it is leaving at this time.
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
