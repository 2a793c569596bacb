//! Records the events of a turn's stream before they are passed on, so that the VM at which the caller takes
//! the stream up can keep the whole turn.
//!
//! A turn is kept with all events that its caller has. The attempt that takes a stream up gets only the later
//! ones from its runner, and a new run of the earlier ones may differ from what the caller has. So where a
//! route both keeps turns and lets streams be resumed, each event is on the disks of a majority before the
//! caller has it. An event that can't be recorded is passed on all the same, and recorded with the next one that
//! can be: a stream whose first part can't be read later isn't taken up.
//!
//! The record of an event is a turn whose key is computed from the stream, the event's id and how often the
//! stream had been taken up, and which continues the record of the event before: like any turn it is copied,
//! restored and dropped. The chain of the last event that the caller has is thus what the caller has. An
//! event that an earlier attempt recorded, and its caller never got, has another key than the event that the
//! next attempt makes in its place. That the stream is taken up, and after which event, is recorded before
//! the new run begins, so that it is known which attempt made the caller's last event ([`resumption`]). Only
//! that attempt's record counts: where it is missing, the stream isn't taken up.

use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use bytes::BytesMut;
use policy::crash::Content;
use replica::call::ANSWER_TIMEOUT;
use replica::client::Fault;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use tokio::time::timeout;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;

use crate::account;
use crate::build;
use crate::content;
use crate::delivered::resumption::Claim;
use crate::delivered::resumption::Keys;
use crate::events;
use crate::history;
use crate::history::History;
use crate::job::Job;
use crate::refuse;
use crate::settlement;

pub mod resumption;

/// How long an event is held back at most while it is being recorded: as long as a member may take to answer.
/// A stream waits so long once.
const MAX_HOLD: Duration = ANSWER_TIMEOUT;
/// The same for events behind one that couldn't be recorded: several times as long as members take that answer.
const MAX_LATER_HOLD: Duration = Duration::from_millis(20);

/// The result of a step that may refuse the request.
type Result<T> = std::result::Result<T, Refusal>;

/// What the caller of a stream has, and where its further events are recorded.
#[derive(Debug, Default)]
pub struct Delivered {
    /// The data of the events that earlier attempts brought, oldest first, each followed by a line feed.
    pub history: History,
    /// `None` if the route's streams aren't recorded.
    pub recorder: Option<Recorder>,
}

/// Records the events of a stream.
#[derive(Debug)]
pub struct Recorder {
    stream: Stream,
    /// How often the stream has been taken up.
    resumptions: usize,
    /// The record of the last event.
    last: Option<Key>,
    /// The data of events that came since, and have no id or couldn't be recorded.
    pending: BytesMut,
    /// How long an event is held back at most.
    max_hold: Duration,
}

/// Identifies a stream: the attempt that began it, and what it asks for.
#[derive(Clone, Debug)]
struct Stream {
    attempt: String,
    content: Content,
}

/// Finds out what the caller of a stream has, if it takes the stream up, and records that it does. Sets `claim`
/// as soon as that may have been recorded.
///
/// # Errors
///
/// Refuses a stream that can't be taken up because what the caller has isn't known for certain.
pub async fn find(job: &Job, claim: &mut Option<Claim>) -> Result<Delivered> {
    let Some(last_event) = job.call.last_event else {
        let recorder = is_recorded(&job.route).then(|| Recorder::begin(job));
        return Ok(Delivered {
            history: History::default(),
            recorder,
        });
    };
    if !job.route.keeps_turns {
        return Ok(Delivered::default());
    }
    if !is_recorded(&job.route) {
        return Err(unknown("streams of this route can't be taken up"));
    }
    let Some(attempt) = &job.call.resumes else {
        return Err(unknown("the request names no attempt that began it"));
    };
    let stream = Stream::of(job, attempt);
    account::wait_for_members(job).await?;
    let owner = build::owner(job, attempt);
    let entries = account::answer_of(job, job.node.replicas.entries(owner)).await?;
    let resumptions = resumption::read(&entries, |number| stream.resumption_keys(job, number));
    let origin = resumption::origin(&resumptions, last_event);
    let (history, last) = read(job, &stream, origin, last_event).await?;
    let number = resumptions.len() + 1;
    let keys = stream.resumption_keys(job, number);
    let id = job.identity.key_of(&job.call.id);
    let claimed = claim.insert(Claim::new(owner, keys, id, last_event));
    record_claim(job, claimed).await?;
    let recorder = Recorder {
        stream,
        resumptions: number,
        last: Some(last),
        pending: BytesMut::new(),
        max_hold: MAX_HOLD,
    };
    Ok(Delivered {
        history,
        recorder: Some(recorder),
    })
}

/// Returns whether events of the route's streams are recorded.
fn is_recorded(route: &Route) -> bool {
    route.kind == Kind::Stream && route.keeps_turns && route.resumable
}

/// Reads the data of a stream's events up to one that the attempt of this number made. Returns the key of the
/// last one, too.
async fn read(
    job: &Job,
    stream: &Stream,
    origin: usize,
    last_event: u64,
) -> Result<(History, Key)> {
    let key = stream.event_key(job, origin, last_event);
    match history::read(&job.node, &job.call.id, key).await {
        Ok(history) => Ok((history, key)),
        Err(refusal) if refusal.code == Code::UnknownTurn => {
            let attempt = &stream.attempt;
            Err(unknown(&format!(
                "event {last_event} of {attempt} isn't recorded by the attempt that made it ({origin})"
            )))
        }
        Err(refusal) => Err(refusal),
    }
}

/// Records that the stream is taken up once more.
///
/// # Errors
///
/// Refuses the stream if another attempt does the same at this moment: their events would have the same keys.
async fn record_claim(job: &Job, claim: &Claim) -> Result<()> {
    let replicas = &job.node.replicas;
    let records = claim.reservations().map(Record::Reserve).to_vec();
    account::answer_of(job, replicas.apply(claim.owner, records)).await?;
    let entries = account::answer_of(job, replicas.entries(claim.owner)).await?;
    if claim.is_contested(&entries) {
        let refusal = unknown("another attempt takes it up at the same time");
        return Err(refusal.retry_after(refuse::RETRY_DELAY));
    }
    Ok(())
}

/// Withdraws the claim of an attempt that has passed no event on, so that its lack of records doesn't keep
/// later attempts from taking the stream up.
pub fn withdraw(job: &Job, claim: &Claim) {
    settlement::record(job, claim.withdrawal());
}

fn unknown(why: &str) -> Refusal {
    Refusal::new(Code::StreamUnknown, why)
}

impl Stream {
    fn of(job: &Job, attempt: &str) -> Self {
        Self {
            attempt: attempt.to_owned(),
            content: content::digest(job),
        }
    }

    fn event_key(&self, job: &Job, resumption: usize, event: u64) -> Key {
        self.key(job, &format!("{resumption}\n{event}"))
    }

    fn resumption_keys(&self, job: &Job, number: usize) -> Keys {
        Keys {
            number: self.key(job, &number.to_string()),
            claims: self.key(job, &format!("claims\n{number}")),
            points: self.key(job, &format!("points\n{number}")),
        }
    }

    fn key(&self, job: &Job, part: &str) -> Key {
        let Content(content) = self.content;
        let attempt = &self.attempt;
        // No id of an attempt has a line feed.
        job.identity
            .key_of(&format!("{attempt}\n{content:x}\n{part}"))
    }
}

impl Recorder {
    fn begin(job: &Job) -> Self {
        Self {
            stream: Stream::of(job, &job.call.id),
            resumptions: 0,
            last: None,
            pending: BytesMut::new(),
            max_hold: MAX_HOLD,
        }
    }

    /// Returns the bytes of the events that are still to be recorded.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.pending.capacity()
    }

    /// Records an event, and those before it that couldn't be recorded. Holds it back for that, and gives up if too
    /// few members record it in time, or if it is known that too few can be reached.
    pub async fn record(&mut self, job: &Job, event: &events::Event) {
        self.pending.extend_from_slice(&event.data);
        self.pending.extend_from_slice(b"\n");
        let Some(id) = event.id else {
            return;
        };
        if let Err(fault) = self.record_pending(job, id).await
            && self.max_hold == MAX_HOLD
        {
            log_interrupted(job, &fault);
            self.max_hold = MAX_LATER_HOLD;
        }
    }

    /// Records the data of all events up to one as its record.
    async fn record_pending(&mut self, job: &Job, id: u64) -> std::result::Result<(), Fault> {
        if !job.node.can_serve_turns() {
            return Err(Fault::TooFew);
        }
        let key = self.stream.event_key(job, self.resumptions, id);
        let turn = Turn {
            key,
            previous: self.last,
            text: self.pending.clone().freeze(),
        };
        let recorded = job.node.replicas.apply(key, vec![Record::Turn(turn)]);
        timeout(self.max_hold, recorded)
            .await
            .unwrap_or(Err(Fault::TooFew))?;
        self.last = Some(key);
        self.pending.clear();
        Ok(())
    }
}

/// Logs that events of a stream aren't recorded for the time being.
fn log_interrupted(job: &Job, fault: &Fault) {
    log::warn!(
        "event=E{} text=\"{}\" request={} program={} fault=\"{fault}\" route={}",
        Event::EventsNotRecorded.number(),
        Event::EventsNotRecorded.text(),
        job.call.id,
        job.call.program.as_deref().unwrap_or_default(),
        job.route.name
    );
}
