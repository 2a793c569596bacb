//! Generates the schedule of faults from a seed; faults come one after the other and overlap.
//!
//! Phases of planned work alone are mixed with phases of all kinds of faults, because the guarantee
//! that a stop loses no request only applies if no other fault is near.

use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use wire::clock::Millis;

use crate::fault::Failure;
use crate::fault::Fault;
use crate::fault::Impairment;
use crate::fault::Kind;
use crate::fault::Target;
use crate::proxy::Direction;

/// The time before the first fault.
const LEAD_IN_MS: u64 = 2_000;
/// The time between the last fault and the end, in which a stop can use its whole grace period and
/// clients recover.
pub const QUIET_END_MS: u64 = 14_000;
/// The shortest and the longest duration of a phase.
const PHASE_MS: (u64, u64) = (8_000, 16_000);
/// The time between two phases: more than the time after a disruption in which guarantees with a
/// time bound don't apply.
const PHASE_GAP_MS: u64 = 4_500;
/// The least time between two lost disks: more than a new member needs to copy all data.
const WIPE_GAP_MS: u64 = 20_000;
/// How long the VMs with a disk must have been undisturbed before a disk is lost.
const WIPE_CLEARANCE_MS: u64 = 10_000;

/// How often all VMs with a disk are away in a row at most.
const MAX_DISK_OUTAGES: u64 = 3;
/// The time between two of these outages.
const DISK_OUTAGE_GAP_MS: u64 = 800;
/// The longest impairment of a link.
const MAX_LINK_FAULT_MS: u64 = 4_000;

/// The failures of [`Kind::RunnerFails`].
const FAILURES: [Failure; 4] = [
    Failure::BreaksOff,
    Failure::AnswerLost,
    Failure::Full,
    Failure::Crossed,
];
/// The failures of [`Kind::RunnerSlow`].
const SLOW_FAILURES: [Failure; 2] = [Failure::Slow, Failure::Stalls];

/// A fault and the time at which it is injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Step {
    /// The time since the start of traffic.
    pub at: Millis,
    /// The fault.
    pub fault: Fault,
}

/// The size of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Size {
    /// The number of VMs that take callers; they come first in the fleet.
    pub callers: usize,
    /// The number of VMs with a disk; they follow.
    pub disks: usize,
    /// The number of data centres; VMs of either sort are assigned to them round-robin.
    pub centres: usize,
    /// The number of runners.
    pub runners: usize,
}

struct Generator {
    random: ChaCha8Rng,
    size: Size,
    steps: Vec<Step>,
    /// When a disk was last lost, in milliseconds.
    last_wipe: Option<u64>,
    /// Until when VMs with a disk were last disturbed, in milliseconds.
    disks_disturbed_until: Option<u64>,
}

/// Generates the faults of a run, sorted by time.
#[must_use]
pub fn generate(seed: u64, span: Millis, kinds: &[Kind], size: Size) -> Vec<Step> {
    let mut generator = Generator {
        random: ChaCha8Rng::seed_from_u64(seed),
        size,
        steps: Vec::new(),
        last_wipe: None,
        disks_disturbed_until: None,
    };
    let planned: Vec<Kind> = kinds
        .iter()
        .copied()
        .filter(|kind| kind.is_planned())
        .collect();
    let end = span.as_u64().saturating_sub(QUIET_END_MS);
    let mut at = LEAD_IN_MS;
    while at < end && !kinds.is_empty() {
        let phase_end = end.min(at + generator.random.random_range(PHASE_MS.0..PHASE_MS.1));
        let only_planned = !planned.is_empty() && generator.random.random_bool(0.6);
        let kinds = if only_planned { &planned } else { kinds };
        generator.phase(at, phase_end, kinds);
        at = phase_end + PHASE_GAP_MS;
    }
    generator.steps.sort_by_key(|step| step.at);
    generator.steps
}

impl Generator {
    fn phase(&mut self, from: u64, to: u64, kinds: &[Kind]) {
        let mut at = from;
        while at < to {
            let kind = kinds[self.random.random_range(0..kinds.len())];
            self.push_kind(kind, at, to);
            // The next fault often overlaps with this one, and sometimes comes after it.
            at += if self.random.random_bool(0.5) {
                self.random.random_range(100..1_500)
            } else {
                self.random.random_range(2_000..6_000)
            };
        }
    }

    fn push(&mut self, at: u64, fault: Fault) {
        self.steps.push(Step {
            at: Millis::new(at),
            fault,
        });
    }

    fn random_span(&mut self, from: u64, to: u64) -> Millis {
        Millis::new(self.random.random_range(from..to))
    }

    fn random_disk_vm(&mut self) -> usize {
        self.size.callers + self.random.random_range(0..self.size.disks)
    }

    fn random_vm(&mut self) -> usize {
        self.random
            .random_range(0..self.size.callers + self.size.disks)
    }

    fn push_kind(&mut self, kind: Kind, at: u64, to: u64) {
        match kind {
            Kind::Stops => self.stop_series(at, to, 0..self.size.callers),
            Kind::DiskStops => {
                self.disks_disturbed_until = Some(to);
                self.stop_series(
                    at,
                    to,
                    self.size.callers..self.size.callers + self.size.disks,
                );
            }
            Kind::Overlap => self.overlapping_stops(at),
            Kind::Reload => {
                let vm = self.random_vm();
                self.push(at, Fault::Reload(vm));
            }
            Kind::Configure => self.push(at, Fault::Configure),
            Kind::Kill => {
                let vm = self.random_vm();
                self.note_disk_disturbed(vm, at);
                self.push(at, Fault::Kill(vm));
            }
            Kind::Pause => {
                let (vm, span) = (self.random_vm(), self.random_span(300, 4_000));
                self.note_disk_disturbed(vm, at + span.as_u64());
                self.push(at, Fault::Pause(vm, span));
            }
            Kind::Wipe => self.push_wipe(at),
            Kind::DisksAway => self.push_disks_away(at, to),
            Kind::StoreAway => {
                let span = self.random_span(500, 5_000);
                self.disks_disturbed_until =
                    self.disks_disturbed_until.max(Some(at + span.as_u64()));
                self.push(at, Fault::StoreAway(span));
            }
            Kind::StoreLink => {
                let vm = self.random_vm();
                self.note_disk_disturbed(vm, at + MAX_LINK_FAULT_MS);
                self.push_link(at, Target::Store(vm));
            }
            Kind::VmLink => self.push_vm_link(at),
            Kind::ClientLink => {
                let vm = self.random.random_range(0..self.size.callers);
                self.push_link(at, Target::Client(vm));
            }
            Kind::SlowBodies => {
                let span = self.random_span(1_000, 6_000);
                self.push(at, Fault::SlowBodies(span));
            }
            Kind::RunnerLeaves
            | Kind::RunnerFails
            | Kind::RunnerSlow
            | Kind::RunnerDown
            | Kind::RunnerLink => self.push_runner_fault(kind, at),
        }
    }

    fn push_runner_fault(&mut self, kind: Kind, at: u64) {
        let runner = self.random.random_range(0..self.size.runners);
        match kind {
            Kind::RunnerLeaves if self.random.random_bool(0.5) => {
                self.push(at, Fault::RunnerLeaves(runner));
            }
            Kind::RunnerLeaves => self.push(at, Fault::RunnerUnlisted(runner)),
            Kind::RunnerFails => self.push_runner_failure(at, runner, &FAILURES),
            Kind::RunnerSlow => self.push_runner_failure(at, runner, &SLOW_FAILURES),
            Kind::RunnerDown => {
                let span = self.random_span(500, 4_000);
                self.push(at, Fault::RunnerDown(runner, span));
            }
            _ => self.push_link(at, Target::Runner(runner)),
        }
    }

    fn push_runner_failure(&mut self, at: u64, runner: usize, failures: &[Failure]) {
        let failure = failures[self.random.random_range(0..failures.len())];
        let count = self.random.random_range(1..6);
        self.push(at, Fault::RunnerFails(runner, failure, count));
    }

    fn push_vm_link(&mut self, at: u64) {
        let vm = self.random_vm();
        let count = self.size.callers + self.size.disks;
        let other = (vm + self.random.random_range(1..count)) % count;
        self.note_disk_disturbed(vm, at + MAX_LINK_FAULT_MS);
        self.note_disk_disturbed(other, at + MAX_LINK_FAULT_MS);
        let target = if self.random.random_bool(0.3) {
            Target::Around(vm)
        } else {
            Target::Vms(vm, other)
        };
        self.push_link(at, target);
    }

    fn note_disk_disturbed(&mut self, vm: usize, until: u64) {
        if vm >= self.size.callers {
            self.disks_disturbed_until = self.disks_disturbed_until.max(Some(until));
        }
    }

    /// Stops some VMs one after the other; the previous one may still be stopping.
    fn stop_series(&mut self, at: u64, to: u64, vms: std::ops::Range<usize>) {
        let count = self.random.random_range(1..=vms.len());
        let first = self.random.random_range(vms.clone());
        let gap = self.random.random_range(200..4_500);
        for step in 0..count {
            let vm = vms.start + (first - vms.start + step) % vms.len();
            let at = at + gap * step as u64;
            if at < to {
                self.push(at, Fault::Stop(vm));
            }
        }
    }

    /// Stops all VMs of a data centre that take callers, or all but one. If one of three or more is
    /// left, the balancer goes on sending to all of them.
    fn overlapping_stops(&mut self, at: u64) {
        let centre = self.random.random_range(0..self.size.centres);
        let local = (centre..self.size.callers).step_by(self.size.centres);
        let mut vms: Vec<usize> = local.collect();
        if vms.len() > 2 && self.random.random_bool(0.5) {
            let spared = self.random.random_range(0..vms.len());
            vms.remove(spared);
        }
        for vm in vms {
            let delay = self.random.random_range(0..2_500);
            self.push(at + delay, Fault::Stop(vm));
        }
    }

    /// Wipes a disk, unless another one may not have been restored yet: two lost disks of three are
    /// more than the system has to tolerate.
    fn push_wipe(&mut self, at: u64) {
        let is_recent =
            |before: Option<u64>, span: u64| before.is_some_and(|before| at < before + span);
        if is_recent(self.last_wipe, WIPE_GAP_MS)
            || is_recent(self.disks_disturbed_until, WIPE_CLEARANCE_MS)
        {
            return;
        }
        self.last_wipe = Some(at);
        let vm = self.random_disk_vm();
        self.push(at, Fault::Wipe(vm));
    }

    /// Pauses or kills all VMs with a disk at the same time, several times: nothing can be recorded for a while.
    fn push_disks_away(&mut self, at: u64, to: u64) {
        let mut at = at;
        for _ in 0..self.random.random_range(1..=MAX_DISK_OUTAGES) {
            if at >= to {
                return;
            }
            let span = self.random_span(300, 2_000);
            let are_killed = self.random.random_bool(0.6);
            for vm in self.size.callers..self.size.callers + self.size.disks {
                let fault = if are_killed {
                    Fault::Kill(vm)
                } else {
                    Fault::Pause(vm, span)
                };
                self.push(at, fault);
            }
            at += span.as_u64();
            self.disks_disturbed_until = self.disks_disturbed_until.max(Some(at));
            at += DISK_OUTAGE_GAP_MS;
        }
    }

    fn push_link(&mut self, at: u64, target: Target) {
        let impairments = [
            Impairment::Slow(self.random_span(20, 400)),
            Impairment::Cut,
            Impairment::CutOneWay(Direction::Out),
            Impairment::CutOneWay(Direction::Back),
            Impairment::Reset,
            Impairment::Silence,
        ];
        let impairment = impairments[self.random.random_range(0..impairments.len())];
        let span = self.random_span(500, MAX_LINK_FAULT_MS);
        self.push(at, Fault::Link(target, impairment, span));
    }
}

#[cfg(test)]
mod tests;
