//! The workspaces of a configuration, looked up by the keys of their callers.

use std::sync::Arc;

use adapter::config;
use adapter::config::Limit;
use adapter::key::Digest;
use xxhash_rust::xxh3::xxh3_64;

/// The most keys that are remembered after they were taken away, for the reason of a refusal.
const MAX_REVOKED: usize = 1_024;

/// A workspace.
#[derive(Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name, which runners are told.
    pub name: String,
    /// A digest of its name, by which VMs tell each other its usage.
    pub id: u64,
    /// The priority of its requests, in place of their routes'.
    pub priority: Option<u8>,
    /// How many requests it may have run, at all VMs together.
    pub limit: Option<Limit>,
}

/// The workspaces of one version of the configuration.
#[derive(Debug, Default)]
pub struct Index {
    /// The holders of keys, sorted by key.
    holders: Vec<Holder>,
    /// Keys that were taken away, oldest first.
    revoked: Vec<Digest>,
}

#[derive(Debug)]
struct Holder {
    key: Digest,
    workspace: Arc<Workspace>,
}

/// What is known of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Lookup {
    /// A workspace holds it.
    Held(Arc<Workspace>),
    /// It was taken away.
    Revoked,
    /// No configuration that this process has seen holds it.
    Unknown,
}

impl Index {
    /// Indexes the workspaces of a configuration; `previous` is the index of the version before.
    #[must_use]
    pub fn new(workspaces: Vec<config::Workspace>, previous: Option<&Self>) -> Self {
        let mut holders = Vec::new();
        for from in workspaces {
            let workspace = Arc::new(Workspace {
                id: xxh3_64(from.name.as_bytes()),
                name: from.name,
                priority: from.priority,
                limit: from.limit,
            });
            holders.extend(from.keys.into_iter().map(|key| Holder {
                key,
                workspace: workspace.clone(),
            }));
        }
        holders.sort_by_key(|holder| holder.key);
        let mut index = Self {
            holders,
            revoked: Vec::new(),
        };
        if let Some(previous) = previous {
            index.revoked = index.revoked_since(previous);
        }
        index
    }

    /// Returns the keys that were taken away up to this version, the latest ones if there are many.
    fn revoked_since(&self, previous: &Self) -> Vec<Digest> {
        let before = previous.revoked.iter().copied();
        let taken = previous.holders.iter().map(|holder| holder.key);
        let mut revoked: Vec<Digest> = before
            .chain(taken)
            .filter(|key| self.find(*key).is_none())
            .collect();
        let excess = revoked.len().saturating_sub(MAX_REVOKED);
        revoked.drain(..excess);
        revoked
    }

    fn find(&self, key: Digest) -> Option<&Arc<Workspace>> {
        let found = self.holders.binary_search_by_key(&key, |holder| holder.key);
        found.ok().map(|index| &self.holders[index].workspace)
    }

    /// Looks a key up.
    #[must_use]
    pub fn lookup(&self, key: Digest) -> Lookup {
        if let Some(workspace) = self.find(key) {
            return Lookup::Held(workspace.clone());
        }
        if self.revoked.contains(&key) {
            return Lookup::Revoked;
        }
        Lookup::Unknown
    }
}

#[cfg(test)]
mod tests;
