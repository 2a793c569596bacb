//! What a run does to the system from outside.

use clap::ValueEnum;
use clap::builder::PossibleValue;
use fakes::runner;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::proxy::Direction;

/// A kind of fault, as `--faults` names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// VMs that take callers stop and start, one after the other.
    Stops,
    /// All VMs that take callers of a data centre stop at about the same time.
    Overlap,
    /// VMs with a disk stop and start, one after the other.
    DiskStops,
    /// VMs are told that their settings have changed.
    Reload,
    /// A configuration adds a route and drops one.
    Configure,
    /// A VM is killed.
    Kill,
    /// A VM is frozen for a while.
    Pause,
    /// A VM with a disk is killed and comes back with an empty one.
    Wipe,
    /// The platform's store refuses all calls for a while.
    StoreAway,
    /// A VM's link to the store is slow, cut, silent or reset.
    StoreLink,
    /// A runner says that it leaves, or its entry goes, and it ends later.
    RunnerLeaves,
    /// A runner breaks answers off, loses them, refuses, or answers for another request.
    RunnerFails,
    /// A runner is gone at once, and comes back.
    RunnerDown,
    /// A runner's link is slow, cut, silent or reset.
    RunnerLink,
    /// A runner answers slowly, or stops in the middle of its answers.
    RunnerSlow,
    /// What one VM sends another is slow, cut, silent or reset, or all that a VM exchanges with others.
    VmLink,
    /// The links between clients and a VM are slow, cut, silent or reset.
    ClientLink,
    /// Clients send bodies slowly, or stop half-way.
    SlowBodies,
}

impl Kind {
    /// Tells whether it is part of the system's usual work, around which nothing may be lost.
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

/// A link that can be disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Between a VM and the platform's store.
    Store(usize),
    /// Between all VMs and a runner.
    Runner(usize),
    /// From the VM that connects to another one.
    Vms(usize, usize),
    /// Between a VM and all others.
    Around(usize),
    /// Between clients and a VM.
    Client(usize),
}

/// How a link is disturbed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Impairment {
    /// Bytes take longer.
    Slow(Millis),
    /// Nothing passes.
    Cut,
    /// Nothing passes in one direction.
    CutOneWay(Direction),
    /// Open connections are reset.
    Reset,
    /// Open connections pass nothing any more.
    Silence,
}

impl Impairment {
    /// Yields the harm that does the same to a link whose connections are opened from its other end.
    #[must_use]
    pub const fn from_other_end(self) -> Self {
        match self {
            Self::CutOneWay(Direction::Out) => Self::CutOneWay(Direction::Back),
            Self::CutOneWay(Direction::Back) => Self::CutOneWay(Direction::Out),
            impairment => impairment,
        }
    }
}

/// How a runner fails at its next requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Failure {
    /// Its answers break off.
    BreaksOff,
    /// They run, and no answer comes.
    AnswerLost,
    /// They are refused without being run.
    Full,
    /// They get an answer that belongs to another request.
    Crossed,
    /// Their answers pause for long after each event.
    Slow,
    /// Their answers stop in the middle, and the connection stays open.
    Stalls,
}

impl Failure {
    /// Yields how the stand-in answers.
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

/// One thing that is done. VMs and runners are named by their places in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A VM gets SIGTERM, and SIGKILL after its grace; it starts again.
    Stop(usize),
    /// A VM gets SIGHUP.
    Reload(usize),
    /// A configuration with a further route, and without an earlier one.
    Configure,
    /// A VM gets SIGKILL; it starts again.
    Kill(usize),
    /// A VM gets SIGSTOP, and SIGCONT after so long.
    Pause(usize, Millis),
    /// A VM gets SIGKILL and starts again with an empty disk.
    Wipe(usize),
    /// The store refuses calls for so long.
    StoreAway(Millis),
    /// A runner says that it leaves; it ends, and later starts again.
    RunnerLeaves(usize),
    /// A runner's entry goes without a word before; it ends, and later starts again.
    RunnerUnlisted(usize),
    /// A runner fails at so many requests.
    RunnerFails(usize, Failure, usize),
    /// A runner is gone for so long.
    RunnerDown(usize, Millis),
    /// A link is harmed for so long.
    Link(Target, Impairment, Millis),
    /// Some clients send their bodies slowly or stop half-way for so long.
    SlowBodies(Millis),
}

impl Fault {
    /// Yields how long it lasts, where it says so.
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

    /// Yields the row of the report's timeline that it stands in.
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
