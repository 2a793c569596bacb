//! A member: what it holds, and how it answers.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::mpsc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use link::body;
use link::body::Body as ResponseBody;
use tokio::sync::Notify;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::disk;
use crate::disk::Disk;
use crate::disk::Event;
use crate::disk::Found;
use crate::disk::Identity;
use crate::gain;
use crate::index::Index;
use crate::index::Line;
use crate::ledger::Account;
use crate::ledger::Entry;
use crate::ledger::Ledger;
use crate::list::List;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::Body;
use crate::message::Chain;
use crate::message::Holdings;
use crate::message::Link;
use crate::message::Status;
use crate::record;
use crate::record::Key;
use crate::record::Record;
use crate::record::Reservation;
use crate::record::Settlement;
use crate::record::Turn;

/// The longest request in bytes: a turn of the largest body that operators allow, and its output.
const MAX_REQUEST: usize = 16 * 1024 * 1024;
/// How much text an answer holds before it stops: a part of what a small VM can buffer.
const MAX_TEXT: usize = 512 * 1024;
/// Accounts are written anew after so many segments, far fewer than fit the smallest disk, so that
/// no program's entries go with the oldest segment.
const CHECKPOINT: u64 = 8;

/// Keys that are looked at before other requests get their turn: under a millisecond on a third of
/// a core.
const AT_ONCE: usize = 200;

/// A member.
#[derive(Debug)]
pub struct Member {
    disk: Disk,
    state: Mutex<State>,
    events: Mutex<mpsc::Receiver<Event>>,
    gains: tokio::sync::Mutex<Gains>,
    clock: Clock,
    /// Rung when the list changes.
    pub changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    identity: Identity,
    index: Index,
    ledger: Ledger,
    /// Segments begun since the accounts were written anew.
    begun: u64,
    /// When another VM last asked for something to be synced.
    asked: Millis,
}

/// What members got by the latest change of the list, of what this one holds; in the order of VMs.
#[derive(Debug, Default)]
struct Gains {
    version: u64,
    turns: Vec<(String, Key)>,
    programs: Vec<(String, Key)>,
}

/// Works out gains some at a time, so that requests are answered meanwhile.
async fn gains(list: &List, keys: &[Key], losses: usize) -> Vec<(String, Key)> {
    let mut all = Vec::new();
    for some in keys.chunks(AT_ONCE) {
        all.extend(gain::gains(list, some, losses));
        tokio::task::yield_now().await;
    }
    all.sort_unstable();
    all
}

/// Opens a member's folder. `fresh` is the number that an empty disk gets.
///
/// # Errors
///
/// Fails where the disk can't be read or written.
pub async fn open(
    folder: &std::path::Path,
    bytes: u64,
    fresh: u64,
    clock: Clock,
) -> io::Result<Arc<Member>> {
    let mut state = State::default();
    let now = clock.now();
    let mut records = 0_u64;
    let opened = disk::open(folder, bytes, &mut |found: Found| {
        records += 1;
        match found.record {
            Record::Turn(turn) => {
                let line = Line {
                    previous: turn.previous,
                    place: found.place,
                };
                state.index.insert(turn.key, line);
            }
            Record::Reserve(fact) => state.ledger.reserve(&fact, now),
            Record::Settle(fact) => state.ledger.settle(&fact, now),
        }
    })?;
    state.identity = if let Some(identity) = opened.identity {
        identity
    } else {
        let identity = Identity {
            disk: fresh,
            ..Identity::default()
        };
        opened.disk.identify(&identity).await?;
        identity
    };
    log::info!(
        "text=\"disk opened\" disk={} records={records} version={} ready={}",
        state.identity.disk,
        state.identity.list.version,
        state.identity.ready
    );
    Ok(Arc::new(Member {
        disk: opened.disk,
        state: Mutex::new(state),
        events: Mutex::new(opened.events),
        gains: tokio::sync::Mutex::default(),
        clock,
        changed: Notify::new(),
    }))
}

impl Member {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Yields what the member is.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.lock().identity.clone()
    }

    /// Yields the member's state.
    #[must_use]
    pub fn status(&self) -> Status {
        let state = self.lock();
        Status {
            disk: state.identity.disk,
            version: state.identity.list.version,
            ready: state.identity.ready,
        }
    }

    /// Takes a newer list over. From then on requests under an older one are refused, also after a
    /// restart, as the list is on disk before this returns.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub async fn adopt(&self, list: &List) -> io::Result<()> {
        let identity = {
            let mut state = self.lock();
            if list.version <= state.identity.list.version {
                return Ok(());
            }
            log::info!(
                "event=E3101 text=\"list of members in force\" version={} before={} members={}",
                list.version,
                state.identity.list.version,
                list.members.len()
            );
            state.identity.list = list.clone();
            state.identity.clone()
        };
        self.changed.notify_waiters();
        self.disk.identify(&identity).await
    }

    /// Yields for how long no other VM has asked for anything to be synced.
    #[must_use]
    pub fn quiet_for(&self) -> Millis {
        self.clock.now().since(self.lock().asked)
    }

    /// Notes that all that was acknowledged before version `ready` is here.
    ///
    /// # Errors
    ///
    /// Fails where the disk does.
    pub async fn set_ready(&self, ready: u64) -> io::Result<()> {
        let identity = {
            let mut state = self.lock();
            state.identity.ready = ready;
            state.identity.clone()
        };
        self.disk.identify(&identity).await
    }

    /// Answers a request.
    pub async fn answer(&self, ask: Ask) -> Answer {
        if let Some(answer) = self.check(&ask) {
            return answer;
        }
        match ask.body {
            Body::Apply(records) => {
                self.lock().asked = self.clock.now();
                let answer = self.apply(records).await;
                // The list may have changed while the disk was synced. Members that learn by the
                // new one may have been told what is here without these facts, so they don't count
                // by the old one; the sender comes again.
                self.newer_than(ask.version).unwrap_or(answer)
            }
            Body::Chain(key) => self.chain(key),
            Body::Account(program) => Answer::Account(self.lock().ledger.entries(program).to_vec()),
            Body::Adopt(list) => match self.adopt(&list).await {
                Ok(()) => Answer::Status(self.status()),
                Err(fault) => failed(&fault),
            },
            Body::Keys => Answer::Keys(self.holdings()),
            Body::Gained { vm, losses } => Answer::Keys(self.gained(&vm, losses).await),
            Body::Fetch(keys) => Answer::Turns(self.fetch(&keys)),
            Body::Status => Answer::Status(self.status()),
        }
    }

    /// Refuses what goes by another list, and reads before the member has learnt all: others might
    /// take an absence or a sum that it tells for the truth.
    fn check(&self, ask: &Ask) -> Option<Answer> {
        if matches!(ask.body, Body::Adopt(_) | Body::Status | Body::Fetch(_)) {
            return None;
        }
        if let Some(newer) = self.newer_than(ask.version) {
            return Some(newer);
        }
        let state = self.lock();
        let own = &state.identity.list;
        if ask.version > own.version {
            return Some(Answer::Older);
        }
        let reads = match ask.body {
            // A turn never changes: one that is here may be told also while others may be missing.
            Body::Chain(key) => state.index.find(key).is_none(),
            Body::Account(_) => true,
            _ => false,
        };
        (reads && state.identity.ready < own.version).then_some(Answer::NotReady)
    }

    fn newer_than(&self, version: u64) -> Option<Answer> {
        let state = self.lock();
        let own = &state.identity.list;
        (version < own.version).then(|| Answer::Newer(own.clone()))
    }

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

    fn chain(&self, key: Key) -> Answer {
        let mut chain = Chain::default();
        let mut text = 0;
        let mut next = Some(key);
        while let Some(key) = next {
            let Some(line) = self.lock().index.find(key) else {
                break;
            };
            if text > MAX_TEXT {
                break;
            }
            match self.disk.read(line.place) {
                Ok(Record::Turn(turn)) => {
                    text += turn.text.len();
                    chain.turns.push(Link {
                        key,
                        text: turn.text,
                    });
                    next = turn.previous;
                }
                Ok(_) => return Answer::Failed("another record lies there".to_owned()),
                Err(fault) => return failed(&fault),
            }
        }
        chain.next = next;
        Answer::Chain(chain)
    }

    /// Counts the turns and accounts that the member holds.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.index.count(), state.ledger.count())
    }

    /// Yields what the member holds, for one that has to learn it.
    #[must_use]
    fn holdings(&self) -> Holdings {
        let state = self.lock();
        Holdings {
            ready: state.identity.ready,
            turns: state.index.keys(),
            accounts: state.ledger.accounts(),
        }
    }

    /// Yields what the member holds and `vm` has to hold only since the latest change of the list.
    async fn gained(&self, vm: &str, losses: usize) -> Holdings {
        // Held while the gains are worked out, so that members that ask at once share the work.
        let mut gains = self.gains.lock().await;
        let list = self.identity().list;
        if gains.version != list.version {
            *gains = self.work_out(&list, losses).await;
        }
        let own = |gained: &[(String, Key)]| -> Vec<Key> {
            let first = gained.partition_point(|(other, _)| other.as_str() < vm);
            let of_vm = gained[first..].iter();
            let of_vm = of_vm.take_while(|(other, _)| other == vm);
            of_vm.map(|(_, key)| *key).collect()
        };
        let state = self.lock();
        let account = |program: Key| Account {
            program,
            entries: state.ledger.entries(program).to_vec(),
        };
        Holdings {
            ready: state.identity.ready,
            turns: own(&gains.turns),
            accounts: own(&gains.programs).into_iter().map(account).collect(),
        }
    }

    async fn work_out(&self, list: &List, losses: usize) -> Gains {
        let (turns, programs) = {
            let state = self.lock();
            (state.index.keys(), state.ledger.programs())
        };
        Gains {
            version: list.version,
            turns: gains(list, &turns, losses).await,
            programs: gains(list, &programs, losses).await,
        }
    }

    fn fetch(&self, keys: &[Key]) -> Vec<Turn> {
        let mut turns = Vec::new();
        let mut text = 0;
        for key in keys {
            let Some(line) = self.lock().index.find(*key) else {
                continue;
            };
            match self.disk.read(line.place) {
                Ok(Record::Turn(turn)) => {
                    text += turn.text.len();
                    turns.push(turn);
                }
                Ok(_) => {}
                Err(fault) => log::error!("text=\"a turn can't be read\" fault=\"{fault}\""),
            }
            if text > MAX_TEXT {
                break;
            }
        }
        turns
    }

    /// Yields which of these turns aren't here.
    #[must_use]
    pub fn missing(&self, keys: &[Key]) -> Vec<Key> {
        let state = self.lock();
        let absent = |key: &&Key| state.index.find(**key).is_none();
        keys.iter().filter(absent).copied().collect()
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

fn failed(fault: &io::Error) -> Answer {
    log::error!("event=E3105 text=\"the disk failed\" fault=\"{fault}\"");
    Answer::Failed(fault.to_string())
}

/// Serves a request of another VM.
pub async fn serve(member: Arc<Member>, request: Request<Incoming>) -> Response<ResponseBody> {
    let bytes = match body::read(request.into_body(), MAX_REQUEST).await {
        Ok(bytes) => bytes,
        Err(fault) => return plain(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let ask = match rmp_serde::from_slice(&bytes) {
        Ok(ask) => ask,
        Err(fault) => return plain(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let answer = member.answer(ask).await;
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => plain(StatusCode::OK, bytes),
        Err(fault) => plain(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}

fn plain(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = status;
    response
}
