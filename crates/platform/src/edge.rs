//! The trait that each adapter of the platform implements, and its data.

use async_trait::async_trait;
use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::mpsc;
use wire::clock::Millis;
use wire::id;

/// The largest value in bytes that the platform holds.
pub const MAX_VALUE: usize = 1024 * 1024;

/// Why a call of the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The call had no effect: it never reached the platform, or the platform refused it.
    #[display("the platform doesn't answer: {_0}")]
    Down(#[error(not(source))] String),
    /// The call may have taken effect, or may still do so later.
    #[display("the outcome isn't known: {_0}")]
    Unknown(#[error(not(source))] String),
    /// The call had no effect, as the rate budget of this VM or the platform's limit is used up.
    #[display("over the rate limit, again in {_0}")]
    Limited(#[error(not(source))] Millis),
    /// The call had no effect, as the platform doesn't take it: a value over [`MAX_VALUE`], say.
    #[display("the platform doesn't take the call: {_0}")]
    Invalid(#[error(not(source))] String),
}

/// The outcome of a call of the platform.
pub type Result<T> = std::result::Result<T, Fault>;

/// How much a call matters when the rate budget is short; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Intents of calls that may run at most once, and commits that a caller waits for.
    Commit,
    /// Changes of the configuration.
    Change,
    /// Claims and leases.
    Claim,
    /// Snapshots, sweeps and other work that can wait.
    Background,
}

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The revision of the platform at which the key last changed; never 0.
    pub revision: u64,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Compare {
    /// The key.
    pub key: String,
    /// The revision at which the key must have changed last; 0 demands that it is absent.
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
        /// The lease whose end removes the key.
        lease: Option<Lease>,
    },
    /// Removes a key; an absent one is no fault.
    Delete(String),
}

/// Writes that take effect together, or not at all, where every condition holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Txn {
    /// The conditions.
    pub compares: Vec<Compare>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect at this revision of the platform.
    Applied(u64),
    /// A condition failed; the present entries of the compared keys that exist.
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

/// Where a VM stands, as far as the platform's list knows; the list lags.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Standing {
    /// The VM runs.
    Live,
    /// The VM is about to leave.
    Leaving,
}

/// A line of the platform's list. A VM that is absent from the list is gone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The VM's or endpoint's name.
    pub name: String,
    /// Its data centre.
    pub centre: id::Centre,
    /// Whether it stays.
    pub standing: Standing,
}

/// The platform as the system sees it.
///
/// # Errors
///
/// Every call fails with a [`Fault`] that tells whether it can have taken effect.
#[async_trait]
pub trait Platform: Send + Sync + 'static {
    /// Lists up to `limit` entries whose keys begin with `prefix` and are not below `from`, in
    /// the order of their keys. An empty `from` lists from the start.
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>>;

    /// Reads one key.
    async fn read(&self, key: &str) -> Result<Option<Entry>>;

    /// Runs a transaction.
    async fn commit(&self, txn: &Txn, priority: Priority) -> Result<Outcome>;

    /// Waits until a write of this priority fits the VM's rate budget, and takes nothing of it. Who
    /// gathers work for one write gathers it until then.
    async fn wait_for_budget(&self, _weight: Priority) {}

    /// Makes a lease that ends after `ttl` without a renewal.
    async fn grant(&self, ttl: Millis) -> Result<Lease>;

    /// Renews a lease; `false` where it has ended.
    async fn renew(&self, lease: Lease) -> Result<bool>;

    /// Ends a lease and removes its keys.
    async fn revoke(&self, lease: Lease) -> Result<()>;

    /// Watches the keys that begin with `prefix`, from `revision` on or, where that is older, from
    /// the oldest that the platform still knows. The caller lists before it watches, and passes
    /// one more than the highest revision listed. The channel closes when the watch breaks off;
    /// the caller then lists again and watches anew.
    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>>;

    /// Reads the list of VMs and endpoints.
    async fn machines(&self) -> Result<Vec<Machine>>;
}
