//! A turn's account: tokens set aside before it runs, and what of them it used.

use std::time::Duration;

use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Reservation;
use replica::record::Settlement;
use tokio::time::sleep;
use tokio::time::timeout_at;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::event::Event;

use crate::job::Job;
use crate::metrics::Counter;
use crate::node::Node;
use crate::records;
use crate::work;

/// How long after a refusal for want of tokens the account is looked at once more: two turns that
/// start at the same time each see the other's reservation, and a turn that has just ended is
/// settled within this time.
const SECOND_LOOK: Duration = Duration::from_millis(30);

/// A turn's account of tokens.
#[derive(Clone, Copy, Debug)]
pub struct Account {
    program: Key,
    turn: Key,
    most: u32,
    budget: u64,
}

/// Yields the account of a turn whose program has a budget.
#[must_use]
pub fn of(job: &Job) -> Option<Account> {
    let program = job.call.program.as_ref()?;
    Some(Account {
        program: Key::of(program),
        turn: Key::of(&job.call.id),
        most: u32::try_from(job.call.max_tokens).unwrap_or(u32::MAX),
        budget: job.call.budget?,
    })
}

/// Sets the most that the turn can use aside.
///
/// # Errors
///
/// Refuses where the budget doesn't hold it, or where that can't be told.
pub async fn reserve(job: &Job, account: Option<Account>) -> Result<(), Refusal> {
    let Some(account) = account else {
        return Ok(());
    };
    job.node.wait_at_start(Node::has_records, job.until).await;
    reachable(job)?;
    let fact = Reservation {
        program: account.program,
        turn: account.turn,
        most: account.most,
    };
    let mut spent = 0;
    for look in 0..2 {
        if look > 0 {
            sleep(SECOND_LOOK).await;
        }
        let reserved = timeout_at(job.until, job.node.replicas.reserve(fact, account.budget));
        let verdict = match reserved.await {
            Ok(Ok(verdict)) => verdict,
            Ok(Err(fault)) => {
                let _late = timeout_at(job.until, records::doubt(&job.node, &fault)).await;
                let refusal = Refusal::new(Code::RecordsUnreachable, &fault.to_string());
                return Err(refusal.retry_after(retry(job)));
            }
            Err(_) => return Err(Refusal::new(Code::WaitedTooLong, "").retry_after(retry(job))),
        };
        match verdict {
            Verdict::Fits => return Ok(()),
            Verdict::Spent(tokens) => spent = tokens,
        }
    }
    job.node.metrics.count(Counter::OverBudget);
    let detail = format!(
        "{spent} of {} spent, {} asked",
        account.budget, account.most
    );
    Err(Refusal::new(Code::TokensSpent, &detail))
}

/// Refuses at once what is known to need VMs that can't be reached: waiting for them would only
/// cost the client the time in which another VM could serve it.
fn reachable(job: &Job) -> Result<(), Refusal> {
    if job.node.has_records() {
        return Ok(());
    }
    let refusal = Refusal::new(Code::RecordsUnreachable, "known before the turn came");
    Err(refusal.retry_after(retry(job)))
}

fn retry(job: &Job) -> Millis {
    let now = job.node.clock.now();
    job.node.records().retry(now)
}

/// Yields the tokens of so many events.
#[must_use]
pub fn used(job: &Job, account: Option<Account>, events: u64) -> u32 {
    let engine = job.table.engine(&job.service);
    let tokens = engine.map_or(1, |engine| engine.event_tokens) * events;
    let most = account.map_or(u32::MAX, |account| account.most);
    u32::try_from(tokens).unwrap_or(u32::MAX).min(most)
}

/// Settles a turn's tokens. No client waits for it: until then the turn counts for its most. The
/// process waits when it stops, as the turn would count for its most for good.
pub fn settle(job: &Job, account: Option<Account>, used: u32) {
    let Some(account) = account else {
        return;
    };
    let fact = Settlement {
        program: account.program,
        turn: account.turn,
        used,
    };
    let node = job.node.clone();
    let id = job.call.id.clone();
    let guard = node.work.begin(work::Kind::Settlement, &id);
    tokio::spawn(async move {
        let settled = node.replicas.settle(fact).await;
        drop(guard);
        if let Err(fault) = settled {
            log::warn!(
                "event=E{} text=\"{}\" request={id} used={used} fault=\"{fault}\"",
                Event::TurnNotSettled.number(),
                Event::TurnNotSettled.text()
            );
        }
    });
}
