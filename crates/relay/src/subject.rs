//! The groups of keys in the key-value service that a VM follows, and where it learns of their
//! changes.

use adapter::keys;
use adapter::kv::Freshness;
use wire::clock::Millis;

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
}

impl Subject {
    /// Returns the prefix of the group's keys.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Config => keys::CONFIG,
            Self::Runners => keys::RUNNERS,
            Self::Own => keys::OWN,
        }
    }

    /// Returns how long a watch waits at the service for a change.
    #[must_use]
    pub const fn watch_timeout(self) -> Millis {
        match self {
            Self::Config | Self::Own => WATCH_TIMEOUT,
            Self::Runners => RUNNERS_WATCH_TIMEOUT,
        }
    }
}

/// Where a VM learns of a subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// By watching the key-value service.
    Store,
    /// By reading a copy at the service now and then. The copy may be seconds old and a read costs
    /// a tenth.
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

/// Decides where a VM learns of a subject. `role` is the VM's part in the exchange, `is_reader`
/// whether it reads the runners for the other VMs, and `stale` whether the information from other
/// VMs is too old.
///
/// In a large deployment, watches of every VM for every subject would be most of the service's
/// load, as each change is answered once for each VM. A VM with a hub hears of a change within two
/// exchanges. The configuration and the runners' entries come in the same messages, so both are
/// current as long as the entries are. When they aren't, the VM asks the service itself.
#[must_use]
pub const fn source(subject: Subject, role: peers::Role, is_reader: bool, stale: bool) -> Source {
    match (subject, role) {
        (Subject::Runners, _) if is_reader || stale => Source::Store,
        (Subject::Runners, _) => Source::Peers,
        (Subject::Config, peers::Role::Leaf) if !stale => Source::Peers,
        (Subject::Own, peers::Role::Leaf) => Source::Copy,
        (Subject::Config | Subject::Own, _) => Source::Store,
    }
}

/// Returns the key of the list of VMs with a disk.
#[must_use]
pub fn members_key() -> String {
    format!("{}members", keys::OWN)
}

/// Returns the prefix of the entries of VMs that take requests.
#[must_use]
pub fn vm_prefix() -> String {
    format!("{}vm/", keys::OWN)
}

#[cfg(test)]
mod tests;
