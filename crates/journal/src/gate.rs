//! The owner's decisions on order, history, budget and at-most-once, as pure functions.
//!
//! Exists for the failures "a turn runs twice or out of order", "a program spends more than its
//! budget" and "an order that must not run twice runs twice". Each function looks at a [`State`]
//! and yields the records that the caller must apply and append before it acts, or the refusal.
//! The functions never change the state, so a verdict that isn't used leaves nothing behind.
//!
//! Every refusal says `ran: no` but for [`Code::OutcomeUnknown`], which says `unknown`.

use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

use bytes::Bytes;

use crate::log::Status;
use crate::record::Effect;
use crate::record::Record;
use crate::state::State;

/// The outcome of a decision.
pub type Result<T> = std::result::Result<T, Refusal>;

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

/// A wish to run a turn.
#[derive(Clone, Copy, Debug)]
pub struct Begin<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// Who asks.
    pub caller: &'a id::Caller,
    /// The turn; `None` takes the next, or joins the running one where the content is the same.
    pub turn: Option<u32>,
    /// The new messages; refused where the committed turn couldn't hold them.
    pub messages: &'a [chat::Message],
    /// The digest of the new messages and options.
    pub digest: id::Digest,
    /// Tokens that the answer may have; the reservation is what remains of the budget at most.
    pub want: u64,
    /// The attempt, drawn at random.
    pub attempt: id::Attempt,
    /// The endpoint, where it is known already.
    pub endpoint: Option<&'a id::Endpoint>,
    /// The time.
    pub now: Millis,
}

/// What to do for a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn<'a> {
    /// Dispatch it once the records are durable.
    Start(Start),
    /// The same turn runs here; its answer is this request's answer, too.
    Join {
        /// The turn.
        turn: u32,
        /// The attempt that runs now.
        attempt: id::Attempt,
    },
    /// The turn is committed.
    Replay {
        /// The turn.
        turn: u32,
        /// Its answer.
        answer: &'a chat::Answer,
    },
}

/// An attempt that may be dispatched once its records are durable.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The turn.
    pub turn: u32,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The output limit in tokens to send to the endpoint.
    pub reserved: u64,
    /// The records to apply and append.
    pub records: Vec<Record>,
}

/// The end of an attempt, to be followed by a further one of the same turn.
#[derive(Clone, Copy, Debug)]
pub struct Restart<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The attempt that ended.
    pub ended: id::Attempt,
    /// Tokens that it generated; `None` where that isn't known, which counts the reservation.
    pub used: Option<u64>,
    /// Tokens that the rest of the answer may have.
    pub want: u64,
    /// The new attempt, drawn at random.
    pub attempt: id::Attempt,
    /// The new endpoint, where it is known already.
    pub endpoint: Option<&'a id::Endpoint>,
    /// The time.
    pub now: Millis,
}

/// A whole answer of an attempt.
#[derive(Clone, Debug)]
pub struct Commit<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The turn's new messages, as begun.
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub answer: chat::Answer,
    /// Tokens that this attempt generated.
    pub used: u64,
    /// The endpoint that ran it.
    pub endpoint: &'a id::Endpoint,
    /// The time.
    pub now: Millis,
}

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

/// What a crash means for the content that was running.
#[derive(Clone, Debug, PartialEq)]
pub enum Blame {
    /// The content may be tried at another endpoint.
    Suspect(Vec<Record>),
    /// The content is refused for good once the records are applied.
    Poisoned(Vec<Record>),
}

/// Decides on making a program. Yields no record where the caller has made it already.
///
/// # Errors
///
/// [`Code::UnknownProgram`] where another caller has made it, [`Code::ProgramEnded`].
pub fn create(state: &State, ask: &Create<'_>) -> Result<Option<Record>> {
    todo!("{state:?} {ask:?}")
}

/// Decides on a turn.
///
/// # Errors
///
/// [`Code::UnknownProgram`] (also for another caller's), [`Code::ProgramEnded`],
/// [`Code::TurnConflict`], [`Code::WrongTurn`], [`Code::Poisoned`], [`Code::IdleExpired`],
/// [`Code::TurnLimit`], [`Code::BudgetSpent`], [`Code::BodyTooLarge`].
pub fn begin<'a>(state: &'a State, ask: &Begin<'_>) -> Result<Turn<'a>> {
    todo!("{state:?} {ask:?}")
}

/// Decides on a further attempt of a running turn. `None` where the attempt that ended isn't the
/// running one: it was superseded, and nothing follows from its end.
///
/// # Errors
///
/// [`Code::BudgetSpent`] where nothing remains, [`Code::Poisoned`]; the caller then [`stop`]s.
pub fn restart(state: &State, ask: &Restart<'_>) -> Result<Option<Start>> {
    todo!("{state:?} {ask:?}")
}

/// Ends an attempt without an answer; the turn may be begun again. `None` where the attempt isn't
/// the running one. `used` is `None` where it isn't known, which counts the reservation.
#[must_use]
pub fn stop(
    state: &State,
    program: &id::Program,
    attempt: id::Attempt,
    used: Option<u64>,
) -> Option<Record> {
    todo!("{state:?} {program} {attempt} {used:?}")
}

/// Commits an answer. `None` where the attempt isn't the running one: a late answer, to be
/// dropped.
///
/// # Errors
///
/// [`Code::AnswerIncomplete`] (`ran: yes`) where the turn is too large for the journal; the caller
/// then [`stop`]s.
pub fn commit(state: &State, ask: Commit<'_>) -> Result<Option<Record>> {
    todo!("{state:?} {ask:?}")
}

/// Decides on a call that may run at most once.
///
/// # Errors
///
/// [`Code::UnknownProgram`], [`Code::KeyConflict`], [`Code::OutcomeUnknown`] (`ran: unknown`),
/// [`Code::ProgramEnded`], [`Code::PlatformDown`].
pub fn intend<'a>(state: &'a State, ask: &Intend<'_>) -> Result<Call<'a>> {
    todo!("{state:?} {ask:?}")
}

/// Records the outcome of a call. `None` where the call is resolved already, or its key belongs to
/// another attempt, or [`Effect::NotRun`] is said of an earlier owner's call.
///
/// A caller whose append was [withheld](crate::log::Fault::Withheld) withdraws the call with
/// [`Effect::NotRun`].
#[must_use]
pub fn resolve(
    state: &State,
    program: &id::Program,
    key: &id::Key,
    attempt: id::Attempt,
    result: Effect,
) -> Option<Record> {
    todo!("{state:?} {program} {key} {attempt} {result:?}")
}

/// Blames an endpoint's crash on the content of a turn that ran there.
#[must_use]
pub fn blame(
    state: &State,
    program: &id::Program,
    digest: id::Digest,
    endpoint: &id::Endpoint,
) -> Blame {
    todo!("{state:?} {program} {digest:?} {endpoint}")
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
    todo!("{state:?} {program} {caller} {code:?} {now}")
}

/// Lists the programs that have been idle for too long, to be [`end`]ed.
pub fn idle(state: &State, now: Millis) -> impl Iterator<Item = &id::Program> {
    state
        .programs()
        .filter(move |_| now > Millis::ZERO)
        .map(|p| &p.id)
}

/// Lists the endpoints that may hold cache of ended programs.
pub fn holders(state: &State) -> impl Iterator<Item = (&id::Program, &id::Endpoint)> {
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
pub fn released(state: &State, program: &id::Program, endpoint: &id::Endpoint) -> Option<Record> {
    todo!("{state:?} {program} {endpoint}")
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
    todo!("{state:?} {program} {retention} {now}")
}
