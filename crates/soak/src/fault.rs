//! The faults and the planned work that a run applies to the system.

use clap::ValueEnum;
use clap::builder::PossibleValue;
use fakes::runner;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::proxy::Direction;

/// A kind of fault, as the flag `--faults` names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// VMs that take callers stop and restart, one after the other.
    Stops,
    /// All VMs that take callers of a data centre stop at about the same time.
    Overlap,
    /// VMs with a disk stop and restart, one after the other.
    DiskStops,
    /// VMs reload their settings.
    Reload,
    /// A new configuration adds a route and drops one.
    Configure,
    /// A VM is killed.
    Kill,
    /// A VM is paused for a while.
    Pause,
    /// A VM with a disk is killed and comes back with an empty disk.
    Wipe,
    /// All VMs with a disk are paused or killed at the same time.
    DisksAway,
    /// The platform's key-value store refuses all calls for a while.
    StoreAway,
    /// A VM's link to the store is slowed, cut, silenced or reset.
    StoreLink,
    /// A runner announces that it leaves, or its entry is removed, and it stops later.
    RunnerLeaves,
    /// A runner cuts answers off, loses them, refuses requests, or sends the answer of another
    /// request.
    RunnerFails,
    /// A runner goes down without notice and comes back.
    RunnerDown,
    /// The link to a runner is slowed, cut, silenced or reset.
    RunnerLink,
    /// A runner answers slowly, or stalls in the middle of its answers.
    RunnerSlow,
    /// The link from one VM to another, or all links between one VM and the others, are slowed,
    /// cut, silenced or reset.
    VmLink,
    /// The links between clients and a VM are slowed, cut, silenced or reset.
    ClientLink,
    /// Clients send request bodies slowly, or stop half-way.
    SlowBodies,
}

impl Kind {
    /// Returns whether this kind is part of normal operation, during which no request may be lost.
    #[must_use]
    pub const fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Stops
                | Self::Overlap
                | Self::DiskStops
                | Self::Reload
                | Self::Configure
                | Self::RunnerLeaves
                | Self::SlowBodies
        )
    }
}

impl ValueEnum for Kind {
    fn value_variants<'a>() -> &'a [Self] {
        &[
            Self::Stops,
            Self::Overlap,
            Self::DiskStops,
            Self::Reload,
            Self::Configure,
            Self::Kill,
            Self::Pause,
            Self::Wipe,
            Self::DisksAway,
            Self::StoreAway,
            Self::StoreLink,
            Self::RunnerLeaves,
            Self::RunnerFails,
            Self::RunnerDown,
            Self::RunnerLink,
            Self::RunnerSlow,
            Self::VmLink,
            Self::ClientLink,
            Self::SlowBodies,
        ]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        let name = match self {
            Self::Stops => "stops",
            Self::Overlap => "overlap",
            Self::DiskStops => "disk-stops",
            Self::Reload => "reload",
            Self::Configure => "configure",
            Self::Kill => "kill",
            Self::Pause => "pause",
            Self::Wipe => "wipe",
            Self::DisksAway => "disks-away",
            Self::StoreAway => "store-away",
            Self::StoreLink => "store-link",
            Self::RunnerLeaves => "runner-leaves",
            Self::RunnerFails => "runner-fails",
            Self::RunnerDown => "runner-down",
            Self::RunnerLink => "runner-link",
            Self::RunnerSlow => "runner-slow",
            Self::VmLink => "vm-link",
            Self::ClientLink => "client-link",
            Self::SlowBodies => "slow-bodies",
        };
        Some(PossibleValue::new(name))
    }
}

/// The links that a fault impairs. VMs and runners are given by their indexes in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// The link between a VM and the platform's store.
    Store(usize),
    /// The links between all VMs and a runner.
    Runner(usize),
    /// The link from the first VM, which opens the connections, to the second one.
    Vms(usize, usize),
    /// All links between a VM and the other VMs.
    Around(usize),
    /// The links between clients and a VM.
    Client(usize),
}

/// How a link is impaired.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Impairment {
    /// Each chunk of bytes is delayed by this time.
    Slow(Millis),
    /// No bytes pass.
    Cut,
    /// No bytes pass in one direction.
    CutOneWay(Direction),
    /// Open connections are reset.
    Reset,
    /// Open connections stop passing bytes for good; new ones work.
    Silence,
}

impl Impairment {
    /// Returns the impairment with the same effect on a link whose connections are opened from the
    /// other end.
    #[must_use]
    pub const fn from_other_end(self) -> Self {
        match self {
            Self::CutOneWay(Direction::Out) => Self::CutOneWay(Direction::Back),
            Self::CutOneWay(Direction::Back) => Self::CutOneWay(Direction::Out),
            impairment => impairment,
        }
    }
}

/// How a runner fails its next requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Its answers are cut off.
    BreaksOff,
    /// The requests are executed, and no answer is sent.
    AnswerLost,
    /// The requests are refused without being executed.
    Full,
    /// The requests get the answer of another request.
    Crossed,
    /// The answers pause for long after each event.
    Slow,
    /// The answers stop in the middle, and the connection stays open.
    Stalls,
}

impl Failure {
    /// Returns the mode of the stand-in that fails in this way.
    #[must_use]
    pub const fn mode(self) -> runner::Mode {
        match self {
            Self::BreaksOff => runner::Mode::BreaksOff,
            Self::AnswerLost => runner::Mode::AnswerLost,
            Self::Full => runner::Mode::Full,
            Self::Crossed => runner::Mode::Crossed,
            Self::Slow => runner::Mode::Slow,
            Self::Stalls => runner::Mode::Stalls,
        }
    }
}

/// One fault or step of planned work. VMs and runners are given by their indexes in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A VM receives SIGTERM, and SIGKILL after its grace period; it is restarted.
    Stop(usize),
    /// A VM receives SIGHUP.
    Reload(usize),
    /// A new configuration adds a route and drops an earlier one.
    Configure,
    /// A VM receives SIGKILL; it is restarted.
    Kill(usize),
    /// A VM receives SIGSTOP, and SIGCONT after this time.
    Pause(usize, Millis),
    /// A VM receives SIGKILL and is restarted with an empty disk.
    Wipe(usize),
    /// The store refuses calls for this time.
    StoreAway(Millis),
    /// A runner announces that it leaves, stops, and later starts again.
    RunnerLeaves(usize),
    /// A runner's entry is removed without an announcement; the runner stops, and later starts
    /// again.
    RunnerUnlisted(usize),
    /// A runner fails this many requests.
    RunnerFails(usize, Failure, usize),
    /// A runner is down for this time.
    RunnerDown(usize, Millis),
    /// Links are impaired for this time.
    Link(Target, Impairment, Millis),
    /// For this time some clients send their bodies slowly or stop half-way.
    SlowBodies(Millis),
}

impl Fault {
    /// Returns how long the fault lasts, if it has a duration of its own.
    #[must_use]
    pub const fn span(self) -> Option<Millis> {
        match self {
            Self::Pause(_, span)
            | Self::StoreAway(span)
            | Self::RunnerDown(_, span)
            | Self::Link(_, _, span)
            | Self::SlowBodies(span) => Some(span),
            _ => None,
        }
    }

    /// Returns the name of its row in the report's timeline.
    #[must_use]
    pub const fn row(self) -> &'static str {
        match self {
            Self::Stop(_) => "stop",
            Self::Reload(_) => "reload",
            Self::Configure => "configure",
            Self::Kill(_) => "kill",
            Self::Pause(..) => "pause",
            Self::Wipe(_) => "wipe",
            Self::StoreAway(_) => "store away",
            Self::RunnerLeaves(_) | Self::RunnerUnlisted(_) => "runner leaves",
            Self::RunnerFails(..) => "runner fails",
            Self::RunnerDown(..) => "runner down",
            Self::Link(..) => "link",
            Self::SlowBodies(_) => "slow bodies",
        }
    }
}
