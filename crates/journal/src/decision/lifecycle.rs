//! Decides on the beginning and the end of programs.
//!
//! Exists for the failures "a program waits for ever" (idle limit) and "an engine keeps the cache
//! of a program that is gone" (holders are listed until each has confirmed the release).

use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use super::Result;
use super::check_idle;
use super::find_live_program;
use super::find_program;
use super::running_here;
use super::stopped_record;
use crate::copy::Holder;
use crate::program;
use crate::program::Program;
use crate::record::Record;
use crate::state::State;

/// A wish to make a program.
#[derive(Clone, Copy, Debug)]
pub struct Create<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// Who asks.
    pub caller: &'a id::Caller,
    /// Tokens that it may generate.
    pub tokens: u64,
    /// Turns that it may have.
    pub turns: u32,
    /// The longest pause between turns.
    pub idle: Millis,
    /// The time.
    pub now: Millis,
}

/// Decides on making a program. Yields no record where the caller has made it already.
///
/// # Errors
///
/// [`Code::UnknownProgram`] where another caller has made it, [`Code::ProgramEnded`].
pub fn create(state: &State, request: &Create<'_>) -> Result<Option<Record>> {
    match state.program(request.program) {
        None => Ok(Some(Record::Created {
            program: request.program.clone(),
            caller: request.caller.clone(),
            tokens: request.tokens,
            turns: request.turns,
            idle: request.idle,
            at: request.now,
        })),
        Some(_) => find_live_program(state, request.program, request.caller).map(|_| None),
    }
}

/// Ends a program; a running attempt counts its whole reservation. Empty where it has ended.
///
/// # Errors
///
/// [`Code::UnknownProgram`] where there is none of this caller's.
pub fn end(
    state: &State,
    program: &id::Program,
    caller: &id::Caller,
    code: Code,
    now: Millis,
) -> Result<Vec<Record>> {
    let program = find_program(state, program, caller)?;
    if program.ended.is_some() {
        return Ok(Vec::new());
    }
    let running = program.running.as_ref();
    let stopped = running.map(|running| stopped_record(program, running, None));
    let ended = Record::Ended {
        program: program.id.clone(),
        code,
        at: now,
    };
    Ok(stopped.into_iter().chain([ended]).collect())
}

/// Lists the programs that have been idle for too long, to be [`end`]ed.
pub fn idle_programs(state: &State, now: Millis) -> impl Iterator<Item = &id::Program> {
    let idle = move |program: &&Program| {
        program.ended.is_none()
            && running_here(state, program).is_none()
            && check_idle(program, now).is_err()
    };
    state.programs().filter(idle).map(|program| &program.id)
}

/// Lists the endpoints that may hold cache of ended programs.
pub fn cache_holders(state: &State) -> impl Iterator<Item = (&id::Program, &id::Endpoint)> {
    state
        .programs()
        .filter(|program| program.ended.is_some())
        .flat_map(|program| {
            program
                .holders
                .iter()
                .map(|endpoint| (&program.id, endpoint))
        })
}

/// Records that an endpoint holds no cache of an ended program. `None` where it is recorded.
#[must_use]
pub fn cache_released(
    state: &State,
    program: &id::Program,
    endpoint: &id::Endpoint,
) -> Option<Record> {
    let stored = state.program(program)?;
    stored.ended?;
    stored.holders.binary_search(endpoint).ok()?;
    Some(Record::Released {
        program: program.clone(),
        endpoint: endpoint.clone(),
    })
}

/// Drops an ended program: `None` until `retention` has passed since its end and no endpoint
/// holds cache of it. Idempotency keys of the program are protected until then.
#[must_use]
pub fn forget(
    state: &State,
    program: &id::Program,
    retention: Millis,
    now: Millis,
) -> Option<Record> {
    let stored = state.program(program)?;
    let ending = stored.ended?;
    let epoch = state.epoch();
    let is_unresolved = |call: &program::Call| call.result.is_none() && call.epoch == epoch;
    let in_use = !stored.holders.is_empty() || stored.calls.iter().any(is_unresolved);
    if in_use || now.since(ending.at) < retention {
        return None;
    }
    Some(Record::Forgotten {
        program: program.clone(),
    })
}

/// Names the VMs that hold pending batches from now on. `None` where nothing changes. To be asked
/// whenever they may have changed, and only while [`crate::log::Log::may_change_holders`] says so. A change
/// takes two records: after the first, the VMs named before may still hold batches, and a claimer
/// asks them as well; the second ends that.
#[must_use]
pub fn change_copy_holders(state: &State, holders: &[Holder]) -> Option<Record> {
    let current = state.copies();
    let same = current.len() == holders.len() && holders.iter().all(|h| current.contains(h));
    (!same).then(|| Record::Copies {
        holders: holders.to_vec(),
    })
}
