//! Prepares a turn, and finds the runner that answers it.

use link::body::Payload;
use link::client::Reply;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;

use crate::account;
use crate::account::Account;
use crate::build;
use crate::build::Pin;
use crate::crashes;
use crate::delivered;
use crate::delivered::Delivered;
use crate::delivered::resumption::Claim;
use crate::history;
use crate::history::History;
use crate::job;
use crate::job::Attempt;
use crate::job::Job;
use crate::job::SendOutcome;
use crate::metrics::Latency;
use crate::opening;
use crate::refuse;
use crate::shutdown;

/// A turn that a runner has begun to answer.
pub struct Begun {
    /// What the turn continues from.
    pub history: History,
    /// What the caller has, if it takes the stream up.
    pub delivered: Delivered,
    /// Which builds may go on with the stream.
    pub pin: Pin,
    /// The runner's answer, whose body is still to be read.
    pub reply: Reply,
    /// The attempt that was answered.
    pub attempt: Attempt,
}

/// Prepares a turn and finds the runner that answers it. Sets `claim` as [`delivered::find`] does.
///
/// # Errors
///
/// Refuses a turn that can't be prepared, or that no runner answers.
pub async fn start_turn(
    job: &Job,
    account: Option<Account>,
    claim: &mut Option<Claim>,
) -> Result<Begun, Refusal> {
    crashes::check(job, 0).await?;
    let admitted = opening::admit(job, account);
    shutdown::with_send_deadline(&job.node, job.latest_end(), admitted).await??;
    let pinned = build::pin(job, account);
    let mut pin = shutdown::with_send_deadline(&job.node, job.latest_end(), pinned).await??;
    let delivered = delivered::find(job, claim);
    let delivered = shutdown::with_send_deadline(&job.node, job.latest_end(), delivered).await??;
    let prepared = prepare(job, account, &pin);
    let history = shutdown::with_send_deadline(&job.node, job.latest_end(), prepared).await??;
    job.node.metrics.record(Latency::Prepare, job.age());
    let last_event = job.call.last_event;
    let mut excluded = Vec::new();
    let opened = find_runner(job, &history, &mut pin, &mut excluded, last_event);
    let (reply, attempt) = shutdown::with_answer_deadline(&job.node, opened).await??;
    job.record_wait(&attempt);
    pin.fix();
    Ok(Begun {
        history,
        delivered,
        pin,
        reply,
        attempt,
    })
}

async fn prepare(job: &Job, account: Option<Account>, pin: &Pin) -> Result<History, Refusal> {
    let reserved = account::reserve(job, account, build::reservation_of(job, pin));
    let (history, ()) = tokio::try_join!(read_history(job), reserved)?;
    Ok(history)
}

async fn read_history(job: &Job) -> Result<History, Refusal> {
    match &job.call.previous {
        Some(previous) if job.route.keeps_turns => {
            let last = job.identity.key_of(previous);
            history::load(&job.node, &job.call.id, last, job.rank(), job.time_left()).await
        }
        _ => Ok(History::default()),
    }
}

/// Offers the turn to runners until one answers.
///
/// # Errors
///
/// Refuses a turn that no runner answers in time, and one that may have run and can't be repeated.
pub async fn find_runner(
    job: &Job,
    history: &History,
    pin: &mut Pin,
    excluded: &mut Vec<String>,
    last_event: Option<u64>,
) -> Result<(Reply, Attempt), Refusal> {
    // Counts the runners that may have run the turn.
    let mut possible_runs = 0;
    for _ in 0..job::MAX_OFFERS {
        if job.time_left() == Millis::ZERO {
            break;
        }
        if possible_runs == 0 {
            shutdown::allow_send(&job.node, job.latest_end())?;
        } else {
            shutdown::allow_retry(&job.node, job.latest_end())?;
        }
        crashes::check(job, possible_runs).await?;
        let Some(runner) = job.choose(excluded, pin.software()) else {
            build::move_on(job, pin, excluded, possible_runs).await?;
            continue;
        };
        let id = runner.id.clone();
        let mut pieces = history.texts.clone();
        pieces.push(job.body.clone());
        let sent = job
            .send(runner, Payload::of(pieces), last_event, job.deadline)
            .await;
        match sent {
            SendOutcome::Answered(reply, attempt) => return Ok((*reply, *attempt)),
            SendOutcome::NotRun => excluded.push(id),
            SendOutcome::Unknown(why) => {
                possible_runs += 1;
                job.log_retry(&id, &why);
                excluded.push(id);
                if !job.route.resumable || possible_runs >= job.route.attempts {
                    return Err(Refusal::new(Code::EndpointFailed, &why).ran(Ran::Unknown));
                }
            }
            SendOutcome::TimedOut => {
                possible_runs += 1;
                break;
            }
        }
    }
    if job.time_left() == Millis::ZERO {
        return Err(refuse::timed_out(possible_runs));
    }
    Err(refuse::no_runner(possible_runs))
}
