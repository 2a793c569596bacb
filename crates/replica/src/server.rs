//! A member: what it holds, and how it answers.

mod gained;
mod read;
mod write;

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
use tokio_util::task::TaskTracker;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::disk;
use crate::disk::Disk;
use crate::disk::FoundRecord;
use crate::disk::Identity;
use crate::disk::SegmentEvent;
use crate::index::Index;
use crate::index::IndexEntry;
use crate::ledger::Ledger;
use crate::list;
use crate::list::List;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::Body;
use crate::message::Status;
use crate::record::Record;
use crate::server::gained::GainedKeys;

/// The longest request in bytes: a turn of the largest body that operators allow, and its output.
const MAX_REQUEST_BYTES: usize = 16 * 1024 * 1024;

/// A member.
#[derive(Debug)]
pub struct Member {
    disk: Disk,
    state: Mutex<State>,
    events: Mutex<mpsc::Receiver<SegmentEvent>>,
    gained: tokio::sync::Mutex<GainedKeys>,
    clock: Clock,
    /// Writes that were taken and aren't answered yet; closed when the process stops.
    writes: TaskTracker,
    /// Rung when the list changes.
    pub list_changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    identity: Identity,
    index: Index,
    ledger: Ledger,
    /// Segments begun since the accounts were written anew.
    segments_since_rewrite: u64,
    /// When another VM last asked for something to be synced.
    last_write: Millis,
}

/// Opens a member's folder. `new_disk` is the number that an empty disk gets.
///
/// # Errors
///
/// Fails where the disk can't be read or written.
pub async fn open(
    folder: &std::path::Path,
    bytes: u64,
    new_disk: u64,
    clock: Clock,
) -> io::Result<Arc<Member>> {
    let mut state = State::default();
    let now = clock.now();
    let mut records = 0_u64;
    let opened = disk::open(folder, bytes, &mut |found: FoundRecord| {
        records += 1;
        match found.record {
            Record::Turn(turn) => {
                let entry = IndexEntry {
                    previous: turn.previous,
                    location: found.location,
                };
                state.index.insert(turn.key, entry);
            }
            Record::Reserve(record) => state.ledger.reserve(&record, now),
            Record::Settle(record) => state.ledger.settle(&record, now),
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
        gained: tokio::sync::Mutex::default(),
        clock,
        writes: TaskTracker::new(),
        list_changed: Notify::new(),
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
            list::log_list_change(list, state.identity.list.version);
            state.identity.list = list.clone();
            state.identity.clone()
        };
        self.list_changed.notify_waiters();
        self.disk.write_identity(&identity).await
    }

    /// Yields for how long no other VM has asked for anything to be synced.
    #[must_use]
    pub fn idle_for(&self) -> Millis {
        self.clock.now().since(self.lock().last_write)
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
        self.disk.write_identity(&identity).await
    }

    /// Refuses writes from now on, as the process stops: a writer that waits for one that it may not
    /// finish loses time in which the other members decide.
    pub fn refuse_writes(&self) {
        self.writes.close();
    }

    /// Waits until the writes that were taken before [`Self::refuse_writes`] have their answers.
    pub async fn wait_for_writes(&self) {
        self.writes.wait().await;
    }

    /// Answers a request.
    pub async fn answer(&self, ask: Ask) -> Answer {
        // Counted before it is looked whether writes are still taken: the process would else end
        // between the two.
        let _taken = matches!(ask.body, Body::Apply(_)).then(|| self.writes.token());
        if let Some(answer) = self.refusal(&ask) {
            return answer;
        }
        match ask.body {
            Body::Apply(records) => {
                self.lock().last_write = self.clock.now();
                let answer = self.apply(records).await;
                // The list may have changed while the disk was synced. Members that learn by the
                // new one may have been told what is here without these facts, so they don't count
                // by the old one; the sender comes again.
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
            Body::Fetch(keys) => Answer::Turns(self.fetch(&keys)),
            Body::Status => Answer::Status(self.status()),
        }
    }

    /// Refuses what goes by another list, writes while the process stops, with the question that tells
    /// whether writes can be had, and reads before the member has learnt all: others might
    /// take an absence or a sum that it tells for the truth.
    fn refusal(&self, ask: &Ask) -> Option<Answer> {
        if self.writes.is_closed() && matches!(ask.body, Body::Apply(_) | Body::Status) {
            return Some(Answer::Failed("stopping".to_owned()));
        }
        if matches!(ask.body, Body::Adopt(_) | Body::Status | Body::Fetch(_)) {
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
        let needs_all = match ask.body {
            // A turn never changes: one that is here may be told also while others may be missing.
            Body::Chain(key) => state.index.find(key).is_none(),
            Body::Account(_) => true,
            _ => false,
        };
        (needs_all && state.identity.ready < own.version).then_some(Answer::NotReady)
    }

    fn list_newer_than(&self, version: u64) -> Option<Answer> {
        let state = self.lock();
        let own = &state.identity.list;
        (version < own.version).then(|| Answer::Newer(own.clone()))
    }

    /// Counts the turns and accounts that the member holds.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        let state = self.lock();
        (state.index.count(), state.ledger.count())
    }
}

fn disk_failed(fault: &io::Error) -> Answer {
    disk::log_failed(fault);
    Answer::Failed(fault.to_string())
}

/// Serves a request of another VM.
pub async fn serve(member: Arc<Member>, request: Request<Incoming>) -> Response<ResponseBody> {
    let bytes = match body::read(request.into_body(), MAX_REQUEST_BYTES).await {
        Ok(bytes) => bytes,
        Err(fault) => return response_with(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let ask = match rmp_serde::from_slice(&bytes) {
        Ok(ask) => ask,
        Err(fault) => return response_with(StatusCode::BAD_REQUEST, fault.to_string()),
    };
    let answer = member.answer(ask).await;
    match rmp_serde::to_vec(&answer) {
        Ok(bytes) => response_with(StatusCode::OK, bytes),
        Err(fault) => response_with(StatusCode::INTERNAL_SERVER_ERROR, fault.to_string()),
    }
}

fn response_with(status: StatusCode, body: impl Into<Bytes>) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::whole(body));
    *response.status_mut() = status;
    response
}
