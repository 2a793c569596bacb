//! Token accounting for a turn: tokens are reserved before it runs, and settled to what it used
//! afterwards.

use std::sync::atomic::Ordering;
use std::time::Duration;

use replica::client::Fault;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Reservation;
use replica::record::Settlement;
use tokio::time::sleep;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::job::Job;
use crate::member_health;
use crate::metrics::Counter;
use crate::node::Node;
use crate::settlement;

/// How long after a refusal for lack of tokens the reservation is tried once more. Two turns that
/// start at the same time see each other's reservation, and a turn that has just ended is settled
/// within this time.
const RECHECK_DELAY: Duration = Duration::from_millis(30);

/// The token account of a turn.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    program: Key,
    turn: Key,
    max_tokens: u32,
    budget: u64,
}

impl Account {
    /// Returns the program's key.
    #[must_use]
    pub const fn program(&self) -> Key {
        self.program
    }
}

/// Returns the account of a turn; `None` if its program has no budget.
#[must_use]
pub fn of(job: &Job) -> Option<Account> {
    let program = job.call.program.as_ref()?;
    Some(Account {
        program: job.identity.key_of(program),
        turn: job.identity.key_of(&job.call.id),
        max_tokens: u32::try_from(job.call.max_tokens).unwrap_or(u32::MAX),
        budget: job.call.budget?,
    })
}

/// Reserves the most tokens that the turn can use, and syncs another reservation of its program, if any.
///
/// # Errors
///
/// Refuses if the budget doesn't cover them, or if this can't be determined.
pub async fn reserve(
    job: &Job,
    account: Option<Account>,
    with: Option<Reservation>,
) -> Result<(), Refusal> {
    let Some(account) = account else {
        return Ok(());
    };
    wait_for_members(job).await?;
    if job.call.previous.is_some() {
        answer_of(job, job.node.replicas.check_account(account.program)).await?;
    }
    let reservation = Reservation {
        program: account.program,
        turn: account.turn,
        most: account.max_tokens,
    };
    job.reserved.store(true, Ordering::Relaxed);
    let mut spent = 0;
    for round in 0..2 {
        if round > 0 {
            sleep(RECHECK_DELAY).await;
        }
        let reserved = timeout_at(
            job.deadline,
            job.node.replicas.reserve(reservation, with, account.budget),
        );
        let verdict = match reserved.await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(fault)) => return Err(unreachable(job, &fault).await),
            Err(_) => return Err(Refusal::new(Code::WaitedTooLong, "").retry_after(delay(job))),
        };
        match verdict {
            Verdict::Fits => return Ok(()),
            Verdict::Spent(tokens) => spent = tokens,
        }
    }
    job.node.metrics.count(Counter::OverBudget);
    let detail = format!(
        "{spent} of {} tokens spent, {} requested",
        account.budget, account.max_tokens
    );
    Err(Refusal::new(Code::TokensSpent, &detail))
}

/// Waits at the process's start until enough members answer.
///
/// # Errors
///
/// Refuses if it is known that too few do.
pub async fn wait_for_members(job: &Job) -> Result<(), Refusal> {
    job.node
        .wait_at_start(Node::can_serve_turns, job.deadline)
        .await;
    check_reachable(job)
}

/// Waits for what the members answer, at most until the request's deadline.
///
/// # Errors
///
/// Refuses the request if they give no reliable answer in time.
pub async fn answer_of<T>(
    job: &Job,
    answer: impl Future<Output = replica::client::Result<T>>,
) -> Result<T, Refusal> {
    match timeout_at(job.deadline, answer).await {
        Ok(Ok(answer)) => Ok(answer),
        Ok(Err(fault)) => Err(unreachable(job, &fault).await),
        Err(_) => Err(unreachable(job, &Fault::TooFew).await),
    }
}

/// Returns the refusal of a turn for which the members gave no reliable answer, and looks into it.
pub async fn unreachable(job: &Job, fault: &Fault) -> Refusal {
    if let Fault::RecordsLost(left) = fault {
        return records_lost(fault, *left);
    }
    let _late = timeout_at(job.deadline, member_health::suspect(&job.node, fault)).await;
    let detail = member_health::detail(&job.node, fault);
    let refusal = Refusal::new(Code::RecordsUnreachable, &detail);
    refusal.retry_after(delay(job))
}

/// Returns the refusal of a turn that needs records which may have been lost with disks, `left` before they would have
/// been dropped. Asking other members doesn't bring them back, and the members that are left serve other turns.
#[must_use]
pub fn records_lost(fault: &Fault, left: Millis) -> Refusal {
    Refusal::new(Code::RecordsLost, &fault.to_string()).retry_after(left)
}

/// Refuses a turn at once if it is known that too few members can be reached. Waiting for them
/// would only cost the caller time in which another VM could serve the turn.
fn check_reachable(job: &Job) -> Result<(), Refusal> {
    if job.node.can_serve_turns() {
        return Ok(());
    }
    let seen = job.node.member_health().seen();
    let refusal = Refusal::new(Code::RecordsUnreachable, &format!("known before, {seen}"));
    Err(refusal.retry_after(delay(job)))
}

fn delay(job: &Job) -> Millis {
    let now = job.node.clock.now();
    job.node.member_health().retry_after(now)
}

/// Returns the number of tokens in `events` events, at most what was reserved.
#[must_use]
pub fn used(job: &Job, account: Option<Account>, events: u64) -> u32 {
    let engine = job.table.engine(&job.service);
    let tokens = engine.map_or(1, |engine| engine.event_tokens);
    let tokens = tokens.saturating_mul(events);
    let max_tokens = account.map_or(u32::MAX, |account| account.max_tokens);
    u32::try_from(tokens).unwrap_or(u32::MAX).min(max_tokens)
}

/// Settles a turn's tokens, if members may hold a reservation of them. No caller waits for this: until it is done,
/// the turn counts with its whole reservation.
pub fn settle(job: &Job, account: Option<Account>, used: u32) {
    let Some(account) = account else {
        return;
    };
    if !job.reserved.load(Ordering::Relaxed) {
        return;
    }
    let settlement = Settlement {
        program: account.program,
        turn: account.turn,
        used,
    };
    settlement::record(job, settlement);
}
