//! Plain calls: one answer, whole before any of it is passed on.

use std::sync::Arc;
use std::time::Duration;

use adapter::config::Kind;
use hyper::Response;
use link::body::Body;
use link::body::Payload;
use link::client::Reply;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;

use crate::answer;
use crate::job;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::Sent;
use crate::metrics::Outcome;
use crate::metrics::Span;
use crate::refuse;
use crate::shutdown;
use crate::work;

/// The longest answer in bytes that is held to be passed on whole.
const MAX_ANSWER: usize = 8 * 1024 * 1024;
/// After this many times the wanted time, a repeatable call that got no answer is tried elsewhere.
/// Work of twice the usual length ends sooner; a lost answer never comes.
const PATIENCE: u32 = 3;

/// Serves a call. One that may run at most once goes on where the client has left, as breaking it
/// off would leave its outcome unknown to everyone; `guard` has the process wait for it when it stops.
pub async fn serve(job: Job, guard: work::Guard) -> Response<Body> {
    if job.route.kind == Kind::Idempotent {
        return run_watched(&job).await;
    }
    let asked = Arc::new(job);
    let job = asked.clone();
    let (sender, receiver) = oneshot::channel();
    tokio::spawn(async move {
        let response = attempts(&job)
            .await
            .unwrap_or_else(|why| refuse(&job, &why));
        drop(guard);
        if sender.send(response).is_err() {
            log::info!(
                "event=E{} text=\"{}\" request={} ran_on=true",
                Event::CallerGone.number(),
                Event::CallerGone.text(),
                job.call.id
            );
        }
    });
    match shutdown::by_the_end(&asked.node, receiver).await {
        Ok(Ok(response)) => response,
        Ok(Err(_)) => refuse::died(&asked.node, &asked.call.id),
        Err(refusal) => refuse(&asked, &refusal),
    }
}

/// Tells that the caller has left where it is dropped before the call's end.
struct Watch<'a> {
    job: &'a Job,
    ended: bool,
}

impl Drop for Watch<'_> {
    fn drop(&mut self) {
        if !self.ended {
            self.job.log_gone(0);
        }
    }
}

/// Runs a call that is broken off where its caller leaves.
async fn run_watched(job: &Job) -> Response<Body> {
    let mut watch = Watch { job, ended: false };
    let answer = shutdown::by_the_end(&job.node, attempts(job)).await;
    watch.ended = true;
    match answer {
        Ok(Ok(response)) => response,
        Ok(Err(refusal)) | Err(refusal) => refuse(job, &refusal),
    }
}

fn refuse(job: &Job, refusal: &Refusal) -> Response<Body> {
    refuse::answer(&job.node, refusal, &job.subject())
}

async fn attempts(job: &Job) -> Result<Response<Body>, Refusal> {
    let mut not = Vec::new();
    let mut runs = 0;
    let mut offers = 0;
    loop {
        if job.left() == Millis::ZERO {
            return Err(refuse::late(runs));
        }
        if runs == 0 {
            shutdown::pass_on(&job.node, job.ends())?;
        } else {
            shutdown::try_again(&job.node, job.ends())?;
        }
        let Some(runner) = job.choose(&not) else {
            return Err(refuse::nowhere(runs));
        };
        let id = runner.id.clone();
        offers += 1;
        let repeatable = job.route.kind == Kind::Idempotent;
        let more = repeatable && runs + 1 < job.route.attempts;
        let payload = Payload::from(job.body.clone());
        let until = patience(job, more);
        let why = match job.send(runner, payload, None, until).await {
            Sent::Answers(reply, attempt) => match whole(job, *reply, attempt, until).await {
                Ok(response) => return Ok(response),
                Err(why) => why,
            },
            Sent::NotRun if offers < job::OFFERS => {
                not.push(id);
                continue;
            }
            Sent::NotRun => return Err(refuse::nowhere(runs)),
            Sent::Unknown(why) => why,
            Sent::Late => "no answer in time".to_owned(),
        };
        runs += 1;
        job.log_retry(&id, &why);
        not.push(id);
        if !more {
            return Err(failed(job, &why));
        }
    }
}

/// Yields until when an answer is waited for before the call is tried elsewhere.
fn patience(job: &Job, more: bool) -> Instant {
    if !more {
        return job.until;
    }
    let aim = job.route.slo.as_duration().max(Duration::from_millis(20));
    job.until.min(Instant::now() + aim * PATIENCE)
}

async fn whole(
    job: &Job,
    reply: Reply,
    attempt: Attempt,
    until: Instant,
) -> Result<Response<Body>, String> {
    let head = reply.head;
    let read = timeout_at(until, reply.body.whole(MAX_ANSWER)).await;
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(fault)) => {
            let now = job.node.clock.now();
            if let Some(runner) = job.node.fleet().runner(&attempt.runner.id) {
                runner.note_failed(now);
            }
            return Err(fault.to_string());
        }
        Err(_) => return Err("the answer's body wasn't whole in time".to_owned()),
    };
    let span = Millis::from(attempt.sent.elapsed());
    let now = job.node.clock.now();
    // A failure tells nothing of how long work takes; most come at once.
    if !job::is_failure(head.status)
        && let Some(runner) = job.node.fleet().runner(&attempt.runner.id)
    {
        runner.note_done(1, span, now);
    }
    job.node
        .metrics
        .end(Some(job.route.kind), Outcome::Answered);
    job.note_wait(&attempt);
    job.node.metrics.time(Span::Whole, job.age());
    job.log_answered(&attempt.runner.id, head.status.as_u16(), 0, None);
    Ok(answer::passed_on(
        head.status,
        &head.headers,
        Body::whole(body),
    ))
}

fn failed(job: &Job, why: &str) -> Refusal {
    let code = if job.left() == Millis::ZERO {
        Code::OutcomeUnknown
    } else {
        Code::EndpointFailed
    };
    Refusal::new(code, why).ran(Ran::Unknown)
}
