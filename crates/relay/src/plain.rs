//! Plain calls: one answer, which is complete before any of it is passed on.

use std::sync::Arc;
use std::time::Duration;

use adapter::config::Kind;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use hyper::Response;
use link::body::Body;
use link::body::Payload;
use link::client;
use link::client::Reply;
use link::ingress::Meaning;
use link::ingress::Meter;
use policy::memory::Displaced;
use policy::memory::Step;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

use crate::answer;
use crate::build;
use crate::crashes;
use crate::fleet::Software;
use crate::held::Displacement;
use crate::held::Growth;
use crate::held::Held;
use crate::job;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::SendOutcome;
use crate::metrics::Latency;
use crate::metrics::Outcome;
use crate::refuse;
use crate::shutdown;
use crate::work;

/// The longest answer that is buffered to be passed on whole, in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// A repeatable call that got no answer within this multiple of the route's target time is tried
/// elsewhere. Work that takes twice the usual time ends sooner; a lost answer never comes.
const TIMEOUT_MULTIPLE: u32 = 3;

/// Serves a call. A call that may run at most once continues after its caller has left, because
/// breaking it off would leave its outcome unknown to everyone. One that has only ended its half of the
/// connection gets the answer; a closed connection answers it with a reset. `guard` makes a stopping process
/// wait for the call.
pub async fn serve(job: Job, guard: work::Guard) -> Response<Body> {
    if job.route.kind == Kind::Idempotent {
        return run_cancellable(&job).await;
    }
    if let Some(connection) = &job.connection {
        connection.decide(Meaning::Waits);
    }
    let shared = Arc::new(job);
    let job = shared.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let response = run_attempts(&job)
            .await
            .unwrap_or_else(|why| refuse(&job, &why));
        drop(guard);
        let connection = job.connection.as_ref();
        if sender.send(response).is_err() || connection.is_some_and(Meter::is_half_closed) {
            job.log_ran_on();
        }
    });
    match shutdown::with_answer_deadline(&shared.node, receiver).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => refuse::task_died(&shared.node, &shared.call.id),
        Err(refusal) => refuse(&shared, &refusal),
    }
}

/// Logs that the caller has left if the guard is dropped before the call has finished.
struct CallerGoneGuard<'a> {
    job: &'a Job,
    finished: bool,
}

impl Drop for CallerGoneGuard<'_> {
    fn drop(&mut self) {
        if !self.finished {
            self.job.log_caller_gone(0);
        }
    }
}

/// Runs a call that is broken off when its caller leaves.
async fn run_cancellable(job: &Job) -> Response<Body> {
    let mut guard = CallerGoneGuard {
        job,
        finished: false,
    };
    let answer = shutdown::with_answer_deadline(&job.node, run_attempts(job)).await;
    guard.finished = true;
    match answer {
        Ok(Ok(response)) => response,
        Ok(Err(refusal)) | Err(refusal) => refuse(job, &refusal),
    }
}

fn refuse(job: &Job, refusal: &Refusal) -> Response<Body> {
    refuse::respond(&job.node, refusal, &job.request_info())
}

async fn run_attempts(job: &Job) -> Result<Response<Body>, Refusal> {
    build::check_call(job)?;
    let mut excluded = Vec::new();
    let mut possible_runs = 0;
    let mut offers = 0;
    let mut memory = Some(hold_answer(job).await?);
    loop {
        if job.time_left() == Millis::ZERO {
            return Err(refuse::timed_out(possible_runs));
        }
        if possible_runs == 0 {
            shutdown::allow_send(&job.node, job.latest_end())?;
        } else {
            shutdown::allow_retry(&job.node, job.latest_end())?;
        }
        crashes::check(job, possible_runs).await?;
        let Some(runner) = job.choose(&excluded, Software::Any) else {
            return Err(refuse::no_runner(possible_runs));
        };
        let id = runner.id.clone();
        offers += 1;
        let repeatable = job.route.kind == Kind::Idempotent;
        let may_retry = repeatable && possible_runs + 1 < job.route.attempts;
        let payload = Payload::from(job.body.clone());
        let deadline = attempt_deadline(job, may_retry);
        let why = match job.send(runner, payload, None, deadline).await {
            SendOutcome::Answered(reply, attempt) => {
                match read_answer(job, *reply, *attempt, deadline, &mut memory).await {
                    Ok(response) => return Ok(response),
                    Err(why) => why,
                }
            }
            SendOutcome::NotRun if offers < job::MAX_OFFERS => {
                excluded.push(id);
                continue;
            }
            SendOutcome::NotRun => return Err(refuse::no_runner(possible_runs)),
            SendOutcome::Unknown(why) => why,
            SendOutcome::TimedOut => "no answer in time".to_owned(),
        };
        possible_runs += 1;
        job.log_retry(&id, &why);
        excluded.push(id);
        if !may_retry {
            return Err(failure(job, &why));
        }
    }
}

/// Holds the memory for the call's answer before a runner gets the call, by the size of the route's last
/// answers. Once it may have run, its answer is read however long it is.
async fn hold_answer(job: &Job) -> Result<Held, Refusal> {
    let holdings = &job.node.holdings;
    let bytes = holdings.expected_answer(&job.route.name);
    let bytes = bytes.min(holdings.limit());
    let claim = holdings.claim(Step::Work, job.rank(), bytes, job.time_left());
    shutdown::with_send_deadline(&job.node, job.latest_end(), claim).await?
}

/// Returns until when an attempt waits for its answer; after that the call is tried elsewhere if
/// `may_retry`.
fn attempt_deadline(job: &Job, may_retry: bool) -> Instant {
    if !may_retry {
        return job.deadline;
    }
    let target = job.route.slo.as_duration().max(Duration::from_millis(20));
    job.deadline.min(Instant::now() + target * TIMEOUT_MULTIPLE)
}

async fn read_answer(
    job: &Job,
    reply: Reply,
    attempt: Attempt,
    deadline: Instant,
    memory: &mut Option<Held>,
) -> Result<Response<Body>, String> {
    let head = reply.head;
    let claimed = memory.take();
    let claimed = claimed.unwrap_or_else(|| job.node.holdings.hold_nothing());
    let (claimed, outcome) = read_body(job, reply.body, deadline, claimed).await;
    let body = match outcome {
        Ok(body) => body,
        Err(fault) => {
            *memory = Some(claimed);
            job.note_failed(&attempt.runner);
            if let Unread::Displaced(_) = fault {
                job.log_displaced(&attempt.runner);
            }
            if let Unread::Broken(_) = fault {
                job.note_answer_broken(&attempt.runner);
            }
            return Err(fault.to_string());
        }
    };
    job.node
        .holdings
        .note_answer(&job.route.name, body.len() as u64);
    let body = claimed.attach(body);
    let span = Millis::from(attempt.sent_at.elapsed());
    let now = job.node.clock.now();
    // A failure says nothing about how long the work takes; most failures come at once.
    if !job::is_runner_failure(head.status)
        && let Some(runner) = job.node.fleet().runner(&attempt.runner.id)
    {
        runner.note_success(1, attempt.usual_span(span), now);
    }
    if head.status.is_success() {
        crashes::note_completed(job);
    }
    job.node
        .metrics
        .count_outcome(Some(job.route.kind), Outcome::Answered);
    job.record_wait(&attempt);
    job.node.metrics.record(Latency::WholeAnswer, job.age());
    job.log_answered(&attempt.runner.id, head.status.as_u16(), 0, None);
    Ok(answer::forwarded(
        head.status,
        &head.headers,
        Body::whole(body),
    ))
}

/// Why the body of an answer wasn't read.
#[derive(Debug, Display, Error)]
enum Unread {
    /// It broke off, or is longer than it may be.
    #[display("{_0}")]
    Broken(client::Fault),
    /// It didn't end in time.
    #[display("the answer's body was not complete in time")]
    Late,
    /// It took memory that others need.
    #[display("{_0}")]
    Displaced(Displaced),
}

/// Reads the body of an answer while there is memory for it. Returns what was held for it as well.
async fn read_body(
    job: &Job,
    body: client::Body,
    deadline: Instant,
    held: Held,
) -> (Held, Result<Bytes, Unread>) {
    let expected = held.bytes();
    let (mut growth, displacement) = job.node.holdings.begin_growth(held, expected);
    let read = read_counted(body, deadline, &mut growth, displacement).await;
    (growth.into_claimed(), read)
}

async fn read_counted(
    body: client::Body,
    deadline: Instant,
    growth: &mut Growth,
    mut displacement: Displacement,
) -> Result<Bytes, Unread> {
    // An answer of a known length takes all of it at once, so that several don't displace each other.
    let stated = body.size().min(MAX_ANSWER_BYTES as u64);
    growth.resize(stated).map_err(Unread::Displaced)?;
    let may_grow = |bytes: usize| growth.resize(stated.max(bytes as u64)).is_ok();
    let read = body.whole_while(MAX_ANSWER_BYTES, may_grow);
    tokio::select! {
        biased;
        () = displacement.wait() => Err(Unread::Displaced(Displaced)),
        read = timeout_at(deadline, read) => match read {
            Ok(read) => read.map_err(Unread::from),
            Err(_) => Err(Unread::Late),
        },
    }
}

impl From<client::Unread> for Unread {
    fn from(unread: client::Unread) -> Self {
        match unread {
            client::Unread::Broken(fault) => Self::Broken(fault),
            client::Unread::Stopped(_) => Self::Displaced(Displaced),
        }
    }
}

fn failure(job: &Job, why: &str) -> Refusal {
    let code = if job.time_left() == Millis::ZERO {
        Code::OutcomeUnknown
    } else {
        Code::EndpointFailed
    };
    Refusal::new(code, why).ran(Ran::Unknown)
}
