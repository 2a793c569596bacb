//! Decides on calls that may run at most once.
//!
//! Prevents the failure "an order, such as a switching order, is executed twice": the intent is in
//! the journal before the call is dispatched, and a call whose outcome is missing is never
//! dispatched again.

use bytes::Bytes;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use super::MAX_RECORD_BYTES;
use super::Result;
use super::check_not_ended;
use super::check_not_idle;
use super::find_program;
use crate::log::Status;
use crate::program;
use crate::record;
use crate::record::Outcome;
use crate::record::Record;
use crate::state::State;

/// A request for a call that may run at most once.
#[derive(Clone, Copy, Debug)]
pub struct Intend<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The caller that sent the request.
    pub caller: &'a id::Caller,
    /// The caller's idempotency key.
    pub key: &'a id::Key,
    /// The digest of service, operation and body.
    pub digest: id::Digest,
    /// The attempt's random ID.
    pub attempt: id::Attempt,
    /// The current time.
    pub now: Millis,
    /// The state of the log. An intent counts only once it is in the journal; copies aren't enough.
    pub status: Status,
}

/// How to handle a request for a call that may run at most once.
#[derive(Clone, Debug, PartialEq)]
pub enum Call<'a> {
    /// Dispatch the call once, after the records are durable.
    Start(Vec<Record>),
    /// The same call is already running here; its outcome also answers this request.
    Join(id::Attempt),
    /// The service has already answered.
    Replay {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: &'a Bytes,
    },
}

/// Decides whether a call is started, joined, replayed or refused.
///
/// # Errors
///
/// [`Code::UnknownProgram`], [`Code::KeyConflict`], [`Code::OutcomeUnknown`] (`ran: unknown`),
/// [`Code::ProgramEnded`], [`Code::IdleExpired`], [`Code::PlatformDown`], [`Code::OwnerLost`]
/// (`ran: unknown`).
pub fn intend<'a>(state: &'a State, request: &Intend<'_>) -> Result<Call<'a>> {
    let program = find_program(state, request.program, request.caller)?;
    if let Some(call) = program.call(request.key) {
        return answer_repeated(state, call, request.digest);
    }
    check_not_ended(program)?;
    check_not_idle(program, request.now)?;
    match request.status {
        Status::Open => {}
        Status::Outage { retry_after } => {
            return Err(Refusal::new(Code::PlatformDown, "").retry_after(retry_after));
        }
        // The next owner may have run the call; its records aren't visible here.
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

/// Records the outcome of a call. Returns `None` if the call is already resolved, if its key
/// belongs to another attempt, or if the outcome is [`Outcome::NotRun`] and an earlier owner made
/// the call.
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
        // Only the owner that sent or withheld the call knows that it didn't run.
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

/// Decides on a request whose idempotency key was used before.
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
        // Either the answer was lost, or an earlier owner may have sent the call before it died.
        // Sending it again could run it twice, and saying that it didn't run could be false.
        None | Some(Outcome::Unknown | Outcome::NotRun) => {
            Err(Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown))
        }
    }
}
