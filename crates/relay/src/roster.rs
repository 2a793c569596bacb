//! The runners' entries as they were read, for VMs that don't read them from the key-value service.
//!
//! The entries change with each heartbeat, so if every VM watched them, each watch would cost the
//! service a call every few hundred milliseconds. Instead, one VM watches and forwards the changes
//! that matter. A VM that is cut off from the service, or refused by it, still learns of them.
//!
//! Where the recipient's entries are only a few changes behind, just these are sent ([`Delta`]): the
//! entries of thousands of runners are hundreds of kilobytes, and while runners start or are replaced
//! they change several times a second.

pub mod transfer;

use std::collections::VecDeque;

use serde::Deserialize;
use serde::Serialize;
use wire::event::Event;

/// Number of significant changes that are remembered to be sent as deltas. A VM that is further
/// behind gets all entries.
const MAX_LOGGED: usize = 2_048;
/// Number of gaps in the log that are remembered. Deltas then begin after the oldest one.
const MAX_GAPS: usize = 64;

/// All entries at one revision of the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Roster {
    /// Revision of the last significant change.
    pub revision: u64,
    /// The encoded entries by runner, sorted by id.
    pub entries: Vec<(String, Vec<u8>)>,
    /// The latest significant changes, oldest first.
    #[serde(skip)]
    log: VecDeque<Logged>,
    /// The revision after which the log is complete but for the gaps.
    #[serde(skip)]
    logged_since: u64,
    /// Oldest first.
    #[serde(skip)]
    gaps: VecDeque<Gap>,
}

/// Two revisions at which the entries are known, but not all between them: what was added and removed
/// again is in neither.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Gap {
    from: u64,
    to: u64,
}

/// A significant change of a runner's entry.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Logged {
    revision: u64,
    id: String,
}

/// What changed between two revisions.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Revision of the entries to which the changes apply.
    pub from: u64,
    /// Revision of the entries with the changes.
    pub revision: u64,
    /// Entries that were added or changed, sorted by id.
    pub changed: Vec<(String, Vec<u8>)>,
    /// Runners whose entries were removed, sorted by id.
    pub removed: Vec<String>,
}

/// How a VM's entries got to a later revision, for the log.
#[derive(Clone, Copy, Debug)]
pub struct Step<'a> {
    /// Where the entries came from.
    pub source: Source<'a>,
    /// Revision before.
    pub from: u64,
    /// Number of entries that were added or changed.
    pub changed: usize,
    /// Number of entries that were removed.
    pub removed: usize,
}

/// Where entries came from.
#[derive(Clone, Copy, Debug)]
pub enum Source<'a> {
    /// A list of the key-value service.
    List,
    /// All entries of another VM.
    Whole(&'a str),
    /// The changes that another VM sent.
    Changes(&'a str),
}

/// Whether other VMs need to learn of a change of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Only a heartbeat.
    Heartbeat,
    /// A runner appeared, began to leave or is gone.
    Significant,
}

impl Roster {
    /// Adds or updates an entry. An entry that is added is always significant: if it had lapsed in
    /// an outage, the VM may have gone on using the runner while others have dropped it.
    pub fn set(&mut self, id: &str, bytes: &[u8], revision: u64, change: Change) {
        match self.find(id) {
            Ok(index) => {
                self.entries[index].1 = bytes.to_vec();
                self.note_change(id, revision, change);
            }
            Err(index) => {
                self.entries.insert(index, (id.to_owned(), bytes.to_vec()));
                self.note_change(id, revision, Change::Significant);
            }
        }
    }

    /// Removes an entry.
    pub fn remove(&mut self, id: &str, revision: u64) {
        if let Ok(index) = self.find(id) {
            self.entries.remove(index);
            self.note_change(id, revision, Change::Significant);
        }
    }

    /// Removes the entries that are missing in a list of the key-value service; `listed` is sorted.
    /// Returns how many.
    pub fn retain_listed(&mut self, listed: &[String], revision: u64) -> usize {
        let is_missing = |(id, _): &mut (String, Vec<u8>)| listed.binary_search(id).is_err();
        let missing: Vec<_> = self.entries.extract_if(.., is_missing).collect();
        for (id, _) in &missing {
            self.note_change(id, revision, Change::Significant);
        }
        missing.len()
    }

    /// Returns what changed since a revision; `None` if that isn't known, or is most of the entries.
    ///
    /// A VM whose entries are of a revision within a gap may have some of which this one never knew.
    #[must_use]
    pub fn delta(&self, since: u64) -> Option<Delta> {
        if since < self.logged_since || since == 0 {
            return None;
        }
        let mut gaps = self.gaps.iter();
        if gaps.any(|gap| gap.from < since && since < gap.to) {
            return None;
        }
        let later = self.log.iter().filter(|logged| logged.revision > since);
        let mut ids: Vec<&str> = later.map(|logged| logged.id.as_str()).collect();
        ids.sort_unstable();
        ids.dedup();
        if ids.len() * 2 > self.entries.len() {
            return None;
        }
        let mut delta = Delta {
            from: since,
            revision: self.revision,
            changed: Vec::new(),
            removed: Vec::new(),
        };
        for id in ids {
            match self.find(id) {
                Ok(index) => delta.changed.push(self.entries[index].clone()),
                Err(_) => delta.removed.push(id.to_owned()),
            }
        }
        Some(delta)
    }

    /// Applies changes. Returns whether they applied: the entries must be those of the revision at
    /// which the changes begin.
    pub fn apply(&mut self, delta: &Delta) -> bool {
        if self.revision != delta.from {
            return false;
        }
        for (id, bytes) in &delta.changed {
            self.set(id, bytes, delta.revision, Change::Significant);
        }
        for id in &delta.removed {
            self.remove(id, delta.revision);
        }
        self.note_gap(delta.from, delta.revision);
        true
    }

    /// Replaces all entries by those that another VM sent.
    pub fn replace(&mut self, other: Self) {
        *self = other;
        self.begin_log();
    }

    /// Logs how the entries got to their revision.
    pub fn log_step(&self, step: &Step<'_>) {
        let (form, sender) = match step.source {
            Source::List => ("list", ""),
            Source::Whole(vm) => ("whole", vm),
            Source::Changes(vm) => ("changes", vm),
        };
        log::info!(
            "event=E{} text=\"{}\" as={form} heard_from={sender} from={} to={} changed={} removed={} entries={}",
            Event::EntriesTaken.number(),
            Event::EntriesTaken.text(),
            step.from,
            self.revision,
            step.changed,
            step.removed,
            self.entries.len()
        );
    }

    /// Records that the entries, which were those of revision `before`, are now those of a list that
    /// was read at `revision`, unless they are newer.
    ///
    /// The revision of the newest entry isn't enough: a VM that starts has no entry that reveals a removal
    /// just before its start, and would accept the older entries of another VM.
    pub fn note_listed(&mut self, before: u64, revision: u64) {
        if revision >= self.revision {
            self.note_gap(before, revision);
        }
    }

    /// Records that the entries have become those of a later revision at once.
    fn note_gap(&mut self, from: u64, to: u64) {
        self.revision = to;
        if from == 0 {
            self.begin_log();
        }
        if from == 0 || from == to {
            return;
        }
        self.gaps.push_back(Gap { from, to });
        if self.gaps.len() > MAX_GAPS
            && let Some(oldest) = self.gaps.pop_front()
        {
            self.logged_since = self.logged_since.max(oldest.to);
        }
    }

    /// Empties the log: what changed up to the present revision isn't known.
    fn begin_log(&mut self) {
        self.logged_since = self.revision;
        self.log.clear();
        self.gaps.clear();
    }

    fn find(&self, id: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|(key, _)| key.as_str().cmp(id))
    }

    fn note_change(&mut self, id: &str, revision: u64, change: Change) {
        if change == Change::Heartbeat {
            return;
        }
        self.revision = self.revision.max(revision);
        self.log.push_back(Logged {
            revision: self.revision,
            id: id.to_owned(),
        });
        if self.log.len() > MAX_LOGGED
            && let Some(dropped) = self.log.pop_front()
        {
            self.logged_since = dropped.revision;
        }
    }
}

#[cfg(test)]
mod tests;
