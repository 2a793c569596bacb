//! The groups of keys in the key-value service that a VM follows, and where it learns of their
//! changes.

use adapter::keys;
use adapter::kv::Freshness;
use wire::clock::Millis;

use crate::metrics::Call;
use crate::peers;

/// How long a watch waits at the service for a change.
const WATCH_TIMEOUT: Millis = Millis::new(20_000);
/// The same for a watch of the runners. Heartbeats alone change no entry, so in quiet minutes no
/// change arrives, but each return of the watch, also an empty one, shows that the known entries
/// are current. Together with the pause between watches it stays below the age at which other VMs
/// consider their knowledge stale and all read the entries themselves at once.
const RUNNERS_WATCH_TIMEOUT: Millis = Millis::new(500);

/// A group of keys that a VM follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Subject {
    /// The operators' configuration.
    Config,
    /// The runners' entries.
    Runners,
    /// The system's own keys.
    Own,
    /// The operators' configuration again, asked for at short intervals. The configuration's watch
    /// tells of changes at once, but until it returns it doesn't prove that there were none: the
    /// service may have lost the watch, or its answer.
    Proof,
}

impl Subject {
    /// All subjects.
    pub const ALL: [Self; 4] = [Self::Config, Self::Runners, Self::Own, Self::Proof];
}

impl Subject {
    /// Returns the prefix of the group's keys.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Config | Self::Proof => keys::CONFIG,
            Self::Runners => keys::RUNNERS,
            Self::Own => keys::OWN,
        }
    }

    /// Returns the call that lists the group's entries.
    #[must_use]
    pub const fn list_call(self, freshness: Freshness) -> Call {
        match (self, freshness) {
            (Self::Config | Self::Proof, _) => Call::ListConfig,
            (Self::Runners, _) => Call::ListRunners,
            (Self::Own, Freshness::Latest) => Call::ListOwn,
            (Self::Own, Freshness::Stale) => Call::CopyOwn,
        }
    }

    /// Returns the call that watches the group.
    #[must_use]
    pub const fn watch_call(self) -> Call {
        match self {
            Self::Config => Call::WatchConfig,
            Self::Runners => Call::WatchRunners,
            Self::Own => Call::WatchOwn,
            Self::Proof => Call::ProveConfig,
        }
    }

    /// Returns how long a watch waits at the service for a change.
    #[must_use]
    pub const fn watch_timeout(self) -> Millis {
        match self {
            Self::Config | Self::Own => WATCH_TIMEOUT,
            Self::Runners => RUNNERS_WATCH_TIMEOUT,
            // A proof is as old as the call, so the call doesn't wait.
            Self::Proof => Millis::ZERO,
        }
    }
}

/// Where a VM learns of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// By watching the key-value service.
    Store,
    /// By reading a copy at the service now and then. The copy may be seconds old; reading it costs
    /// a tenth of a read of the latest entries.
    Copy,
    /// From messages of other VMs.
    Peers,
}

impl Source {
    /// Returns how fresh the entries that are read must be.
    #[must_use]
    pub const fn freshness(self) -> Freshness {
        match self {
            Self::Store | Self::Peers => Freshness::Latest,
            Self::Copy => Freshness::Stale,
        }
    }
}

/// What decides where a VM learns of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// The VM's role in the exchange.
    pub role: peers::Role,
    /// Whether the VM has an entry in the directory.
    pub is_listed: bool,
    /// Whether it is the first VM that answers and reaches the service, so that it reads the
    /// runners for all.
    pub is_reader: bool,
    /// How old its information from other VMs is.
    pub knowledge: Knowledge,
}

/// How current a VM's information from other VMs is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Knowledge {
    /// The process has just started and hasn't read the directory, so it knows of no VM to ask.
    None,
    /// It is current, or the process has just started and other VMs are being asked.
    Current,
    /// It is too old, but the hub answers and other VMs read the service for it.
    Awaited,
    /// It is too old.
    Stale,
}

/// Decides where a VM learns of a subject.
///
/// In a large deployment, watches of every VM for every subject would be most of the service's
/// load, as each change is answered once for each VM. A VM with a hub hears of a change within two
/// exchanges. All subjects come in the same messages, so all are current as long as the runners'
/// entries are. When they aren't, the VM asks the service itself. The VM that
/// reads the runners for all also proves to all that the configuration is current. A VM without an entry isn't a hub,
/// even when it hears none for a moment: if all VMs of a hub that dies asked the service, the calls
/// would grow with the number of VMs. Where the service refuses all hubs, other VMs read for all.
#[must_use]
pub const fn source(subject: Subject, situation: Situation) -> Source {
    let reads_for_others = !matches!(situation.role, peers::Role::Leaf) || situation.is_reader;
    let follows_hub = !reads_for_others || !situation.is_listed;
    match (subject, situation.knowledge) {
        (Subject::Own, Knowledge::None) => Source::Copy,
        (_, Knowledge::None | Knowledge::Awaited) => Source::Peers,
        (Subject::Runners | Subject::Proof, Knowledge::Current) if !situation.is_reader => {
            Source::Peers
        }
        (_, Knowledge::Current) if follows_hub => Source::Peers,
        (Subject::Own, Knowledge::Stale) if follows_hub => Source::Copy,
        (_, Knowledge::Current | Knowledge::Stale) => Source::Store,
    }
}

/// Returns the key of the list of VMs with a disk.
#[must_use]
pub fn members_key() -> String {
    format!("{}members", keys::OWN)
}

/// Returns the prefix of the directory's entries.
#[must_use]
pub fn directory_prefix() -> String {
    format!("{}directory/", keys::OWN)
}

/// Returns the key of a slot of a data centre in the directory.
#[must_use]
pub fn directory_key(centre: &str, slot: usize) -> String {
    format!("{}{centre}/{slot}", directory_prefix())
}

#[cfg(test)]
mod tests;
