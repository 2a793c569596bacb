//! The runners' entries as they were read, for VMs that don't read them from the key-value service.
//!
//! The entries change with each heartbeat, so a watch of every VM would cost the service a call a
//! VM every few hundred milliseconds. One VM of a data centre watches and passes changes that
//! matter on; a VM that is cut off from the service, or turned away, still learns of them.

use serde::Deserialize;
use serde::Serialize;

/// All entries at one revision of the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// The revision of the last change that mattered.
    pub revision: u64,
    /// The entries' bytes by runner, in the order of their ids.
    pub entries: Vec<(String, Vec<u8>)>,
}

/// Whether a change of an entry matters to other VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChangeKind {
    /// Only a heartbeat.
    Heartbeat,
    /// A runner that appears, leaves or is gone.
    Significant,
}

impl Roster {
    /// Notes an entry.
    pub fn set(&mut self, id: &str, bytes: &[u8], revision: u64, kind: ChangeKind) {
        match self.find(id) {
            Ok(at) => self.entries[at].1 = bytes.to_vec(),
            Err(at) => self.entries.insert(at, (id.to_owned(), bytes.to_vec())),
        }
        self.note_change(revision, kind);
    }

    /// Notes that an entry is gone.
    pub fn remove(&mut self, id: &str, revision: u64) {
        if let Ok(at) = self.find(id) {
            self.entries.remove(at);
            self.note_change(revision, ChangeKind::Significant);
        }
    }

    /// Drops the entries that a list of the key-value service lacks; `listed` is in the order of ids.
    pub fn retain_listed(&mut self, listed: &[String], revision: u64) {
        let before = self.entries.len();
        self.entries
            .retain(|(id, _)| listed.binary_search(id).is_ok());
        if self.entries.len() < before {
            self.note_change(revision, ChangeKind::Significant);
        }
    }

    /// Notes that the entries are all that there were at a revision.
    ///
    /// A VM that starts has no entry that could tell it of a removal just before. Were its knowledge
    /// as old as its newest entry, it would take over what another VM knew before the removal, and
    /// the runner that is gone would get requests until it ends.
    pub fn raise_revision(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(key, _)| key.as_str().cmp(id))
    }

    fn note_change(&mut self, revision: u64, kind: ChangeKind) {
        if kind == ChangeKind::Significant {
            self.revision = self.revision.max(revision);
        }
    }
}

#[cfg(test)]
mod tests;
