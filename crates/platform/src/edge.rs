//! The trait that every platform adapter implements, and its data types.

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use wire::clock::Millis;
use wire::id;

/// The largest value that the platform stores, in bytes.
pub const MAX_VALUE: usize = 1024 * 1024;

/// The reason that a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The call had no effect because it never reached the platform, or the platform refused it.
    #[display("the platform doesn't answer: {_0}")]
    Down(#[error(not(source))] String),
    /// The call may have taken effect, or may still do so later.
    #[display("the outcome isn't known: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The call had no effect because this VM's rate budget or the platform's limit is used up.
    /// Holds the time after which to retry.
    #[display("over the rate limit, retry in {_0}")]
    Limited(#[error(not(source))] Millis),
    /// The call had no effect because it is invalid, for example a value over [`MAX_VALUE`].
    #[display("the platform rejected the call: {_0}")]
    Invalid(#[error(not(source))] String),
}

/// The result of a platform call.
pub type Result<T> = std::result::Result<T, Fault>;

/// The priority of a call when the rate budget is short, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Intents of calls that may run at most once, and commits that a caller waits for.
    Commit,
    /// Changes of the configuration.
    Change,
    /// Claims and leases.
    Claim,
    /// Snapshots, sweeps and other deferrable work.
    Background,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The platform's revision at which the key was last changed; never 0.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision at which the key must have been last changed; 0 requires that it is absent.
    pub revision: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Write {
    /// Sets a key.
    Put {
        /// The key.
        key: String,
        /// The value.
        value: Vec<u8>,
        /// The lease whose end removes the key, if any.
        lease: Option<Lease>,
    },
    /// Removes a key. It is no error if the key is absent.
    Delete(String),
}

/// Writes that take effect together if every condition holds, and else not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The transaction took effect at this revision of the platform.
    Applied(u64),
    /// A condition failed. Holds the current entries of the compared keys that exist.
    Refused(Vec<Entry>),
}

/// A lease's id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Lease(pub u64);

/// A change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was set.
    Set(Entry),
    /// The key was removed, at this revision.
    Removed {
        /// The key.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// Returns the revision of the change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        match self {
            Self::Set(entry) => entry.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// A VM's state according to the platform's list, which lags behind.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The VM runs.
    Live,
    /// The VM is about to leave.
    Leaving,
}

/// An entry of the platform's list of VMs and endpoints. A VM that is absent from the list is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The VM's or endpoint's name.
    pub name: String,
    /// Its data centre.
    pub centre: id::Centre,
    /// Whether it runs or is about to leave.
    pub standing: Standing,
}

/// The platform's operations that the system uses.
///
/// # Errors
///
/// Every call fails with a [`Fault`] that says whether the call can have taken effect.
#[async_trait]
pub trait Platform: Send + Sync + 'static {
    /// Lists up to `limit` entries whose keys begin with `prefix` and are not below `from`, in key
    /// order. An empty `from` lists from the start.
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>>;

    /// Reads one key.
    async fn read(&self, key: &str) -> Result<Option<Entry>>;

    /// Reads a copy of one key, which may be seconds old. Costs less than [`Platform::read`] on
    /// platforms that have copies.
    async fn read_copy(&self, key: &str) -> Result<Option<Entry>> {
        self.read(key).await
    }

    /// Runs a transaction.
    async fn commit(&self, txn: &Txn, priority: Priority) -> Result<Outcome>;

    /// Waits until a write of this priority fits the VM's rate budget, without consuming any of it.
    /// A caller that batches work into one write keeps collecting until this returns.
    async fn wait_for_budget(&self, _priority: Priority) {}

    /// Grants a lease that expires after `ttl` without a renewal.
    async fn grant(&self, ttl: Millis) -> Result<Lease>;

    /// Renews a lease. Returns `false` if it has ended.
    async fn renew(&self, lease: Lease) -> Result<bool>;

    /// Revokes a lease and removes its keys.
    async fn revoke(&self, lease: Lease) -> Result<()>;

    /// Watches the keys that begin with `prefix`, starting at `revision`, or at the oldest revision
    /// that the platform still keeps if that is later. The caller lists the keys first, and passes
    /// one more than the highest revision listed. The channel closes when the watch breaks off; the
    /// caller then lists and watches again.
    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>>;

    /// Reads the list of VMs and endpoints.
    async fn machines(&self) -> Result<Vec<Machine>>;
}
