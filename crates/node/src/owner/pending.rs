//! The requests that a shard processes, from their arrival to their last reply. The journal
//! contains a turn only once it starts; this list also contains turns that wait for an endpoint, so
//! that a repeated request joins the first one.

use tokio_util::sync::CancellationToken;
use wire::id;

use crate::owner::feed::Feed;

/// Identifies a request. Turns sort before calls.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// The turn of a program that is in progress; there is at most one.
    Turn(id::Program),
    /// A call, by its idempotency key.
    Call(id::Program, id::Key),
}

/// A request in progress.
#[derive(Clone, Debug)]
pub struct Pending {
    /// Its name.
    pub name: Name,
    /// The caller that made the request.
    pub caller: id::Caller,
    /// The turn's number; 0 for a call.
    pub turn: u32,
    /// The digest of its content.
    pub digest: id::Digest,
    /// Its replies.
    pub feed: Feed,
    /// Cancels its task.
    pub cancel: CancellationToken,
}

/// The requests in progress, sorted by name.
#[derive(Debug, Default)]
pub struct List(Vec<Pending>);

impl List {
    /// Returns the request of this name.
    #[must_use]
    pub fn find(&self, name: &Name) -> Option<&Pending> {
        let at = self.0.binary_search_by(|p| p.name.cmp(name)).ok()?;
        Some(&self.0[at])
    }

    /// Adds a request; has no effect if one of the same name is present.
    pub fn insert(&mut self, pending: Pending) {
        if let Err(at) = self.0.binary_search_by(|p| p.name.cmp(&pending.name)) {
            self.0.insert(at, pending);
        }
    }

    /// Removes a request.
    pub fn remove(&mut self, name: &Name) {
        if let Ok(at) = self.0.binary_search_by(|p| p.name.cmp(name)) {
            self.0.remove(at);
        }
    }

    /// Returns an iterator over the requests.
    pub fn iter(&self) -> impl Iterator<Item = &Pending> {
        self.0.iter()
    }

    /// Returns whether no request is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
