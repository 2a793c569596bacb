//! The owner's decisions on turn order, history, budget and at-most-once calls, as pure functions.
//!
//! Prevents these failures: a turn runs twice or out of order, a program spends more than its
//! budget, and a call that must not run twice runs twice. Each function reads a [`State`] and
//! returns either the records that the caller must apply and append before it acts, or a refusal.
//! The functions never change the state, so a decision that isn't used has no effect.
//!
//! Every refusal says `ran: no`, with two exceptions: an unknown outcome says `unknown`, and a turn
//! that ran but is too large to be stored says `yes`.

mod call;
mod lifecycle;
mod turn;

use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

use crate::program::Program;
use crate::program::Running;
use crate::record;
use crate::record::Record;
use crate::state::State;

pub use call::Call;
pub use call::Intend;
pub use call::intend;
pub use call::resolve;
pub use lifecycle::Create;
pub use lifecycle::cache_holders;
pub use lifecycle::cache_released;
pub use lifecycle::change_copy_holders;
pub use lifecycle::create;
pub use lifecycle::end;
pub use lifecycle::forget;
pub use lifecycle::idle_programs;
pub use turn::Begin;
pub use turn::Blame;
pub use turn::Commit;
pub use turn::MAX_MESSAGES_BYTES;
pub use turn::Restart;
pub use turn::Start;
pub use turn::Turn;
pub use turn::begin;
pub use turn::blame;
pub use turn::commit;
pub use turn::restart;
pub use turn::stop;

/// The maximum encoded size of one record in bytes. The list around it needs the rest of
/// [`record::MAX_BYTES`].
const MAX_RECORD_BYTES: usize = record::MAX_BYTES - 16;

/// The result of a decision.
pub type Result<T> = std::result::Result<T, Refusal>;

fn find_program<'a>(
    state: &'a State,
    program: &id::Program,
    caller: &id::Caller,
) -> Result<&'a Program> {
    // Another caller's program is reported as unknown, so that callers can't probe for names.
    let found = state.program(program).filter(|p| p.caller == *caller);
    found.ok_or_else(|| Refusal::new(Code::UnknownProgram, program.as_str()))
}

fn check_not_ended(program: &Program) -> Result<()> {
    match program.ended {
        Some(ending) => Err(Refusal::new(ending.code, program.id.as_str())),
        None => Ok(()),
    }
}

fn find_live_program<'a>(
    state: &'a State,
    program: &id::Program,
    caller: &id::Caller,
) -> Result<&'a Program> {
    let found = find_program(state, program, caller)?;
    check_not_ended(found)?;
    Ok(found)
}

fn check_not_idle(program: &Program, now: Millis) -> Result<()> {
    if now.since(program.touched) <= program.idle {
        return Ok(());
    }
    let detail = format!(
        "the longest allowed pause between turns is {}",
        program.idle
    );
    Err(Refusal::new(Code::IdleExpired, &detail))
}

/// Returns the running attempt if this owner started it. Nobody waits for the answer of an attempt
/// that an earlier owner started: the turn may be started again, and the old reservation counts as
/// spent.
fn running_here<'a>(state: &State, program: &'a Program) -> Option<&'a Running> {
    let running = program.running.as_ref()?;
    (running.epoch == state.epoch()).then_some(running)
}

fn stopped_record(program: &Program, running: &Running, used: Option<u64>) -> Record {
    Record::Stopped {
        program: program.id.clone(),
        turn: running.turn,
        attempt: running.attempt,
        used: used.unwrap_or(running.reserved),
    }
}

#[cfg(test)]
mod tests;
