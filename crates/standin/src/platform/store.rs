//! The key-value store behind the stand-in platform: revisions, leases and watches in memory.

use bytes::Bytes;
use tokio::sync::mpsc;
use wire::clock::Millis;

/// How many undelivered changes a watch holds before it is ended.
const WATCH_DEPTH: usize = 4096;

/// A key with what the store knows of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The key.
    pub key: Bytes,
    /// The value.
    pub value: Bytes,
    /// The revision that made the key.
    pub created: u64,
    /// The revision that changed it last.
    pub modified: u64,
    /// Its changes since it was made, from 1.
    pub version: u64,
    /// The lease whose end removes it; 0 for none.
    pub lease: u64,
}

/// Keys from `from` up to and without `to`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Span {
    /// The first key.
    pub from: Bytes,
    /// The end: empty for the one key `from`, a zero byte for all that follow.
    pub to: Bytes,
}

impl Span {
    /// Tells whether a key lies in the span.
    #[must_use]
    pub fn holds(&self, key: &[u8]) -> bool {
        if self.to.is_empty() {
            return key == self.from;
        }
        key >= &self.from[..] && (self.to[..] == [0] || key < &self.to[..])
    }
}

/// What happened to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// It was set.
    Put(Item),
    /// It was removed at this revision.
    Delete {
        /// The key.
        key: Bytes,
        /// The revision.
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

struct Term {
    id: u64,
    ttl: Millis,
    end: Millis,
}

struct Watch {
    span: Span,
    sender: mpsc::Sender<Change>,
}

/// The store. Items are sorted by key, leases by id.
pub struct Store {
    kept: usize,
    compacted: u64,
    revision: u64,
    items: Vec<Item>,
    leases: Vec<Term>,
    last_lease: u64,
    changes: Vec<Change>,
    watches: Vec<Watch>,
}

impl Store {
    /// Makes an empty store that keeps at least the last `kept` changes for watches which start at
    /// an earlier revision.
    #[must_use]
    pub fn new(kept: usize) -> Self {
        Self {
            kept,
            compacted: 0,
            revision: 0,
            items: Vec::new(),
            leases: Vec::new(),
            last_lease: 0,
            changes: Vec::new(),
            watches: Vec::new(),
        }
    }

    /// Yields the present revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Finds one key.
    #[must_use]
    pub fn item(&self, key: &[u8]) -> Option<&Item> {
        self.find(key).ok().map(|at| &self.items[at])
    }

    /// Walks the items of a span by key.
    pub fn items<'a>(&'a self, span: &'a Span) -> impl Iterator<Item = &'a Item> {
        let first = self.find(&span.from).unwrap_or_else(|at| at);
        self.items[first..]
            .iter()
            .take_while(|item| span.holds(&item.key))
    }

    /// Begins a write; all changes until the next call share its revision.
    pub fn advance(&mut self) {
        self.revision += 1;
    }

    /// Sets a key at the present revision.
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
        self.tell(Change::Put(item));
    }

    /// Removes the keys of a span at the present revision and counts them.
    pub fn delete(&mut self, span: &Span) -> usize {
        let keys: Vec<Bytes> = self.items(span).map(|item| item.key.clone()).collect();
        for key in &keys {
            self.remove(key);
        }
        keys.len()
    }

    /// Makes a lease; `id` 0 draws one.
    pub fn grant(&mut self, id: u64, ttl: Millis, now: Millis) -> Option<u64> {
        self.last_lease += 1;
        let id = if id == 0 { self.last_lease } else { id };
        let at = self.term(id).err()?;
        let end = now.plus(ttl);
        self.leases.insert(at, Term { id, ttl, end });
        Some(id)
    }

    /// Tells whether a lease holds.
    #[must_use]
    pub fn leased(&self, id: u64) -> bool {
        self.term(id).is_ok()
    }

    /// Renews a lease and yields its span; `None` where it has ended.
    pub fn renew(&mut self, id: u64, now: Millis) -> Option<Millis> {
        let at = self.term(id).ok()?;
        let term = &mut self.leases[at];
        term.end = now.plus(term.ttl);
        Some(term.ttl)
    }

    /// Ends a lease and removes its keys; `false` where it had ended.
    pub fn revoke(&mut self, id: u64) -> bool {
        let Ok(at) = self.term(id) else {
            return false;
        };
        self.leases.remove(at);
        let held = self.items.iter().filter(|item| item.lease == id);
        let keys: Vec<Bytes> = held.map(|item| item.key.clone()).collect();
        if !keys.is_empty() {
            self.advance();
        }
        for key in keys {
            self.remove(&key);
        }
        true
    }

    /// Ends the leases that weren't renewed in time.
    pub fn expire(&mut self, now: Millis) {
        let ended = self.leases.iter().filter(|term| term.end <= now);
        let ids: Vec<u64> = ended.map(|term| term.id).collect();
        for id in ids {
            self.revoke(id);
        }
    }

    /// Watches a span from a revision on; a start of 0 means from now on.
    ///
    /// # Errors
    ///
    /// Fails with the oldest revision that can be watched where the start is older.
    pub fn watch(&mut self, span: Span, start: u64) -> Result<mpsc::Receiver<Change>, u64> {
        let start = if start == 0 { self.revision + 1 } else { start };
        if start < self.compacted {
            return Err(self.compacted);
        }
        let (sender, receiver) = mpsc::channel(WATCH_DEPTH);
        let missed = self.changes.iter().filter(|c| c.revision() >= start);
        for change in missed.filter(|c| span.holds(c.key())) {
            sender
                .try_send(change.clone())
                .map_err(|_| self.revision + 1)?;
        }
        self.watches.push(Watch { span, sender });
        Ok(receiver)
    }

    /// Ends every watch.
    pub fn break_watches(&mut self) {
        self.watches.clear();
    }

    /// Counts the watches that wait.
    pub fn watches(&mut self) -> usize {
        self.watches.retain(|watch| !watch.sender.is_closed());
        self.watches.len()
    }

    fn find(&self, key: &[u8]) -> std::result::Result<usize, usize> {
        self.items.binary_search_by(|item| item.key[..].cmp(key))
    }

    fn term(&self, id: u64) -> std::result::Result<usize, usize> {
        self.leases.binary_search_by_key(&id, |term| term.id)
    }

    fn remove(&mut self, key: &Bytes) {
        let Ok(at) = self.find(key) else {
            return;
        };
        self.items.remove(at);
        self.tell(Change::Delete {
            key: key.clone(),
            revision: self.revision,
        });
    }

    fn tell(&mut self, change: Change) {
        self.watches.retain(|watch| {
            !watch.span.holds(change.key()) || watch.sender.try_send(change.clone()).is_ok()
        });
        self.changes.push(change);
        // Dropping half at once keeps the cost of forgetting small for each change.
        if self.changes.len() > 2 * self.kept {
            self.changes.drain(..self.kept);
            self.compacted = self.changes.first().map_or(0, Change::revision);
        }
    }
}
