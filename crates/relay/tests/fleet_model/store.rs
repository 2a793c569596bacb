//! A stand-in for the key-value service: keys with revisions, lists, changes since a revision, and
//! copies that are seconds old.

use std::collections::BTreeMap;

use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::Update;
use platform::edge::Change;
use platform::edge::Entry;

/// Bytes of an entry in the service's answers, apart from key and value.
const ENTRY_OVERHEAD_BYTES: usize = 48;

/// The key-value service.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    items: BTreeMap<String, Entry>,
    changes: Vec<(u64, Change)>,
    copy: BTreeMap<String, Entry>,
    copy_revision: u64,
}

impl Store {
    /// Writes a key.
    pub fn put(&mut self, key: &str, value: &[u8]) {
        self.revision += 1;
        let entry = Entry {
            key: key.to_owned(),
            value: value.to_vec(),
            revision: self.revision,
        };
        self.items.insert(key.to_owned(), entry.clone());
        self.changes.push((self.revision, Change::Set(entry)));
    }

    /// Returns a key's entry.
    pub fn entry(&self, key: &str) -> Option<&Entry> {
        self.items.get(key)
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Removes a key.
    pub fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let change = Change::Removed {
            key: key.to_owned(),
            revision: self.revision,
        };
        self.changes.push((self.revision, change));
    }

    /// Renews the copy that reads with [`Freshness::Stale`] get.
    pub fn renew_copy(&mut self) {
        self.copy.clone_from(&self.items);
        self.copy_revision = self.revision;
    }

    /// Returns the entries under a prefix.
    pub fn list(&self, prefix: &str, freshness: Freshness) -> Listing {
        let (items, revision) = match freshness {
            Freshness::Latest => (&self.items, self.revision),
            Freshness::Stale => (&self.copy, self.copy_revision),
        };
        let under = items.range(prefix.to_owned()..);
        let under = under.take_while(|(key, _)| key.starts_with(prefix));
        Listing {
            entries: under.map(|(_, entry)| entry.clone()).collect(),
            revision,
            ..Listing::default()
        }
    }

    /// Returns the changes under a prefix after a revision.
    pub fn changes(&self, prefix: &str, after: u64) -> Update {
        let first = self
            .changes
            .partition_point(|(revision, _)| *revision <= after);
        let later = self.changes[first..].iter().map(|(_, change)| change);
        let under = later.filter(|change| key(change).starts_with(prefix));
        Update::Changes {
            changes: under.cloned().collect(),
            revision: self.revision,
        }
    }

    /// Returns whether anything changed under a prefix after a revision.
    pub fn has_changed(&self, prefix: &str, after: u64) -> bool {
        matches!(self.changes(prefix, after), Update::Changes { changes, .. } if !changes.is_empty())
    }
}

fn key(change: &Change) -> &str {
    match change {
        Change::Set(entry) => &entry.key,
        Change::Removed { key, .. } => key,
    }
}

/// Returns the size of a list in bytes, with values in base64.
pub fn listing_bytes(listing: &Listing) -> usize {
    listing.entries.iter().map(entry_bytes).sum()
}

/// Returns the size of changes in bytes, with values in base64.
pub fn update_bytes(update: &Update) -> usize {
    let Update::Changes { changes, .. } = update else {
        return 0;
    };
    let bytes = |change: &Change| match change {
        Change::Set(entry) => entry_bytes(entry),
        Change::Removed { key, .. } => ENTRY_OVERHEAD_BYTES + key.len(),
    };
    changes.iter().map(bytes).sum()
}

/// Returns the size of an entry in bytes, with its value in base64.
pub fn entry_bytes(entry: &Entry) -> usize {
    ENTRY_OVERHEAD_BYTES + entry.key.len() + entry.value.len().div_ceil(3) * 4
}
