//! Turns: streams of events, their tokens set aside before and their text kept after.
//!
//! Events go to the client as they come, each whole. The end of a kept turn's stream is held until
//! its text is on enough disks: a client that has the end may name the turn at any VM.

use std::time::Duration;

use adapter::config::Kind;
use adapter::config::Route;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::Response;
use link::body::Body;
use link::body::Part;
use link::body::Payload;
use link::client::Reply;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;

use crate::account;
use crate::account::Account;
use crate::answer;
use crate::events::Reader;
use crate::history;
use crate::job;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::Sent;
use crate::metrics::Break;
use crate::metrics::Counter;
use crate::metrics::Latency;
use crate::metrics::Outcome;
use crate::refuse;
use crate::shutdown;
use crate::work;

/// Parts of an answer that wait for a client that reads slowly, before its runner is read no
/// further.
const DEPTH: usize = 32;
/// How often a stream is taken up again after a break.
const RESUMES: u32 = 3;
/// How long the end of a stream is held for its text to be kept, beyond the request's own time:
/// the client has all events by then, and giving up would have it repeat the whole turn.
const KEEPING: Duration = Duration::from_millis(1_500);
/// The pause between two tries to keep a turn's text.
const KEEP_PAUSE: Duration = Duration::from_millis(50);

/// The texts before a turn's own input, the oldest first.
type History = Vec<Bytes>;

/// How a stream ended.
#[derive(Debug)]
enum End {
    /// The runner sent all of it.
    Whole,
    /// The runner broke off.
    Broken(String),
    /// The client has left.
    Gone,
    /// The time is over.
    Late,
}

/// A stream on its way to the client.
struct Flow {
    parts: mpsc::Sender<Part>,
    reader: Reader,
    /// The events' data, each with a line feed, as later turns repeat them.
    output: BytesMut,
    events: u64,
    last: Option<u64>,
    /// How long after the request's arrival its first event came.
    first: Option<Millis>,
    /// The runner that has the stream, or had it last.
    runner: String,
    /// When the first event since the stream was last taken up came.
    begun: Option<Instant>,
}

/// Yields when a request is over at the latest that has to have its answer at `until`: the end of an
/// answer may be held beyond.
#[must_use]
pub fn ends(route: &Route, until: Instant) -> Instant {
    if is_kept(route) {
        until + KEEPING
    } else {
        until
    }
}

/// Tells whether a turn's text has to be on disks before its end goes out.
fn is_kept(route: &Route) -> bool {
    route.kind == Kind::Stream && route.keeps_turns
}

/// Serves a turn.
pub async fn serve(job: Job, guard: work::Guard) -> Response<Body> {
    let node = job.node.clone();
    let id = job.call.id.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        run(job, sender).await;
        drop(guard);
    });
    let answer = receiver.await;
    answer.unwrap_or_else(|_| refuse::died(&node, &id))
}

async fn run(job: Job, head: oneshot::Sender<Response<Body>>) {
    let account = account::of(&job);
    let mut head = head;
    let begun = tokio::select! {
        begun = begin(&job, account) => begun,
        () = head.closed() => {
            job.log_gone(0);
            account::settle(&job, account, 0);
            return;
        }
    };
    match begun {
        Ok((reply, attempt, history)) => {
            answered(&job, account, &history, reply, attempt, head).await;
        }
        Err(refusal) => {
            account::settle(&job, account, 0);
            // A client that has left needs no answer.
            let _gone = head.send(refuse::answer(&job.node, &refusal, &job.subject()));
        }
    }
}

/// Prepares a turn and finds the runner that answers it.
async fn begin(job: &Job, account: Option<Account>) -> Result<(Reply, Attempt, History), Refusal> {
    let prepared = prepare(job, account);
    let history = shutdown::with_send_deadline(&job.node, job.ends(), prepared).await??;
    job.node.metrics.record(Latency::Prepare, job.age());
    let mut not = Vec::new();
    let mut runs = 0;
    let last_event = job.call.last_event;
    let opened = open(job, &history, &mut not, &mut runs, last_event);
    let (reply, attempt) = shutdown::with_answer_deadline(&job.node, opened).await??;
    job.note_wait(&attempt);
    Ok((reply, attempt, history))
}

async fn prepare(job: &Job, account: Option<Account>) -> Result<History, Refusal> {
    let (history, ()) = tokio::try_join!(read_history(job), account::reserve(job, account))?;
    Ok(history)
}

async fn read_history(job: &Job) -> Result<History, Refusal> {
    match &job.call.previous {
        Some(previous) if job.route.keeps_turns => {
            history::whole(&job.node, Key::of(previous)).await
        }
        _ => Ok(Vec::new()),
    }
}

/// Offers the turn to runners until one answers. `runs` counts those that may have run it.
async fn open(
    job: &Job,
    history: &[Bytes],
    not: &mut Vec<String>,
    runs: &mut u32,
    last_event: Option<u64>,
) -> Result<(Reply, Attempt), Refusal> {
    for _ in 0..job::OFFERS {
        if job.left() == Millis::ZERO {
            break;
        }
        if *runs == 0 {
            shutdown::allow_send(&job.node, job.ends())?;
        } else {
            shutdown::allow_retry(&job.node, job.ends())?;
        }
        let Some(runner) = job.choose(not) else {
            return Err(refuse::nowhere(*runs));
        };
        let id = runner.id.clone();
        let mut pieces = history.to_vec();
        pieces.push(job.body.clone());
        let sent = job
            .send(runner, Payload::of(pieces), last_event, job.until)
            .await;
        match sent {
            Sent::Answers(reply, attempt) => return Ok((*reply, attempt)),
            Sent::NotRun => not.push(id),
            Sent::Unknown(why) => {
                *runs += 1;
                job.log_retry(&id, &why);
                not.push(id);
                if !job.route.resumable || *runs >= job.route.attempts {
                    return Err(Refusal::new(Code::EndpointFailed, &why).ran(Ran::Unknown));
                }
            }
            Sent::Late => {
                *runs += 1;
                break;
            }
        }
    }
    if job.left() == Millis::ZERO {
        return Err(refuse::late(*runs));
    }
    Err(refuse::nowhere(*runs))
}

/// Passes an answer on, and takes the stream up again where it breaks and may be.
async fn answered(
    job: &Job,
    account: Option<Account>,
    history: &[Bytes],
    reply: Reply,
    attempt: Attempt,
    head: oneshot::Sender<Response<Body>>,
) {
    let (sender, receiver) = mpsc::channel(DEPTH);
    let status = reply.head.status;
    let response = answer::passed_on(status, &reply.head.headers, Body::Parts(receiver));
    let mut response = response;
    // The end is the system's to send, so the length isn't the runner's to announce.
    response.headers_mut().remove(hyper::header::CONTENT_LENGTH);
    if head.send(response).is_err() {
        job.log_gone(0);
        account::settle(job, account, 0);
        return;
    }
    let mut flow = Flow {
        parts: sender,
        reader: Reader::default(),
        output: BytesMut::new(),
        events: 0,
        last: job.call.last_event,
        first: None,
        runner: attempt.runner.id.clone(),
        begun: None,
    };
    let success = status.is_success();
    let end = if success {
        follow(job, history, &mut flow, reply, attempt).await
    } else {
        copy(job, &mut flow, reply).await
    };
    finish(job, account, flow, end, status.as_u16()).await;
}

async fn finish(job: &Job, account: Option<Account>, flow: Flow, end: End, status: u16) {
    let mut flow = flow;
    let used = account::used(job, account, flow.events);
    match end {
        End::Whole => {
            let last = Instant::now();
            let output = std::mem::take(&mut flow.output).freeze();
            let success = (200..300).contains(&status);
            if success && !keep(job, account, used, &output).await {
                log_broken(job, &flow, Break::Unkept, "the turn couldn't be kept");
                return;
            }
            if !success || !job.route.keeps_turns {
                account::settle(job, account, used);
            }
            job.node
                .metrics
                .record(Latency::Sync, Millis::from(last.elapsed()));
            job.node.metrics.record(Latency::WholeAnswer, job.age());
            job.node
                .metrics
                .count_outcome(Some(job.route.kind), Outcome::Answered);
            // A client that has left needs no end.
            let _gone = flow.parts.send(Part::End).await;
            job.log_answered(&flow.runner, status, flow.events, flow.first);
        }
        End::Broken(why) => {
            account::settle(job, account, used);
            log_broken(job, &flow, Break::Runner, &why);
        }
        End::Gone => {
            account::settle(job, account, used);
            job.log_gone(flow.events);
        }
        End::Late => {
            account::settle(job, account, used);
            log_broken(job, &flow, Break::Late, "the time is over");
        }
    }
}

/// Passes events on until the end, over breaks where the route allows.
async fn follow(
    job: &Job,
    history: &[Bytes],
    flow: &mut Flow,
    reply: Reply,
    attempt: Attempt,
) -> End {
    let mut reply = reply;
    let mut attempt = attempt;
    let mut resumes = 0;
    loop {
        let before = flow.events;
        flow.begun = None;
        let end = pump(job, flow, &mut reply).await;
        note(job, &attempt, flow, before, &end);
        let End::Broken(why) = end else {
            return end;
        };
        resumes += 1;
        if !job.route.resumable || resumes > RESUMES || job.left() == Millis::ZERO {
            return End::Broken(why);
        }
        match resume(job, history, flow, &attempt, &why).await {
            Ok(next) => {
                (reply, attempt) = next;
                flow.runner.clone_from(&attempt.runner.id);
            }
            Err(end) => return end,
        }
    }
}

/// Takes a broken stream up again: at its runner if that still answers, as it has read the prompt
/// and another one would count as a further run, else at another.
async fn resume(
    job: &Job,
    history: &[Bytes],
    flow: &mut Flow,
    attempt: &Attempt,
    why: &str,
) -> Result<(Reply, Attempt), End> {
    flow.reader = Reader::default();
    let same = attempt.runner.clone();
    log::info!(
        "event=E{} text=\"{}\" request={} program={} runner={} event_id={:?} why=\"{why}\"",
        Event::StreamResumed.number(),
        Event::StreamResumed.text(),
        job.call.id,
        job.call.program.as_deref().unwrap_or_default(),
        same.id,
        flow.last
    );
    let mut pieces = history.to_vec();
    pieces.push(job.body.clone());
    let gone = flow.parts.clone();
    let again = async {
        let id = same.id.clone();
        let sent = job
            .send(same, Payload::of(pieces), flow.last, job.until)
            .await;
        if let Sent::Answers(reply, attempt) = sent {
            return Ok((*reply, attempt));
        }
        let mut not = vec![id];
        open(job, history, &mut not, &mut 0, flow.last).await
    };
    let opened = tokio::select! {
        opened = again => opened,
        () = gone.closed() => return Err(End::Gone),
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

/// Notes how fast the runner was.
///
/// Counted from its first event on: the wait for a slot and the reading of the prompt would else
/// make a runner look slow that only got long prompts.
fn note(job: &Job, attempt: &Attempt, flow: &Flow, before: u64, end: &End) {
    let events = flow.events - before;
    let now = job.node.clock.now();
    let mut fleet = job.node.fleet();
    let Some(runner) = fleet.runner(&attempt.runner.id) else {
        return;
    };
    match end {
        End::Broken(_) => runner.note_failed(now),
        End::Whole if events > 1 => {
            let engine = job.table.engine(&job.service);
            let tokens = engine.map_or(1, |engine| engine.event_tokens) * (events - 1);
            let begun = flow.begun.unwrap_or_else(Instant::now);
            runner.note_success(tokens, Millis::from(begun.elapsed()), now);
        }
        End::Whole | End::Gone | End::Late => {}
    }
}

async fn pump(job: &Job, flow: &mut Flow, reply: &mut Reply) -> End {
    loop {
        let data = tokio::select! {
            data = reply.body.data() => data,
            () = flow.parts.closed() => return End::Gone,
            () = tokio::time::sleep_until(job.until) => return End::Late,
        };
        match data {
            Ok(Some(bytes)) => {
                if let Err(fault) = flow.reader.push(&bytes) {
                    return End::Broken(fault.to_string());
                }
            }
            Ok(None) if flow.reader.is_within() => {
                return End::Broken("the runner stopped within an event".to_owned());
            }
            Ok(None) => return End::Whole,
            Err(fault) => return End::Broken(fault.to_string()),
        }
        while let Some(event) = flow.reader.pop() {
            if event.id.is_some() && flow.last.is_some() && event.id <= flow.last {
                return End::Broken("an event came twice".to_owned());
            }
            if flow.first.is_none() {
                let age = job.age();
                flow.first = Some(age);
                job.node.metrics.record(Latency::FirstEvent, age);
            }
            flow.begun.get_or_insert_with(Instant::now);
            flow.events += 1;
            flow.last = event.id.or(flow.last);
            if job.route.keeps_turns {
                flow.output.extend_from_slice(&event.data);
                flow.output.extend_from_slice(b"\n");
            }
            job.node.metrics.count(Counter::Events);
            let sent = timeout_at(job.until, flow.parts.send(Part::Data(event.bytes)));
            match sent.await {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return End::Gone,
                Err(_) => return End::Late,
            }
        }
    }
}

/// Passes an answer on that isn't a stream of events, a failure of the runner's own.
async fn copy(job: &Job, flow: &mut Flow, reply: Reply) -> End {
    let mut reply = reply;
    loop {
        let data = tokio::select! {
            data = reply.body.data() => data,
            () = flow.parts.closed() => return End::Gone,
            () = tokio::time::sleep_until(job.until) => return End::Late,
        };
        match data {
            Ok(Some(bytes)) => {
                if flow.parts.send(Part::Data(bytes)).await.is_err() {
                    return End::Gone;
                }
            }
            Ok(None) => return End::Whole,
            Err(fault) => return End::Broken(fault.to_string()),
        }
    }
}

/// Keeps a turn's text and settles its tokens; tells whether it is kept, if it has to be.
async fn keep(job: &Job, account: Option<Account>, used: u32, output: &Bytes) -> bool {
    if !is_kept(&job.route) {
        return true;
    }
    let key = Key::of(&job.call.id);
    let previous = job.call.previous.as_deref().map(Key::of);
    let mut text = BytesMut::with_capacity(job.body.len() + output.len());
    text.extend_from_slice(&job.body);
    text.extend_from_slice(output);
    let text = text.freeze();
    let turn = Turn {
        key,
        previous,
        text: text.clone(),
    };
    let until = job.until.max(Instant::now()) + KEEPING;
    loop {
        let kept = job
            .node
            .replicas
            .apply(key, vec![Record::Turn(turn.clone())]);
        match timeout_at(until, kept).await {
            Ok(Ok(())) => break,
            Ok(Err(fault)) => log::warn!(
                "event=E{} text=\"{}\" request={} program={} fault=\"{fault}\"",
                Event::TurnNotKept.number(),
                Event::TurnNotKept.text(),
                job.call.id,
                job.call.program.as_deref().unwrap_or_default()
            ),
            Err(_) => return false,
        }
        if job.node.records().is_outage(job.node.clock.now()) {
            // The cut or outage lasts, so it is no restart of two members: the client comes again
            // sooner where the stream breaks off now than where it waits for an end that doesn't come.
            return false;
        }
        sleep(KEEP_PAUSE).await;
    }
    account::settle(job, account, used);
    job.node.turns().insert(key, text, previous);
    true
}

fn log_broken(job: &Job, flow: &Flow, cause: Break, why: &str) {
    job.node
        .metrics
        .count_outcome(Some(job.route.kind), Outcome::Failed);
    job.node.metrics.count_break(cause);
    log::warn!(
        "event=E{} text=\"{}\" request={} program={} route={} runner={} events={} first_ms={} ms={} why=\"{why}\"",
        Event::StreamBroken.number(),
        Event::StreamBroken.text(),
        job.call.id,
        job.call.program.as_deref().unwrap_or_default(),
        job.route.name,
        flow.runner,
        flow.events,
        job::told(flow.first),
        job.age().as_u64()
    );
}
