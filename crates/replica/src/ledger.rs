//! Tokens that each program has reserved and used, as one member knows them.
//!
//! Entries are only added, and an entry changes once, from reserved to settled. The union of two
//! members' entries is therefore a ledger again, whatever the order in which records arrive and
//! however often they do.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;

use crate::record::Key;
use crate::record::Reservation;
use crate::record::Settlement;

/// How long a program's entries are kept after its last one, and for how long members copy a turn from each
/// other. A stopped program may continue for as long as its turns are kept, which is one minute as deployed;
/// five minutes leave room for slow programs.
pub const RETENTION: Millis = Millis::new(300_000);

/// The key of the entry of an account that may lack others. It charges more than a budget holds, so that a process
/// that doesn't know it refuses the program's turns, too.
const INCOMPLETE: Key = Key(u128::MAX);

/// The tokens that one attempt at a turn reserved and used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key of the attempt.
    pub turn: Key,
    /// Tokens reserved.
    pub most: u32,
    /// Tokens used; `None` until the attempt is settled.
    pub used: Option<u32>,
}

impl Entry {
    /// Returns whether this entry says that the account may lack others.
    #[must_use]
    pub fn says_incomplete(&self) -> bool {
        self.turn == INCOMPLETE
    }

    /// Returns the tokens charged to the budget: all that were reserved until the attempt is
    /// settled.
    #[must_use]
    pub fn charged(&self) -> u64 {
        u64::from(self.used.unwrap_or(self.most))
    }
}

/// All entries of one program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The program's key.
    pub program: Key,
    /// Its entries, sorted by the keys of their attempts.
    pub entries: Vec<Entry>,
}

/// The accounts of a member. It is a map because tens of programs start and end per second, and a
/// sorted vector would move all entries behind each.
#[derive(Debug, Default)]
pub struct Ledger {
    accounts: HashMap<Key, StoredAccount>,
    /// Attempts whose entries may not be on disk, sorted: being written, or after a failed write.
    unsynced: Vec<Attempt>,
}

/// An attempt at a turn of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Attempt {
    /// The program's key.
    pub program: Key,
    /// The key of the attempt.
    pub turn: Key,
}

#[derive(Debug)]
struct StoredAccount {
    entries: Vec<Entry>,
    updated_at: Millis,
}

impl Ledger {
    /// Adds a reservation. Has no effect if it is already known.
    pub fn reserve(&mut self, reservation: &Reservation, now: Millis) {
        let entry = Entry {
            turn: reservation.turn,
            most: reservation.most,
            used: None,
        };
        self.merge(reservation.program, &[entry], now);
    }

    /// Records how many tokens an attempt used.
    pub fn settle(&mut self, settlement: &Settlement, now: Millis) {
        let entry = Entry {
            turn: settlement.turn,
            most: settlement.used,
            used: Some(settlement.used),
        };
        self.merge(settlement.program, &[entry], now);
    }

    /// Merges entries that another member knows.
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

    /// Records that an attempt's entry may not be on disk.
    pub fn note_unsynced(&mut self, attempt: Attempt) {
        if let Err(at) = self.unsynced.binary_search(&attempt) {
            self.unsynced.insert(at, attempt);
        }
    }

    /// Records that an attempt's entry is on disk.
    pub fn note_synced(&mut self, attempt: Attempt) {
        if let Ok(at) = self.unsynced.binary_search(&attempt) {
            self.unsynced.remove(at);
        }
    }

    /// Returns the entries that another member knows and that are not on disk here, or say more.
    #[must_use]
    pub fn missing(&self, account: &Account) -> Vec<Entry> {
        let program = account.program;
        let known = self.entries(program);
        let is_synced = |turn| {
            self.unsynced
                .binary_search(&Attempt { program, turn })
                .is_err()
        };
        let is_missing =
            |entry: &&Entry| match known.binary_search_by_key(&entry.turn, |other| other.turn) {
                Ok(at) if is_synced(entry.turn) => known[at].used.is_none() && entry.used.is_some(),
                Ok(_) | Err(_) => true,
            };
        account.entries.iter().filter(is_missing).copied().collect()
    }

    /// Returns a program's entries.
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

    /// Returns all programs.
    #[must_use]
    pub fn programs(&self) -> Vec<Key> {
        self.accounts.keys().copied().collect()
    }

    /// Returns all accounts, to send to another member.
    #[must_use]
    pub fn accounts(&self) -> Vec<Account> {
        let account = |(program, stored): (&Key, &StoredAccount)| Account {
            program: *program,
            entries: stored.entries.clone(),
        };
        self.accounts.iter().map(account).collect()
    }

    /// Drops programs without an update for [`RETENTION`].
    pub fn sweep(&mut self, now: Millis) {
        self.accounts
            .retain(|_, stored| now.since(stored.updated_at) < RETENTION);
        let accounts = &self.accounts;
        self.unsynced
            .retain(|attempt| accounts.contains_key(&attempt.program));
    }
}

/// Builds the record by which a program's account says that it may lack entries.
#[must_use]
pub const fn incomplete(program: Key) -> Reservation {
    Reservation {
        program,
        turn: INCOMPLETE,
        most: u32::MAX,
    }
}

/// Merges `more` into sorted entries.
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

/// Returns the tokens charged for all entries.
#[must_use]
pub fn total(entries: &[Entry]) -> u64 {
    entries.iter().map(Entry::charged).sum()
}
