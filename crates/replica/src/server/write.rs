//! What a member takes in, and how it lies on its disk.

use std::io;
use std::sync::PoisonError;

use crate::disk::Event;
use crate::index::Line;
use crate::ledger::Account;
use crate::ledger::Entry;
use crate::message::Answer;
use crate::record;
use crate::record::Key;
use crate::record::Record;
use crate::record::Reservation;
use crate::record::Settlement;
use crate::server::Member;
use crate::server::failed;

/// Accounts are written anew after so many segments, far fewer than fit the smallest disk, so that
/// no program's entries go with the oldest segment.
const CHECKPOINT: u64 = 8;

impl Member {
    /// Syncs facts. Reservations count from here on, before they are on disk: another reservation
    /// that is answered meanwhile must see them.
    pub async fn apply(&self, records: Vec<Record>) -> Answer {
        let now = self.clock.now();
        let mut frames = Vec::with_capacity(records.len());
        let mut turns = Vec::new();
        let mut program = None;
        {
            let mut state = self.lock();
            for record in &records {
                match record {
                    Record::Turn(turn) if state.index.find(turn.key).is_some() => continue,
                    Record::Turn(turn) => turns.push((frames.len(), turn.key, turn.previous)),
                    Record::Reserve(fact) => {
                        state.ledger.reserve(fact, now);
                        program = Some(fact.program);
                    }
                    Record::Settle(fact) => state.ledger.settle(fact, now),
                }
                match record::frame(record) {
                    Ok(frame) => frames.push(frame),
                    Err(fault) => return Answer::Failed(fault.to_string()),
                }
            }
        }
        let places = match self.disk.append(frames).await {
            Ok(places) => places,
            Err(fault) => return failed(&fault),
        };
        let mut state = self.lock();
        for (at, key, previous) in turns {
            let place = places[at];
            state.index.insert(key, Line { previous, place });
        }
        let entries = program.map_or_else(Vec::new, |key| state.ledger.entries(key).to_vec());
        Answer::Applied(entries)
    }

    /// Takes in another member's accounts.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub async fn learn(&self, accounts: &[Account]) -> io::Result<()> {
        let now = self.clock.now();
        let mut facts = Vec::new();
        {
            let mut state = self.lock();
            for account in accounts {
                let known = state.ledger.entries(account.program);
                let news: Vec<Entry> = news(known, &account.entries);
                facts.extend(news.iter().map(|entry| fact(account.program, entry)));
                state.ledger.merge(account.program, &news, now);
            }
        }
        self.write(&facts).await
    }

    async fn write(&self, facts: &[Record]) -> io::Result<()> {
        let frames = facts.iter().map(record::frame).collect::<Result<_, _>>();
        let frames = frames.map_err(io::Error::other)?;
        self.disk.append(frames).await.map(drop)
    }

    /// Forgets what the disk no longer holds, and writes the accounts anew now and then. To be
    /// called about once a second.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub async fn sweep(&self) -> io::Result<()> {
        let events: Vec<Event> = {
            let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            events.try_iter().collect()
        };
        let accounts = {
            let mut state = self.lock();
            state.ledger.sweep(self.clock.now());
            for event in events {
                match event {
                    Event::Began(_) => state.begun += 1,
                    Event::Removed(segment) => {
                        state.index.forget(segment);
                        self.disk.forget(segment);
                    }
                }
            }
            if state.begun < CHECKPOINT {
                return Ok(());
            }
            state.begun = 0;
            state.ledger.accounts()
        };
        let facts: Vec<Record> = accounts.iter().flat_map(facts).collect();
        log::info!("text=\"accounts written anew\" entries={}", facts.len());
        self.write(&facts).await
    }
}

/// Yields the entries that say more than those known.
fn news(known: &[Entry], entries: &[Entry]) -> Vec<Entry> {
    let says_more = |entry: &&Entry| match known.iter().find(|other| other.turn == entry.turn) {
        Some(other) => other.used.is_none() && entry.used.is_some(),
        None => true,
    };
    entries.iter().filter(says_more).copied().collect()
}

fn facts(account: &Account) -> Vec<Record> {
    let entries = account.entries.iter();
    entries.map(|entry| fact(account.program, entry)).collect()
}

fn fact(program: Key, entry: &Entry) -> Record {
    match entry.used {
        Some(used) => Record::Settle(Settlement {
            program,
            turn: entry.turn,
            used,
        }),
        None => Record::Reserve(Reservation {
            program,
            turn: entry.turn,
            most: entry.most,
        }),
    }
}
