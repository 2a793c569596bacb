//! What a VM has to know of the key-value service's keys, and where it learns of it.

use adapter::keys;
use adapter::kv::Freshness;
use wire::clock::Millis;

use crate::peers::ExchangeRole;

/// How long a watch waits at the service for a change.
const WATCH_TIMEOUT: Millis = Millis::new(20_000);
/// How long a watch of the runners does. Heartbeats alone change no entry, so that in quiet minutes
/// nothing comes; each return, also an empty one, tells that what is known is current. With the
/// pause it stays below the age at which other VMs take the knowledge for stale and read the
/// entries themselves, all of them at once.
const RUNNERS_WATCH_TIMEOUT: Millis = Millis::new(500);

/// What is followed.
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
    /// Names what its keys begin with.
    #[must_use]
    pub const fn prefix(self) -> &'static str {
        match self {
            Self::Config => keys::CONFIG,
            Self::Runners => keys::RUNNERS,
            Self::Own => keys::OWN,
        }
    }

    /// Yields how long a watch waits at the service for a change.
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
    /// It watches the key-value service.
    Store,
    /// It reads a copy there now and then, which may be seconds old and costs a tenth.
    Copy,
    /// Other VMs tell it.
    Peers,
}

impl Source {
    /// Yields how fresh what is read there has to be.
    #[must_use]
    pub const fn freshness(self) -> Freshness {
        match self {
            Self::Store | Self::Peers => Freshness::Latest,
            Self::Copy => Freshness::Stale,
        }
    }
}

/// Decides where a VM learns of a subject: `place` is the VM's among those that tell each other,
/// `reads` whether it reads the runners for all, `stale` whether what others told is too old.
///
/// In a large deployment a watch of every VM for every subject would be most of what the service is
/// asked: each change has as many answers as there are VMs, and a VM that has a hub hears of it
/// within two exchanges. What its hub tells is current as long as the runners' entries are, as
/// both come in one message; when they aren't, it asks the service itself.
#[must_use]
pub const fn source(subject: Subject, role: ExchangeRole, is_reader: bool, stale: bool) -> Source {
    match (subject, role) {
        (Subject::Runners, _) if is_reader || stale => Source::Store,
        (Subject::Runners, _) => Source::Peers,
        (Subject::Config, ExchangeRole::Leaf) if !stale => Source::Peers,
        (Subject::Own, ExchangeRole::Leaf) => Source::Copy,
        (Subject::Config | Subject::Own, _) => Source::Store,
    }
}

/// Names the key of the list of VMs with a disk.
#[must_use]
pub fn members_key() -> String {
    format!("{}members", keys::OWN)
}

/// Names the prefix of the VMs that take requests.
#[must_use]
pub fn vm_prefix() -> String {
    format!("{}vm/", keys::OWN)
}

#[cfg(test)]
mod tests;
