//! Turns: requests whose answer is a stream of events. Tokens are reserved before a turn runs, and
//! its text is kept afterwards.
//!
//! Each event is sent to the caller when it is complete. The end of a kept turn's stream is held
//! back until the turn's text is on enough disks: a caller that has seen the end may continue from
//! the turn at any VM.

use bytes::Bytes;
use hyper::Response;
use link::body::Body;
use link::body::Part;
use link::body::Payload;
use link::client::Reply;
use link::segments::Segments;
use policy::memory::Displaced;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::event::Event;

use crate::account;
use crate::account::Account;
use crate::answer;
use crate::build::Pin;
use crate::connections::READ_AHEAD_BYTES;
use crate::crashes;
use crate::delivered;
use crate::delivered::Recorder;
use crate::delivered::resumption::Claim;
use crate::events::Reader;
use crate::held::Displacement;
use crate::held::Growth;
use crate::history::History;
use crate::job;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::SendOutcome;
use crate::kept;
use crate::metrics::Break;
use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::metrics::Outcome;
use crate::refuse;
use crate::stream::begin::Begun;
use crate::stream::begin::find_runner;
use crate::stream::begin::start_turn;
use crate::work;

mod begin;
mod pace;

/// The most parts of an answer that wait for a slow caller. Beyond that, the runner's stream is not
/// read further.
const MAX_QUEUED_PARTS: usize = 32;
/// The most times that a stream is resumed after a break.
const MAX_RESUMES: u32 = 3;
/// How a stream ended.
#[derive(Debug)]
enum End {
    /// The runner sent all of the stream.
    Complete,
    /// The runner broke the stream off; holds the reason.
    Broken(String),
    /// The caller has left.
    CallerGone,
    /// The deadline passed.
    TimedOut,
    /// It took memory that others need.
    Displaced,
}

/// The state of a stream that is passed on to the caller.
struct State {
    parts: mpsc::Sender<Part>,
    reader: Reader,
    /// The data of the events, each followed by a line feed, as later turns repeat them.
    output: Segments,
    /// The bytes of the incomplete event and the output.
    growth: Growth,
    displacement: Displacement,
    /// Records the events for the VM at which the caller may take the stream up.
    recorder: Option<Recorder>,
    events: u64,
    last_event_id: Option<u64>,
    /// The time from the request's arrival to its first event.
    first_event_after: Option<Millis>,
    /// The runner that sends the stream or sent it last.
    runner: String,
    /// Which builds may go on with the stream.
    pin: Pin,
    /// When the first event came since the stream was opened or last resumed.
    first_event_at: Option<Instant>,
}

impl State {
    /// Corrects how many bytes are held for the stream.
    fn hold(&mut self) -> Result<(), Displaced> {
        let recorder = self.recorder.as_ref().map_or(0, Recorder::memory);
        let bytes = READ_AHEAD_BYTES + recorder + self.reader.memory() + self.output.memory();
        self.growth.resize(bytes as u64)
    }
}

/// Serves a turn.
pub async fn serve(job: Job, guard: work::Guard) -> Response<Body> {
    let node = job.node.clone();
    let id = job.call.id.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        Box::pin(run(job, sender)).await;
        drop(guard);
    });
    let answer = receiver.await;
    answer.unwrap_or_else(|_| refuse::task_died(&node, &id))
}

async fn run(job: Job, responder: oneshot::Sender<Response<Body>>) {
    let mut claim = None;
    let events = respond(&job, &mut claim, responder).await;
    if let Some(claim) = claim.filter(|_| events == 0) {
        delivered::withdraw(&job, &claim);
    }
}

/// Answers the caller. Returns how many events were passed on.
async fn respond(
    job: &Job,
    claim: &mut Option<Claim>,
    responder: oneshot::Sender<Response<Body>>,
) -> u64 {
    let account = account::of(job);
    let mut responder = responder;
    let started = tokio::select! {
        started = start_turn(job, account, claim) => started,
        () = responder.closed() => {
            job.log_caller_gone(0);
            account::settle(job, account, 0);
            return 0;
        }
    };
    match started {
        Ok(begun) => forward_answer(job, account, begun, responder).await,
        Err(refusal) => {
            account::settle(job, account, 0);
            // A caller that has left needs no answer.
            let _gone = responder.send(refuse::respond(&job.node, &refusal, &job.request_info()));
            0
        }
    }
}

/// Passes an answer on, and resumes the stream after a break if the route allows it. Returns how many events
/// were passed on.
async fn forward_answer(
    job: &Job,
    account: Option<Account>,
    begun: Begun,
    responder: oneshot::Sender<Response<Body>>,
) -> u64 {
    let Begun {
        history,
        delivered,
        pin,
        reply,
        attempt,
    } = begun;
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_PARTS);
    let status = reply.head.status;
    let response = answer::forwarded(status, &reply.head.headers, Body::Parts(receiver));
    if responder.send(response).is_err() {
        job.log_caller_gone(0);
        account::settle(job, account, 0);
        return 0;
    }
    let holdings = &job.node.holdings;
    let expected = holdings.expected_answer(&job.route.name);
    let (growth, displacement) = holdings.begin_growth(holdings.hold_nothing(), expected);
    let mut output = Segments::default();
    for text in &delivered.history.texts {
        output.extend(text);
    }
    let mut state = State {
        growth,
        displacement,
        parts: sender,
        reader: Reader::default(),
        output,
        recorder: delivered.recorder,
        events: 0,
        last_event_id: job.call.last_event,
        first_event_after: None,
        runner: attempt.runner.id.clone(),
        pin,
        first_event_at: None,
    };
    let success = status.is_success();
    let end = if success {
        forward_stream(job, &history, &mut state, reply, attempt).await
    } else {
        forward_body(job, &mut state, reply, &attempt).await
    };
    let events = state.events;
    finish(job, account, state, end, status.as_u16()).await;
    events
}

async fn finish(job: &Job, account: Option<Account>, state: State, end: End, status: u16) {
    let mut state = state;
    let used = account::used(job, account, state.events);
    match end {
        End::Complete => {
            let keep_started = Instant::now();
            let output = std::mem::take(&mut state.output).join();
            let holdings = &job.node.holdings;
            let taken = READ_AHEAD_BYTES + output.len();
            holdings.note_answer(&job.route.name, taken as u64);
            let success = (200..300).contains(&status);
            if success {
                crashes::note_completed(job);
            }
            if success && !kept::keep(job, account, used, &output).await {
                log_broken(job, &state, Break::Unkept, "the turn couldn't be kept");
                return;
            }
            if !success || !job.route.keeps_turns {
                account::settle(job, account, used);
            }
            job.node
                .metrics
                .record(Latency::Sync, Millis::from(keep_started.elapsed()));
            let latest = job.latest_end().max(Instant::now());
            // A caller that has left needs no end.
            if timeout_at(latest, state.parts.send(Part::End))
                .await
                .is_err()
            {
                log_broken(job, &state, Break::Late, "the caller didn't read in time");
                return;
            }
            job.node.metrics.record(Latency::WholeAnswer, job.age());
            job.node
                .metrics
                .count_outcome(Some(job.route.kind), Outcome::Answered);
            job.log_answered(&state.runner, status, state.events, state.first_event_after);
        }
        End::Broken(why) => {
            account::settle(job, account, used);
            log_broken(job, &state, Break::Runner, &why);
        }
        End::Displaced => {
            account::settle(job, account, used);
            log_broken(job, &state, Break::Runner, &Displaced.to_string());
        }
        End::CallerGone => {
            account::settle(job, account, used);
            job.log_caller_gone(state.events);
        }
        End::TimedOut => {
            account::settle(job, account, used);
            log_broken(job, &state, Break::Late, "the time is over");
        }
    }
}

/// Passes events on until the end of the stream, resuming it after breaks if the route allows it.
async fn forward_stream(
    job: &Job,
    history: &History,
    state: &mut State,
    reply: Reply,
    attempt: Attempt,
) -> End {
    let mut reply = reply;
    let mut attempt = attempt;
    let mut resumes = 0;
    loop {
        let events_before = state.events;
        state.first_event_at = None;
        let end = forward_events(job, state, &mut reply).await;
        pace::record(job, &attempt, state, events_before, &end);
        if let End::Displaced = end {
            job.log_displaced(&attempt.runner);
        }
        let End::Broken(why) = end else {
            return end;
        };
        job.note_answer_broken(&attempt.runner);
        resumes += 1;
        let may_resume = state.pin != Pin::Any
            && job.route.resumable
            && resumes <= MAX_RESUMES
            && job.time_left() > Millis::ZERO
            && !exceeds_tokens(job, state.events);
        if !may_resume {
            return End::Broken(why);
        }
        // Closes the connection, so that the runner stops before another run begins.
        drop(reply);
        match resume(job, history, state, &attempt, &why).await {
            Ok(next) => {
                (reply, attempt) = next;
                state.runner.clone_from(&attempt.runner.id);
            }
            Err(end) => return end,
        }
    }
}

/// Resumes a broken stream: at the same runner if it still answers, because it has already read the
/// prompt and another runner would count as a further run; otherwise at another runner.
async fn resume(
    job: &Job,
    history: &History,
    state: &mut State,
    attempt: &Attempt,
    why: &str,
) -> Result<(Reply, Attempt), End> {
    state.reader = Reader::default();
    let same_runner = attempt.runner.clone();
    log::info!(
        "event=E{} text=\"{}\" request={} program={} runner={} event_id={:?} why=\"{why}\" build={}",
        Event::StreamResumed.number(),
        Event::StreamResumed.text(),
        job.call.id,
        job.call.program.as_deref().unwrap_or_default(),
        same_runner.id,
        state.last_event_id,
        same_runner.build
    );
    let mut pieces = history.texts.clone();
    pieces.push(job.body.clone());
    let caller = state.parts.clone();
    let pin = &mut state.pin;
    let last_event = state.last_event_id;
    let retry_same_runner = async {
        crashes::check(job, 1).await?;
        let mut excluded = Vec::new();
        if job.may_resume_at(&same_runner) {
            excluded.push(same_runner.id.clone());
            let sent = job
                .send(same_runner, Payload::of(pieces), last_event, job.deadline)
                .await;
            if let SendOutcome::Answered(reply, attempt) = sent {
                return Ok((*reply, *attempt));
            }
        }
        find_runner(job, history, pin, &mut excluded, last_event).await
    };
    let opened = tokio::select! {
        opened = retry_same_runner => opened,
        () = caller.closed() => return Err(End::CallerGone),
    };
    match opened {
        Ok((reply, attempt)) if reply.head.status.is_success() => {
            job.node.metrics.count(Counter::Resumed);
            Ok((reply, attempt))
        }
        Ok((reply, _)) => Err(End::Broken(format!(
            "{why}; then status {}",
            reply.head.status
        ))),
        Err(refusal) => Err(End::Broken(format!("{why}; then {refusal}"))),
    }
}

async fn forward_events(job: &Job, state: &mut State, reply: &mut Reply) -> End {
    loop {
        let data = tokio::select! {
            data = reply.body.data() => data,
            () = state.parts.closed() => return End::CallerGone,
            () = tokio::time::sleep_until(job.deadline) => return End::TimedOut,
            () = state.displacement.wait() => return End::Displaced,
        };
        match data {
            Ok(Some(bytes)) => {
                if let Err(fault) = state.reader.push(&bytes) {
                    return End::Broken(fault.to_string());
                }
            }
            Ok(None) if state.reader.has_partial_event() => {
                return End::Broken("the runner ended the stream within an event".to_owned());
            }
            Ok(None) => return End::Complete,
            Err(fault) => return End::Broken(fault.to_string()),
        }
        while let Some(event) = state.reader.pop() {
            if exceeds_tokens(job, state.events) {
                return End::Broken("the runner sent more events than tokens".to_owned());
            }
            if event.id.is_some()
                && state.last_event_id.is_some()
                && event.id <= state.last_event_id
            {
                return End::Broken(
                    "the runner sent an event id that is not above the last one".to_owned(),
                );
            }
            if state.first_event_after.is_none() {
                let age = job.age();
                state.first_event_after = Some(age);
                job.node.metrics.record(Latency::FirstEvent, age);
            }
            state.first_event_at.get_or_insert_with(Instant::now);
            state.events += 1;
            state.last_event_id = event.id.or(state.last_event_id);
            if job.route.keeps_turns {
                state.output.extend(&event.data);
                state.output.extend(b"\n");
            }
            job.node.metrics.count(Counter::Events);
            if let Some(recorder) = &mut state.recorder {
                recorder.record(job, &event).await;
            }
            if let Err(end) = send(job, state, event.bytes).await {
                return end;
            }
        }
        if state.hold().is_err() {
            return End::Displaced;
        }
    }
}

/// Returns whether one more than `events` events are more than the tokens that the turn may generate, of
/// which each event holds at least one.
fn exceeds_tokens(job: &Job, events: u64) -> bool {
    job.call.max_tokens > 0 && events >= job.call.max_tokens
}

/// Queues bytes for the caller.
async fn send(job: &Job, state: &State, bytes: Bytes) -> Result<(), End> {
    let queued = job.node.holdings.queue(&state.parts, bytes);
    match timeout_at(job.deadline, queued).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) => Err(End::CallerGone),
        Err(_) => Err(End::TimedOut),
    }
}

/// Passes on an answer that isn't a stream of events: a failure of the runner itself.
async fn forward_body(job: &Job, state: &mut State, reply: Reply, attempt: &Attempt) -> End {
    let mut reply = reply;
    loop {
        let data = tokio::select! {
            data = reply.body.data() => data,
            () = state.parts.closed() => return End::CallerGone,
            () = tokio::time::sleep_until(job.deadline) => return End::TimedOut,
        };
        match data {
            Ok(Some(bytes)) => {
                if let Err(end) = send(job, state, bytes).await {
                    return end;
                }
            }
            Ok(None) => return End::Complete,
            Err(fault) => {
                job.note_failed(&attempt.runner);
                return End::Broken(fault.to_string());
            }
        }
    }
}

fn log_broken(job: &Job, state: &State, cause: Break, why: &str) {
    job.node
        .metrics
        .count_outcome(Some(job.route.kind), Outcome::Failed);
    job.node.metrics.count_break(cause);
    log::warn!(
        "event=E{} text=\"{}\" request={} program={} runner={} events={} first_ms={} ms={} why=\"{why}\" route={}",
        Event::StreamBroken.number(),
        Event::StreamBroken.text(),
        job.call.id,
        job.call.program.as_deref().unwrap_or_default(),
        state.runner,
        state.events,
        job::format_span(state.first_event_after),
        job.age().as_u64(),
        job.route.name
    );
}
