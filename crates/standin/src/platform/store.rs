//! In-memory key-value store of the platform stand-in, with revisions, leases and watches.

use bytes::Bytes;
use tokio::sync::mpsc;
use wire::clock::Millis;

/// Maximum number of undelivered changes of a watch; one more ends the watch.
const MAX_UNDELIVERED: usize = 4096;

/// A key with its value and metadata.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The revision that created the key.
    pub created: u64,
    /// The revision of the last change of the key.
    pub modified: u64,
    /// Number of times that the key was set since its creation; 1 after the creation.
    pub version: u64,
    /// The lease that the key is attached to, or 0. The key is removed when the lease ends.
    pub lease: u64,
}

/// The keys from `start` (inclusive) to `end` (exclusive).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyRange {
    /// The first key.
    pub start: Bytes,
    /// The end: empty for the single key `start`, one zero byte for all keys from `start` on.
    pub end: Bytes,
}

impl KeyRange {
    /// Returns whether the range contains `key`.
    #[must_use]
    pub fn contains(&self, key: &[u8]) -> bool {
        if self.end.is_empty() {
            return key == self.start;
        }
        key >= &self.start[..] && (self.end[..] == [0] || key < &self.end[..])
    }
}

/// A change of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was set.
    Put(Item),
    /// The key was removed.
    Delete {
        /// The key.
        key: Bytes,
        /// The revision of the removal.
        revision: u64,
    },
}

impl Change {
    fn key(&self) -> &[u8] {
        match self {
            Self::Put(item) => &item.key,
            Self::Delete { key, .. } => key,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.modified,
            Self::Delete { revision, .. } => *revision,
        }
    }
}

struct Lease {
    id: u64,
    ttl: Millis,
    end: Millis,
}

struct Watch {
    keys: KeyRange,
    sender: mpsc::Sender<Change>,
}

/// The store. `items` is sorted by key, `leases` by id.
pub struct Store {
    min_history: usize,
    /// The revision of the oldest change kept; 0 while no change has been dropped.
    compacted: u64,
    revision: u64,
    items: Vec<Item>,
    leases: Vec<Lease>,
    last_lease: u64,
    /// The latest changes, oldest first.
    changes: Vec<Change>,
    watches: Vec<Watch>,
}

impl Store {
    /// Creates an empty store that keeps at least the last `min_history` changes for watches that
    /// start at an earlier revision.
    #[must_use]
    pub fn new(min_history: usize) -> Self {
        Self {
            min_history,
            compacted: 0,
            revision: 0,
            items: Vec::new(),
            leases: Vec::new(),
            last_lease: 0,
            changes: Vec::new(),
            watches: Vec::new(),
        }
    }

    /// Returns the current revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the item of `key`.
    #[must_use]
    pub fn item(&self, key: &[u8]) -> Option<&Item> {
        self.find(key).ok().map(|at| &self.items[at])
    }

    /// Iterates over the items in a key range, in the order of their keys.
    pub fn items<'a>(&'a self, keys: &'a KeyRange) -> impl Iterator<Item = &'a Item> {
        let first = self.find(&keys.start).unwrap_or_else(|at| at);
        self.items[first..]
            .iter()
            .take_while(|item| keys.contains(&item.key))
    }

    /// Starts a write: all changes until the next call get the new revision.
    pub fn advance(&mut self) {
        self.revision += 1;
    }

    /// Sets a key at the current revision.
    pub fn put(&mut self, key: Bytes, value: Bytes, lease: u64) {
        let revision = self.revision;
        let at = self.find(&key);
        let (created, version) = match at {
            Ok(at) => (self.items[at].created, self.items[at].version + 1),
            Err(_) => (revision, 1),
        };
        let item = Item {
            key,
            value,
            created,
            modified: revision,
            version,
            lease,
        };
        match at {
            Ok(at) => self.items[at] = item.clone(),
            Err(at) => self.items.insert(at, item.clone()),
        }
        self.record(Change::Put(item));
    }

    /// Removes the keys in a range at the current revision and returns their number.
    pub fn delete(&mut self, range: &KeyRange) -> usize {
        let keys: Vec<Bytes> = self.items(range).map(|item| item.key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        keys.len()
    }

    /// Creates a lease and returns its id, or `None` if the id is taken. For `id` 0 the store
    /// chooses an id.
    pub fn grant(&mut self, id: u64, ttl: Millis, now: Millis) -> Option<u64> {
        self.last_lease += 1;
        let id = if id == 0 { self.last_lease } else { id };
        let at = self.find_lease(id).err()?;
        let end = now.plus(ttl);
        self.leases.insert(at, Lease { id, ttl, end });
        Some(id)
    }

    /// Returns whether the lease exists and has not ended.
    #[must_use]
    pub fn has_lease(&self, id: u64) -> bool {
        self.find_lease(id).is_ok()
    }

    /// Renews a lease and returns its TTL, or `None` if it has ended.
    pub fn renew(&mut self, id: u64, now: Millis) -> Option<Millis> {
        let at = self.find_lease(id).ok()?;
        let lease = &mut self.leases[at];
        lease.end = now.plus(lease.ttl);
        Some(lease.ttl)
    }

    /// Ends a lease and removes its keys; returns `false` if it had already ended.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Ok(at) = self.find_lease(id) else {
            return false;
        };
        self.leases.remove(at);
        let attached = self.items.iter().filter(|item| item.lease == id);
        let keys: Vec<Bytes> = attached.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.advance();
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends the leases that were not renewed in time.
    pub fn expire(&mut self, now: Millis) {
        let expired = self.leases.iter().filter(|lease| lease.end <= now);
        let ids: Vec<u64> = expired.map(|lease| lease.id).collect();
        for id in ids {
            self.revoke(id);
        }
    }

    /// Watches a key range from revision `start` on; 0 means from the next revision on.
    ///
    /// # Errors
    ///
    /// Returns the oldest revision that can be watched if `start` is older, or the next revision if
    /// more changes were missed than a watch can hold.
    pub fn watch(&mut self, keys: KeyRange, start: u64) -> Result<mpsc::Receiver<Change>, u64> {
        let start = if start == 0 { self.revision + 1 } else { start };
        if start < self.compacted {
            return Err(self.compacted);
        }
        let (sender, receiver) = mpsc::channel(MAX_UNDELIVERED);
        let missed = self.changes.iter().filter(|c| c.revision() >= start);
        for change in missed.filter(|c| keys.contains(c.key())) {
            sender
                .try_send(change.clone())
                .map_err(|_| self.revision + 1)?;
        }
        self.watches.push(Watch { keys, sender });
        Ok(receiver)
    }

    /// Ends all watches.
    pub fn end_watches(&mut self) {
        self.watches.clear();
    }

    /// Returns the number of open watches.
    pub fn watches(&mut self) -> usize {
        self.watches.retain(|watch| !watch.sender.is_closed());
        self.watches.len()
    }

    fn find(&self, key: &[u8]) -> std::result::Result<usize, usize> {
        self.items.binary_search_by(|item| item.key[..].cmp(key))
    }

    fn find_lease(&self, id: u64) -> std::result::Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |lease| lease.id)
    }

    fn remove(&mut self, key: &Bytes) {
        let Ok(at) = self.find(key) else {
            return;
        };
        self.items.remove(at);
        self.record(Change::Delete {
            key: key.clone(),
            revision: self.revision,
        });
    }

    fn record(&mut self, change: Change) {
        self.watches.retain(|watch| {
            !watch.keys.contains(change.key()) || watch.sender.try_send(change.clone()).is_ok()
        });
        self.changes.push(change);
        // Dropping half of the changes at once keeps the cost per change small.
        if self.changes.len() > 2 * self.min_history {
            self.changes.drain(..self.min_history);
            self.compacted = self.changes.first().map_or(0, Change::revision);
        }
    }
}
