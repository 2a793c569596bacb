//! A member: the state that it holds, and how it answers requests.

mod gained;
mod read;
mod write;

use std::io;
use std::num::ParseIntError;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::PoisonError;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use link::body::Body as ResponseBody;
use link::intake::Intake;
use tokio::sync::Notify;
use tokio_util::task::TaskTracker;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::disk;
use crate::disk::Disk;
use crate::disk::Identity;
use crate::disk::SegmentEvent;
use crate::index;
use crate::index::Index;
use crate::ledger::Ledger;
use crate::list;
use crate::list::List;
use crate::medium::Folder;
use crate::medium::Medium;
use crate::message;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::Body;
use crate::message::Status;
use crate::record::Key;
use crate::record::Record;
use crate::server::write::Source;

/// The longest request in bytes: a turn of the largest body that operators allow, and its output.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;
/// How long a request may take to come: longer than its sender waits for the answer.
const REQUEST_READ_TIME: Duration = Duration::from_secs(5);

/// A member without write requests for this long was cut off, frozen or idle.
const MIN_PAUSE: Millis = Millis::new(1_000);

/// A member: its disk, and its state in memory.
#[derive(Debug)]
pub struct Member {
    disk: Disk,
    state: Mutex<State>,
    events: Mutex<mpsc::Receiver<SegmentEvent>>,
    /// Computed once for each version of the list.
    gained_cache: tokio::sync::Mutex<gained::Keys>,
    clock: Clock,
    /// How many members may be lost at once.
    losses: OnceLock<usize>,
    /// Accepted writes that aren't answered yet; closed when the process stops.
    writes: TaskTracker,
    /// Notified when the list changes.
    pub list_changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    identity: Identity,
    /// The identity that is on disk once all queued writes are done.
    queued: Identity,
    /// The number of the write that holds the list in use.
    list_write: u64,
    index: Index,
    ledger: Ledger,
    /// The list version up to which all accounts are known. They are copied before the turns, which take longer.
    accounts_ready: u64,
    /// Segments created since the accounts were last rewritten.
    segments_since_rewrite: u64,
    /// When the accounts may be rewritten again.
    next_rewrite: Millis,
    /// The segments that this process closed, the oldest first, and when it noticed that.
    closed_at: Vec<(u64, Millis)>,
    /// The turns that went with removed segments.
    dropped_turns: u64,
    /// When another VM last sent a write.
    last_write: Option<Millis>,
    /// How many writes came after a pause, or after the start.
    pauses: u64,
    /// How many members of the list were complete when they were last asked.
    complete_members: usize,
    /// The turns that another member listed last and that weren't here, and when each may have been stored at
    /// the latest; sorted by key.
    listed: Vec<(Key, Millis)>,
}

impl State {
    const fn status(&self) -> Status {
        Status {
            disk: self.identity.disk,
            version: self.identity.list.version,
            ready: self.identity.ready,
        }
    }

    /// Returns whether the member knows all accounts of its list.
    const fn knows_accounts(&self) -> bool {
        self.accounts_ready >= self.identity.list.version
    }

    /// Records that another VM sent a write.
    fn note_write(&mut self, now: Millis) {
        let last = self.last_write.replace(now);
        if last.is_none_or(|last| now.since(last) >= MIN_PAUSE) {
            self.pauses += 1;
        }
    }
}

/// Opens a member's folder. A disk without a stored identity gets the number `new_disk`.
///
/// # Errors
///
/// Fails if the disk can't be read or written.
pub async fn open(
    folder: &std::path::Path,
    bytes: u64,
    new_disk: u64,
    clock: Clock,
) -> io::Result<Arc<Member>> {
    open_on(Folder::open(folder)?, bytes, new_disk, clock).await
}

/// The same for the files of `medium`.
///
/// # Errors
///
/// Fails if the files can't be read or written.
pub async fn open_on(
    medium: Arc<dyn Medium>,
    bytes: u64,
    new_disk: u64,
    clock: Clock,
) -> io::Result<Arc<Member>> {
    let mut state = State::default();
    let now = clock.now();
    let mut records = 0_u64;
    let opened = disk::open_on(medium, bytes, &mut |found: disk::Entry| {
        records += 1;
        match found.record {
            Record::Turn(turn) => {
                let entry = index::Entry {
                    previous: turn.previous,
                    location: found.location,
                    // When it was written isn't on disk.
                    stored_at: now,
                };
                state.index.insert(turn.key, entry);
            }
            Record::Reserve(reservation) => state.ledger.reserve(&reservation, now),
            Record::Settle(settlement) => state.ledger.settle(&settlement, now),
        }
    })?;
    state.identity = if let Some(identity) = opened.identity {
        identity
    } else {
        let identity = Identity {
            disk: new_disk,
            ..Identity::default()
        };
        opened.disk.write_identity(&identity).await?;
        identity
    };
    state.queued = state.identity.clone();
    state.accounts_ready = state.identity.ready;
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
        gained_cache: tokio::sync::Mutex::default(),
        clock,
        losses: OnceLock::new(),
        writes: TaskTracker::new(),
        list_changed: Notify::new(),
    }))
}

impl Member {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the disk's number, the list in use and the version up to which the member has caught
    /// up.
    #[must_use]
    pub fn identity(&self) -> Identity {
        self.lock().identity.clone()
    }

    /// Sets how many members may be lost at once, if it isn't set. Until then the member lists all its turns
    /// for others to copy, because it can't tell whether it holds whole chains.
    pub fn set_losses(&self, losses: usize) {
        self.losses.get_or_init(|| losses);
    }

    /// Returns the member's state as other VMs see it.
    #[must_use]
    pub fn status(&self) -> Status {
        self.lock().status()
    }

    /// Adopts a list if it is newer. From then on the member refuses requests under an older list,
    /// also after a restart, because the list is on disk before this returns.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn adopt(&self, list: &List) -> io::Result<()> {
        self.mark_incomplete(list).await?;
        let now = self.clock.now();
        let (is_newer, late) = {
            let mut state = self.lock();
            let before = state.identity.list.version;
            let is_newer = list.version > before;
            let mut late = Vec::new();
            if is_newer {
                // Those that a writer brought since the first ones were marked.
                late = state.incomplete_programs(list);
                state.mark(&late, now);
                list::log_list_change(list, before);
                state.identity.list = list.clone();
                state.queued.list = list.clone();
                // Queued under the lock, so that no record under the new list is written before it.
                state.list_write = self.disk.queue_identity(&state.queued)?;
            }
            (is_newer, late)
        };
        self.write_marks(&late).await?;
        if is_newer {
            self.list_changed.notify_waiters();
        }
        self.store_list().await
    }

    /// Returns once the list in use is on disk.
    async fn store_list(&self) -> io::Result<()> {
        let write = {
            let mut state = self.lock();
            if self.disk.has_failed(state.list_write) {
                state.list_write = self.disk.queue_identity(&state.queued)?;
            }
            state.list_write
        };
        self.disk.wait_for_identity(write).await
    }

    /// Returns how many writes came after a pause, or after the start: the member may have missed others before.
    #[must_use]
    pub fn pauses(&self) -> u64 {
        self.lock().pauses
    }

    /// Records that the member holds everything acknowledged before list version `ready`.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub async fn set_ready(&self, ready: u64) -> io::Result<()> {
        let write = {
            let mut state = self.lock();
            state.queued.ready = ready;
            self.disk.queue_identity(&state.queued)?
        };
        self.disk.wait_for_identity(write).await?;
        // Not before: others may change the list again because of it.
        self.lock().identity.ready = ready;
        self.note_accounts(ready);
        Ok(())
    }

    /// Records that the member knows all accounts of list version `version`.
    pub fn note_accounts(&self, version: u64) {
        let mut state = self.lock();
        state.accounts_ready = state.accounts_ready.max(version);
    }

    /// Returns the list version up to which the member knows all accounts.
    #[must_use]
    pub fn accounts_ready(&self) -> u64 {
        self.lock().accounts_ready
    }

    /// Refuses writes from now on because the process is stopping. A writer that waited for a write
    /// that may not finish would lose time in which the other members decide.
    pub fn refuse_writes(&self) {
        self.writes.close();
    }

    /// Waits until the writes accepted before [`Self::refuse_writes`] have been answered.
    pub async fn wait_for_writes(&self) {
        self.writes.wait().await;
    }

    /// Answers a request.
    pub async fn answer(&self, ask: Ask) -> Answer {
        // The write is counted before the check whether writes are still accepted. Otherwise the
        // process could end between the two.
        let _write = matches!(ask.body, Body::Apply(_)).then(|| self.writes.token());
        if let Some(answer) = self.refusal(&ask) {
            return answer;
        }
        // Who asks for what the member holds counts on it that the older list isn't used any more.
        if matches!(ask.body, Body::Keys | Body::Gained { .. })
            && let Err(fault) = self.store_list().await
        {
            return disk_failed(&fault);
        }
        match ask.body {
            Body::Apply(records) => {
                self.lock().note_write(self.clock.now());
                let answer = self.store(records, Source::Writer).await;
                if let Err(fault) = self.store_list().await {
                    return disk_failed(&fault);
                }
                // The list may have changed during the sync. Members that catch up with the new
                // list may already have been told what this member holds, without these records, so
                // the records don't count under the old list; the sender sends them again.
                self.list_newer_than(ask.version).unwrap_or(answer)
            }
            Body::Chain(key) => self.chain(key),
            Body::Account(program) => Answer::Account(self.lock().ledger.entries(program).to_vec()),
            Body::Adopt(list) => match self.adopt(&list).await {
                Ok(()) => Answer::Status(self.status()),
                Err(fault) => disk_failed(&fault),
            },
            Body::Keys => Answer::Keys(self.holdings()),
            Body::Gained { vm, losses } => Answer::Keys(self.gained(&vm, losses).await),
            Body::Fetch(keys) => self.fetch(&keys),
            Body::Status | Body::List => Answer::Status(self.status()),
            Body::Accounts => Answer::Accounts(self.accounts_ready()),
        }
    }

    /// Returns the refusal of a request, if it is refused. Refused are requests under another
    /// version of the list; while the process stops, writes and also status requests, because
    /// their answers tell whether writes are possible; and reads before the member has caught up,
    /// because the sender would trust an absence or a sum that may be wrong.
    fn refusal(&self, ask: &Ask) -> Option<Answer> {
        if self.writes.is_closed() && matches!(ask.body, Body::Apply(_) | Body::Status) {
            return Some(Answer::Failed("stopping".to_owned()));
        }
        if matches!(
            ask.body,
            Body::Adopt(_) | Body::Status | Body::Fetch(_) | Body::Accounts
        ) {
            return None;
        }
        if let Some(newer) = self.list_newer_than(ask.version) {
            return Some(newer);
        }
        let state = self.lock();
        let own = &state.identity.list;
        if ask.version > own.version {
            return Some(Answer::Older);
        }
        let is_ready = match ask.body {
            // A turn never changes, so one that is here can be returned while others may be
            // missing.
            Body::Chain(key) => state.index.find(key).is_some() || state.status().has_caught_up(),
            Body::Account(_) => state.knows_accounts(),
            _ => true,
        };
        (!is_ready).then_some(Answer::NotReady)
    }

    fn list_newer_than(&self, version: u64) -> Option<Answer> {
        let state = self.lock();
        let own = &state.identity.list;
        (version < own.version).then(|| Answer::Newer(own.clone()))
    }

    /// Returns how many turns and how many accounts the member holds.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.index.count(), state.ledger.count())
    }

    /// Records how many members of the list are complete.
    pub fn note_complete(&self, members: usize) {
        self.lock().complete_members = members;
    }

    /// Returns how many members of the list were complete when they were last asked.
    #[must_use]
    pub fn complete_members(&self) -> usize {
        self.lock().complete_members
    }

    /// Returns the bytes of the records on disk, and those from which on the oldest ones are dropped.
    #[must_use]
    pub fn disk_usage(&self) -> (u64, u64) {
        self.disk.usage()
    }

    /// Returns how many turns were dropped since the start as the disk filled.
    #[must_use]
    pub fn dropped_turns(&self) -> u64 {
        self.lock().dropped_turns
    }
}

fn disk_failed(fault: &io::Error) -> Answer {
    disk::log_failed(fault);
    Answer::Failed(fault.to_string())
}

/// Handles an HTTP request from another VM.
pub async fn serve(
    member: Arc<Member>,
    intake: Intake,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let disk = match named_disk(request.headers()) {
        Ok(disk) => disk,
        Err(fault) => return response_with(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let read = intake.read(request.into_body(), MAX_REQUEST_BYTES, REQUEST_READ_TIME);
    let taken = match read.await {
        Ok(taken) => taken,
        Err(fault) => return response_with(fault.status(), fault.to_string()),
    };
    let ask = match rmp_serde::from_slice(&taken.bytes) {
        Ok(ask) => ask,
        Err(fault) => return response_with(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let own_disk = member.status().disk;
    let answer = match disk {
        Some(disk) if disk != own_disk => Answer::OtherDisk(own_disk),
        Some(_) | None => member.answer(ask).await,
    };
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => response_with(StatusCode::OK, bytes),
        Err(fault) => response_with(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}

/// Returns the disk that a request names, if it names one.
fn named_disk(headers: &HeaderMap) -> Result<Option<u64>, ParseIntError> {
    let value = headers.get(message::DISK_HEADER);
    // A value that isn't text is no number either.
    let text = value.map(|value| value.to_str().unwrap_or_default());
    text.map(str::parse).transpose()
}

fn response_with(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = status;
    response
}
