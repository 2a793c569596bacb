//! Refuses programs at their first turn while the engines can't carry them to their end.
//!
//! `policy::opening` decides by what this VM knows of the engines. A turn that continues none may
//! still belong to a program that other VMs have served, so before a refusal the members are asked
//! whether the program has used or reserved tokens. If they don't tell in time, the turn goes on.

use std::time::Duration;

use adapter::settings::Supply;
use policy::opening;
use policy::opening::Verdict;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

use crate::account::Account;
use crate::job::Job;
use crate::metrics::Counter;

/// How long the members may take to tell whether a program has begun. Longer than their usual answer,
/// and short for a caller that is to hear of the refusal at once.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(100);
/// The part of its deadline that a caller waits at most before it sends a refused request again, as one
/// over this number.
const MAX_WAIT_DIVISOR: u64 = 3;

/// Refuses a program's first turn if the program may not begin now.
///
/// # Errors
///
/// Refuses a program that may not begin.
pub async fn admit(job: &Job, account: Option<Account>) -> Result<(), Refusal> {
    let Some(account) = account else {
        return Ok(());
    };
    let continues = job.call.previous.is_some() || job.call.resumes.is_some();
    if continues || job.table.engine(&job.service).is_none() || job.supply() == Supply::Ample {
        return Ok(());
    }
    let Some((refusal, program)) = decide(job) else {
        return Ok(());
    };
    if may_have_begun(job, account).await {
        let now = job.node.clock.now();
        job.node.opening().note(&program, now);
        return Ok(());
    }
    job.node.metrics.count(Counter::ProgramsRefused);
    Err(refusal)
}

/// Returns the refusal of a program that may not begin.
fn decide(job: &Job) -> Option<(Refusal, opening::Program)> {
    let now = job.node.clock.now();
    let expected = job.call.expected_tokens.unwrap_or_default();
    let room = {
        let fleet = job.node.fleet();
        let settings = &job.node.settings;
        let turn = fleet.turn_span(&job.service, 0, expected, now);
        fleet.room(&job.service, &settings.vm, &settings.centre, turn, now)
    };
    let program = opening::Program {
        workspace: job.identity.workspace().map(|workspace| workspace.id),
        rank: job.rank(),
        finish_within: job.call.finish_within,
    };
    let draws = [rand::random(), rand::random()];
    let verdict = job.node.opening().decide(&program, room, draws, now);
    let Verdict::Refuse(span, bound) = verdict else {
        return None;
    };
    let detail = format!(
        "the program may not begin: {} of {} slots occupied, bound {bound:.2}, rank {}",
        room.occupied, room.slots, program.rank
    );
    let max = Millis::new(job.time_left().as_u64() / MAX_WAIT_DIVISOR);
    let refusal = Refusal::new(Code::Overloaded, &detail);
    Some((refusal.retry_after(span.min(max)), program))
}

/// Returns whether a turn of the program has used or reserved tokens, or this can't be told.
async fn may_have_begun(job: &Job, account: Account) -> bool {
    let entries = job.node.replicas.entries(account.program());
    match timeout(LOOKUP_TIMEOUT, entries).await {
        Ok(Ok(entries)) => entries.iter().any(|entry| entry.charged() > 0),
        Ok(Err(_)) | Err(_) => true,
    }
}
