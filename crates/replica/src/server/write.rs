//! How a member stores records and other members' accounts.

use std::io;
use std::sync::PoisonError;

use wire::clock::Millis;
use wire::event::Event;

use crate::disk::SegmentEvent;
use crate::index;
use crate::ledger;
use crate::ledger::Account;
use crate::ledger::Attempt;
use crate::ledger::Entry;
use crate::list::List;
use crate::message::Answer;
use crate::record;
use crate::record::Key;
use crate::record::Record;
use crate::record::Reservation;
use crate::record::Settlement;
use crate::server::Member;
use crate::server::State;
use crate::server::disk_failed;

/// All accounts are rewritten after this many new segments, so that no program's entries are
/// removed with the oldest segment. The smallest disk fits far more segments.
const REWRITE_AFTER_SEGMENTS: u64 = 8;
/// The pause after a failed rewrite. Each takes a part of the disk, for which the oldest segments are removed.
const REWRITE_RETRY_DELAY: Millis = Millis::new(2_000);

/// Where records come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Source {
    /// From who wrote them: they are new.
    Writer,
    /// From a member that listed them, with their ages.
    Member,
}

impl Member {
    /// Stores records that another member holds, as [`Body::Apply`](crate::message::Body::Apply) does with new
    /// ones. Turns count as stored when [`Self::missing`] learnt that they were, and as new if it didn't.
    pub async fn apply(&self, records: Vec<Record>) -> Answer {
        self.store(records, Source::Member).await
    }

    /// Syncs records. Reservations count at once, before they are on disk, because another
    /// reservation that is answered in the meantime must see them.
    ///
    /// A member that doesn't know all accounts yet stores a reservation, but answers [`Answer::NotReady`]:
    /// its entries may lack earlier reservations. Turns and settlements are answered as usual,
    /// because members that catch up later copy them from every disk that the list names.
    pub(super) async fn store(&self, records: Vec<Record>, source: Source) -> Answer {
        let now = self.clock.now();
        let mut frames = Vec::with_capacity(records.len());
        let mut turns = Vec::new();
        let mut attempts = Vec::new();
        let mut program = None;
        {
            let mut state = self.lock();
            for record in &records {
                if let Some(attempt) = attempt(record) {
                    state.ledger.note_unsynced(attempt);
                    attempts.push(attempt);
                }
                match record {
                    Record::Turn(turn) if state.index.find(turn.key).is_some() => {
                        if source == Source::Writer {
                            state.index.renew(turn.key, now);
                        }
                        continue;
                    }
                    Record::Turn(turn) => turns.push((frames.len(), turn.key, turn.previous)),
                    Record::Reserve(reservation) => {
                        state.ledger.reserve(reservation, now);
                        program = Some(reservation.program);
                    }
                    Record::Settle(settlement) => state.ledger.settle(settlement, now),
                }
                match record::encode_frame(record) {
                    Ok(frame) => frames.push(frame),
                    Err(fault) => return Answer::Failed(fault.to_string()),
                }
            }
        }
        let locations = match self.disk.append(frames).await {
            Ok(locations) => locations,
            Err(fault) => return disk_failed(&fault),
        };
        let mut state = self.lock();
        for attempt in attempts {
            state.ledger.note_synced(attempt);
        }
        for (at, key, previous) in turns {
            let stored_at = match source {
                Source::Writer => self.clock.now(),
                Source::Member => state.stored_at(key).unwrap_or(now),
            };
            let entry = index::Entry {
                previous,
                location: locations[at],
                stored_at,
            };
            state.index.insert(key, entry);
        }
        match program {
            // Checked under the same lock as the entries, which may be from before a catch-up.
            Some(_) if !state.knows_accounts() => Answer::NotReady,
            Some(key) => Answer::Applied(state.ledger.entries(key).to_vec()),
            None => Answer::Applied(Vec::new()),
        }
    }

    /// Merges and stores another member's accounts.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn merge_accounts(&self, accounts: &[Account]) -> io::Result<()> {
        let mut merged = Vec::new();
        {
            let state = self.lock();
            for account in accounts {
                merged.push(Account {
                    program: account.program,
                    entries: state.ledger.missing(account),
                });
            }
        }
        let records: Vec<Record> = merged.iter().flat_map(account_records).collect();
        self.write_records(&records).await?;
        // Not before: what is known isn't written again.
        let now = self.clock.now();
        let mut state = self.lock();
        for account in merged {
            state.ledger.merge(account.program, &account.entries, now);
        }
        for attempt in records.iter().filter_map(attempt) {
            state.ledger.note_synced(attempt);
        }
        Ok(())
    }

    /// Marks the accounts that may lack entries since the reset that made `list` or one before it, if the
    /// member hasn't done so.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub(super) async fn mark_incomplete(&self, list: &List) -> io::Result<()> {
        let programs = self.lock().incomplete_programs(list);
        if programs.is_empty() {
            return Ok(());
        }
        log::warn!(
            "event=E{} text=\"{}\" accounts={} version={}",
            Event::AccountsIncomplete.number(),
            Event::AccountsIncomplete.text(),
            programs.len(),
            list.version
        );
        self.write_marks(&programs).await
    }

    /// Syncs the marks of accounts that may lack entries.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub(super) async fn write_marks(&self, programs: &[Key]) -> io::Result<()> {
        if programs.is_empty() {
            return Ok(());
        }
        let marks = programs.iter();
        let marks = marks.map(|program| Record::Reserve(ledger::incomplete(*program)));
        match self.apply(marks.collect()).await {
            Answer::Failed(fault) => Err(io::Error::other(fault)),
            _ => Ok(()),
        }
    }

    async fn write_records(&self, records: &[Record]) -> io::Result<()> {
        let frames = records
            .iter()
            .map(record::encode_frame)
            .collect::<Result<_, _>>();
        let frames = frames.map_err(io::Error::other)?;
        self.disk.append(frames).await.map(drop)
    }

    /// Drops old accounts and the turns of removed segments, and rewrites the accounts from time to
    /// time. Should be called at least about once a second.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn sweep(&self) -> io::Result<()> {
        let events: Vec<SegmentEvent> = {
            let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
            events.try_iter().collect()
        };
        let accounts = {
            let mut state = self.lock();
            let now = self.clock.now();
            state.ledger.sweep(now);
            for event in events {
                match event {
                    SegmentEvent::Created(segment) => {
                        state.segments_since_rewrite += 1;
                        state.closed_at.push((segment - 1, now));
                    }
                    SegmentEvent::Removed(segment) => {
                        state.drop_segment(segment, now);
                        self.disk.close_segment(segment);
                    }
                }
            }
            if state.segments_since_rewrite < REWRITE_AFTER_SEGMENTS || now < state.next_rewrite {
                return Ok(());
            }
            // A rewrite that fails has to be tried again.
            state.next_rewrite = now.plus(REWRITE_RETRY_DELAY);
            state.ledger.accounts()
        };
        let records: Vec<Record> = accounts.iter().flat_map(account_records).collect();
        log::info!("text=\"rewriting the accounts\" entries={}", records.len());
        self.write_records(&records).await?;
        self.lock().segments_since_rewrite = 0;
        Ok(())
    }
}

impl State {
    /// Returns the programs whose accounts may lack entries once the member uses `list`, and that aren't marked.
    pub(super) fn incomplete_programs(&self, list: &List) -> Vec<Key> {
        let before = &self.identity.list;
        let Some(reset) = &list.reset else {
            return Vec::new();
        };
        if before.version >= reset.version {
            return Vec::new();
        }
        let is_marked = |program: Key| {
            let entries = self.ledger.entries(program);
            entries.iter().any(Entry::says_incomplete)
        };
        let mut programs = self.ledger.programs();
        programs.retain(|program| !is_marked(*program) && !reset.is_complete(before, *program));
        programs
    }

    /// Marks accounts that may lack entries, before that is on disk.
    pub(super) fn mark(&mut self, programs: &[Key], now: Millis) {
        for program in programs {
            self.ledger.reserve(&ledger::incomplete(*program), now);
        }
    }

    /// Returns when a turn that another member listed may have been stored at the latest.
    fn stored_at(&self, key: Key) -> Option<Millis> {
        let listed = &self.listed;
        let at = listed.binary_search_by_key(&key, |(key, _)| *key).ok()?;
        Some(listed[at].1)
    }

    /// Forgets the turns of a segment that was removed, and logs how many there were and for how long nothing
    /// had been written to it.
    fn drop_segment(&mut self, segment: u64, now: Millis) {
        let turns = self.index.remove_segment(segment);
        self.dropped_turns += turns as u64;
        let closed = self.closed_at.iter().find(|(number, _)| *number == segment);
        let unwritten = closed.map_or_else(
            || "unknown".to_owned(),
            |(_, at)| now.since(*at).as_u64().to_string(),
        );
        self.closed_at.retain(|(number, _)| *number > segment);
        log::warn!(
            "event=E{} text=\"{}\" segment={segment} turns={turns} unwritten_ms={unwritten}",
            Event::RecordsDropped.number(),
            Event::RecordsDropped.text()
        );
    }
}

/// Returns the attempt whose tokens a record is about; `None` for a turn's text.
fn attempt(record: &Record) -> Option<Attempt> {
    match record {
        Record::Turn(_) => None,
        Record::Reserve(Reservation { program, turn, .. })
        | Record::Settle(Settlement { program, turn, .. }) => Some(Attempt {
            program: *program,
            turn: *turn,
        }),
    }
}

fn account_records(account: &Account) -> Vec<Record> {
    let entries = account.entries.iter();
    entries
        .map(|entry| entry_record(account.program, entry))
        .collect()
}

fn entry_record(program: Key, entry: &Entry) -> Record {
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
