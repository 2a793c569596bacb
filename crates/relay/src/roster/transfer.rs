//! Transfers many runners' entries in parts.
//!
//! The entries of thousands of runners are hundreds of kilobytes. In one message they would take a
//! small VM's link longer than an exchange may last, so that a VM that starts would ask for them again
//! and again, and would hold several copies at once.

use serde::Deserialize;
use serde::Serialize;

use crate::roster::Roster;

/// The most entries in a part: some tens of kilobytes.
pub const MAX_ENTRIES: usize = 256;

/// Some of the entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// Revision of the sender's entries.
    pub revision: u64,
    /// The id after which the entries follow; `None` for the first ones.
    pub after: Option<String>,
    /// The entries, sorted by id.
    pub entries: Vec<(String, Vec<u8>)>,
    /// Whether there are more.
    pub has_more: bool,
}

/// A transfer that has begun.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Transfer {
    from: String,
    /// The entries so far. Their revision is that of the first part: what changed later is sent as a
    /// delta once the transfer is complete.
    roster: Roster,
}

impl Part {
    /// Returns the part of the entries that follows an id.
    #[must_use]
    pub fn of(roster: &Roster, after: Option<&str>) -> Self {
        let first = after.map_or(0, |after| {
            let entries = &roster.entries;
            entries.partition_point(|(id, _)| id.as_str() <= after)
        });
        let rest = &roster.entries[first..];
        Self {
            revision: roster.revision,
            after: after.map(str::to_owned),
            entries: rest[..rest.len().min(MAX_ENTRIES)].to_vec(),
            has_more: rest.len() > MAX_ENTRIES,
        }
    }
}

impl Transfer {
    /// Adds a part that a VM sent to the transfer under way, if any. A first part begins a new one; a
    /// part that doesn't follow on is dropped. Returns the entries if they are complete.
    pub fn add(under_way: &mut Option<Self>, from: &str, part: Part) -> Option<Roster> {
        let follows = match (&*under_way, &part.after) {
            (_, None) => true,
            (Some(transfer), after) => transfer.cursor(from) == after.as_deref(),
            (None, Some(_)) => false,
        };
        if !follows {
            return None;
        }
        let mut transfer = match (under_way.take(), &part.after) {
            (Some(transfer), Some(_)) => transfer,
            (_, _) => Self {
                from: from.to_owned(),
                roster: Roster {
                    revision: part.revision,
                    ..Roster::default()
                },
            },
        };
        transfer.roster.entries.extend(part.entries);
        if !part.has_more {
            return Some(transfer.roster);
        }
        *under_way = Some(transfer);
        None
    }

    /// Returns the id of the last entry that came from a VM; `None` if the transfer is from another.
    #[must_use]
    pub fn cursor(&self, from: &str) -> Option<&str> {
        if self.from != from {
            return None;
        }
        let last = self.roster.entries.last();
        last.map(|(id, _)| id.as_str())
    }
}

#[cfg(test)]
mod tests;
