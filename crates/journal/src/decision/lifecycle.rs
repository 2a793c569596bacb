//! Decides on the creation and the end of programs, and on the VMs that hold copies.
//!
//! Prevents these failures: a program stays open for ever (idle limit), and an engine keeps the
//! cache of a program that has ended (endpoints stay listed until each has confirmed the release).

use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use super::Result;
use super::check_not_idle;
use super::find_live_program;
use super::find_program;
use super::running_here;
use super::stopped_record;
use crate::copy::Holder;
use crate::program;
use crate::program::Program;
use crate::record::Record;
use crate::state::State;

/// A request to create a program.
#[derive(Clone, Copy, Debug)]
pub struct Create<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The caller that sent the request.
    pub caller: &'a id::Caller,
    /// The maximum number of tokens the program may generate.
    pub tokens: u64,
    /// The maximum number of turns.
    pub turns: u32,
    /// The longest allowed pause between turns.
    pub idle: Millis,
    /// The current time.
    pub now: Millis,
}

/// Decides whether a program may be created. Returns no record if the caller has already created
/// it.
///
/// # Errors
///
/// [`Code::UnknownProgram`] if another caller created it, [`Code::ProgramEnded`].
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

/// Ends a program; the whole reservation of a running attempt counts as spent. Returns no records
/// if the program has already ended.
///
/// # Errors
///
/// [`Code::UnknownProgram`] if this caller has no such program.
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

/// Lists the programs whose idle limit has passed; the owner [`end`]s them.
pub fn idle_programs(state: &State, now: Millis) -> impl Iterator<Item = &id::Program> {
    let idle = move |program: &&Program| {
        program.ended.is_none()
            && running_here(state, program).is_none()
            && check_not_idle(program, now).is_err()
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

/// Records that an endpoint holds no cache of an ended program. Returns `None` if this is already
/// recorded.
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

/// Drops an ended program. Returns `None` until `retention` has passed since its end, no endpoint
/// holds cache of it and none of this owner's calls is unresolved. Until then the program's
/// idempotency keys protect against repeated calls.
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

/// Sets the VMs that hold pending batches from now on. Returns `None` if nothing changes. Must be
/// called whenever the set may have changed, and only while [`crate::log::Log::may_change_holders`]
/// returns true. A change takes two records: after the first, the previous holders may still hold
/// batches, so a claimer asks them too; the second record ends that.
#[must_use]
pub fn change_copy_holders(state: &State, holders: &[Holder]) -> Option<Record> {
    let current = state.copy_holders();
    let same = current.len() == holders.len() && holders.iter().all(|h| current.contains(h));
    (!same).then(|| Record::Copies {
        holders: holders.to_vec(),
    })
}
