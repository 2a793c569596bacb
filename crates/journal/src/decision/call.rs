//! Decides on calls that may run at most once.
//!
//! Exists for the failure "a switching order goes through twice": the intent is in the journal
//! before the dispatch, and one that has no outcome is never dispatched again.

use bytes::Bytes;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use super::MAX_RECORD_BYTES;
use super::Result;
use super::check_idle;
use super::check_not_ended;
use super::find_program;
use crate::log::Status;
use crate::program;
use crate::record;
use crate::record::Outcome;
use crate::record::Record;
use crate::state::State;

/// A wish to make a call that may run at most once.
#[derive(Clone, Copy, Debug)]
pub struct Intend<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// Who asks.
    pub caller: &'a id::Caller,
    /// The caller's idempotency key.
    pub key: &'a id::Key,
    /// The digest of service, operation and body.
    pub digest: id::Digest,
    /// The attempt, drawn at random.
    pub attempt: id::Attempt,
    /// The time.
    pub now: Millis,
    /// Where the log stands; an intent counts in the journal only.
    pub status: Status,
}

/// What to do for a call that may run at most once.
#[derive(Clone, Debug, PartialEq)]
pub enum Call<'a> {
    /// Dispatch it once, when the records are durable.
    Start(Vec<Record>),
    /// The same call runs here; its outcome is this request's outcome, too.
    Join(id::Attempt),
    /// The service has answered.
    Replay {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: &'a Bytes,
    },
}

/// Decides on a call that may run at most once.
///
/// # Errors
///
/// [`Code::UnknownProgram`], [`Code::KeyConflict`], [`Code::OutcomeUnknown`] (`ran: unknown`),
/// [`Code::ProgramEnded`], [`Code::PlatformDown`], [`Code::OwnerLost`] (`ran: unknown`).
pub fn intend<'a>(state: &'a State, request: &Intend<'_>) -> Result<Call<'a>> {
    let program = find_program(state, request.program, request.caller)?;
    if let Some(call) = program.call(request.key) {
        return answer_repeated(state, call, request.digest);
    }
    check_not_ended(program)?;
    check_idle(program, request.now)?;
    match request.status {
        Status::Open => {}
        Status::Outage { retry_after } => {
            return Err(Refusal::new(Code::PlatformDown, "").retry_after(retry_after));
        }
        // The next owner may have run it: its records aren't seen here.
        Status::Lost => return Err(Refusal::new(Code::OwnerLost, "").ran(Ran::Unknown)),
    }
    Ok(Call::Start(vec![Record::Intent {
        program: request.program.clone(),
        key: request.key.clone(),
        attempt: request.attempt,
        digest: request.digest,
        at: request.now,
    }]))
}

/// Records the outcome of a call. `None` where the call is resolved already, or its key belongs to
/// another attempt, or [`Outcome::NotRun`] is said of an earlier owner's call.
///
/// A caller whose append was [withheld](crate::log::Fault::Withheld) withdraws the call with
/// [`Outcome::NotRun`].
#[must_use]
pub fn resolve(
    state: &State,
    program: &id::Program,
    key: &id::Key,
    attempt: id::Attempt,
    result: Outcome,
) -> Option<Record> {
    let call = state.program(program)?.call(key)?;
    if call.attempt != attempt {
        return None;
    }
    match (&call.result, &result) {
        // Only the owner that sent the call, or held it back, knows that it didn't run.
        (None, Outcome::NotRun) if call.epoch != state.epoch() => return None,
        (Some(Outcome::Unknown), Outcome::Answered { .. }) | (None, _) => {}
        (Some(_), _) => return None,
    }
    let outcome = |result| Record::Outcome {
        program: program.clone(),
        key: key.clone(),
        attempt,
        result,
    };
    let record = outcome(result);
    if record::size(&record) > MAX_RECORD_BYTES {
        return Some(outcome(Outcome::Unknown));
    }
    Some(record)
}

/// Answers a key that was used before.
fn answer_repeated<'a>(
    state: &State,
    call: &'a program::Call,
    digest: id::Digest,
) -> Result<Call<'a>> {
    if call.digest != digest {
        return Err(Refusal::new(Code::KeyConflict, call.key.as_str()));
    }
    match &call.result {
        Some(Outcome::Answered { status, body }) => Ok(Call::Replay {
            status: *status,
            body,
        }),
        None if call.epoch == state.epoch() => Ok(Call::Join(call.attempt)),
        // Either the answer was lost, or an earlier owner may have sent the call before it died:
        // to send it again could run it twice, and to say that it didn't run could be false.
        None | Some(Outcome::Unknown | Outcome::NotRun) => {
            Err(Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown))
        }
    }
}
