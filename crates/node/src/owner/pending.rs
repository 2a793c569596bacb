//! The requests that a shard works on, from their arrival to their last reply. The journal knows
//! of a turn only once it starts; what waits for an endpoint before stands here, so that the same
//! request asked again joins it.

use tokio_util::sync::CancellationToken;
use wire::id;

use crate::owner::feed::Feed;

/// What a request is known by. Turns come before calls in the order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Name {
    /// The one turn of a program that is under way.
    Turn(id::Program),
    /// A call by its idempotency key.
    Call(id::Program, id::Key),
}

/// A request under way.
#[derive(Clone, Debug)]
pub struct Pending {
    /// What it is known by.
    pub name: Name,
    /// Who asked.
    pub caller: id::Caller,
    /// The turn; 0 for a call.
    pub turn: u32,
    /// The digest of its content.
    pub digest: id::Digest,
    /// Its replies.
    pub feed: Feed,
    /// Ends its task.
    pub cancel: CancellationToken,
}

/// The requests under way, sorted by name.
#[derive(Debug, Default)]
pub struct List(Vec<Pending>);

impl List {
    /// Looks a request up.
    #[must_use]
    pub fn find(&self, name: &Name) -> Option<&Pending> {
        let at = self.0.binary_search_by(|p| p.name.cmp(name)).ok()?;
        Some(&self.0[at])
    }

    /// Adds a request that isn't there yet.
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

    /// Walks the requests.
    pub fn iter(&self) -> impl Iterator<Item = &Pending> {
        self.0.iter()
    }

    /// Tells whether nothing is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
