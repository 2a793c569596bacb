//! What each program has set aside and used of its tokens, as one member knows it.
//!
//! Entries only grow in number, and an entry changes once, from reserved to settled, so the union
//! of two members' entries is again a ledger: whatever order facts arrive in, and however often.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::record::Key;
use crate::record::Reservation;
use crate::record::Settlement;

/// How long a program's entries are kept after its last one. A program that was stopped may come
/// back for as long as its turns are kept, a minute as deployed; five leave room for slow programs.
pub const RETENTION: Millis = Millis::new(300_000);

/// One attempt's tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The attempt.
    pub turn: Key,
    /// What was set aside.
    pub most: u32,
    /// What was used, once that is known.
    pub used: Option<u32>,
}

impl Entry {
    /// Yields what the attempt counts for: all that was set aside until it is settled.
    #[must_use]
    pub fn charged(&self) -> u64 {
        u64::from(self.used.unwrap_or(self.most))
    }
}

/// All entries of one program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The program.
    pub program: Key,
    /// Its entries, in the order of their attempts' keys.
    pub entries: Vec<Entry>,
}

/// The accounts of a member. A map, as programs come and go by the tens of a second, and a sorted
/// vector would move all entries behind each.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<Key, StoredAccount>,
}

#[derive(Debug)]
struct StoredAccount {
    entries: Vec<Entry>,
    updated_at: Millis,
}

impl Ledger {
    /// Notes a reservation; one that is known changes nothing.
    pub fn reserve(&mut self, fact: &Reservation, now: Millis) {
        let entry = Entry {
            turn: fact.turn,
            most: fact.most,
            used: None,
        };
        self.merge(fact.program, &[entry], now);
    }

    /// Notes what an attempt used.
    pub fn settle(&mut self, fact: &Settlement, now: Millis) {
        let entry = Entry {
            turn: fact.turn,
            most: fact.used,
            used: Some(fact.used),
        };
        self.merge(fact.program, &[entry], now);
    }

    /// Takes in entries that another member knows.
    pub fn merge(&mut self, program: Key, entries: &[Entry], now: Millis) {
        let stored = self
            .accounts
            .entry(program)
            .or_insert_with(|| StoredAccount {
                entries: Vec::new(),
                updated_at: now,
            });
        stored.updated_at = now;
        merge_entries(&mut stored.entries, entries);
    }

    /// Yields a program's entries.
    #[must_use]
    pub fn entries(&self, program: Key) -> &[Entry] {
        self.accounts
            .get(&program)
            .map_or(&[], |stored| stored.entries.as_slice())
    }

    /// Counts the programs.
    #[must_use]
    pub fn count(&self) -> usize {
        self.accounts.len()
    }

    /// Yields all programs.
    #[must_use]
    pub fn programs(&self) -> Vec<Key> {
        self.accounts.keys().copied().collect()
    }

    /// Yields all accounts, for another member.
    #[must_use]
    pub fn accounts(&self) -> Vec<Account> {
        let account = |(program, stored): (&Key, &StoredAccount)| Account {
            program: *program,
            entries: stored.entries.clone(),
        };
        self.accounts.iter().map(account).collect()
    }

    /// Forgets programs that have been quiet for [`RETENTION`].
    pub fn sweep(&mut self, now: Millis) {
        self.accounts
            .retain(|_, stored| now.since(stored.updated_at) < RETENTION);
    }
}

/// Adds to sorted entries what `more` knows beyond them.
pub fn merge_entries(entries: &mut Vec<Entry>, more: &[Entry]) {
    for entry in more {
        match entries.binary_search_by_key(&entry.turn, |known| known.turn) {
            Ok(at) => {
                let known = &mut entries[at];
                known.used = known.used.or(entry.used);
                known.most = known.most.max(entry.most);
            }
            Err(at) => entries.insert(at, *entry),
        }
    }
}

/// Yields what all entries count for.
#[must_use]
pub fn total(entries: &[Entry]) -> u64 {
    entries.iter().map(Entry::charged).sum()
}
