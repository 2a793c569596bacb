//! The owner's decisions on order, history, budget and at-most-once, as pure functions.
//!
//! Exists for the failures "a turn runs twice or out of order", "a program spends more than its
//! budget" and "an order that must not run twice runs twice". Each function looks at a [`State`]
//! and yields the records that the caller must apply and append before it acts, or the refusal.
//! The functions never change the state, so a verdict that isn't used leaves nothing behind.
//!
//! Every refusal says `ran: no` but for [`Code::OutcomeUnknown`], which says `unknown`.

use bytes::Bytes;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use crate::log::Status;
use crate::program;
use crate::program::Program;
use crate::program::Running;
use crate::record;
use crate::record::Effect;
use crate::record::Record;
use crate::state::POISON_AT;
use crate::state::State;

/// The most bytes of a turn's new messages, encoded; leaves the other half of a journal key to the
/// answer.
pub const MAX_MESSAGES: usize = record::MAX_BYTES / 2;
/// The most bytes of one record. The list around it takes the rest of [`record::MAX_BYTES`].
const MAX_COMMIT: usize = record::MAX_BYTES - 16;

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
    match state.program(ask.program) {
        None => Ok(Some(Record::Created {
            program: ask.program.clone(),
            caller: ask.caller.clone(),
            tokens: ask.tokens,
            turns: ask.turns,
            idle: ask.idle,
            at: ask.now,
        })),
        Some(_) => open(state, ask.program, ask.caller).map(|_| None),
    }
}

/// Decides on a turn.
///
/// # Errors
///
/// [`Code::UnknownProgram`] (also for another caller's), [`Code::ProgramEnded`],
/// [`Code::TurnConflict`], [`Code::WrongTurn`], [`Code::Poisoned`], [`Code::IdleExpired`],
/// [`Code::TurnLimit`], [`Code::BudgetSpent`], [`Code::BodyTooLarge`].
pub fn begin<'a>(state: &'a State, ask: &Begin<'_>) -> Result<Turn<'a>> {
    let program = open(state, ask.program, ask.caller)?;
    let next = program.committed() + 1;
    let turn = ask.turn.unwrap_or(next);
    if turn == 0 || turn > next {
        return Err(wrong_turn(next));
    }
    if turn < next {
        return replay(program, turn, ask.digest);
    }
    if let Some(running) = running_here(state, program) {
        return join(running, ask.digest);
    }
    if state.poisoned(state.content(ask.program, ask.digest)) {
        return Err(Refusal::new(Code::Poisoned, ""));
    }
    awake(program, ask.now)?;
    if turn > program.turns {
        return Err(Refusal::new(Code::TurnLimit, &program.turns.to_string()));
    }
    if record::size(ask.messages) > MAX_MESSAGES {
        let detail = format!("a turn's messages have at most {MAX_MESSAGES} bytes");
        return Err(Refusal::new(Code::BodyTooLarge, &detail));
    }
    let reserved = reserve(program.remaining(), ask.want)?;
    let left_behind = program.running.as_ref().map(|r| stopped(program, r, None));
    let started = Record::Started {
        program: ask.program.clone(),
        turn,
        attempt: ask.attempt,
        digest: ask.digest,
        reserved,
        endpoint: ask.endpoint.cloned(),
        at: ask.now,
    };
    Ok(Turn::Start(Start {
        turn,
        attempt: ask.attempt,
        reserved,
        records: left_behind.into_iter().chain([started]).collect(),
    }))
}

/// Decides on a further attempt of a running turn. `None` where the attempt that ended isn't the
/// running one: it was superseded, and nothing follows from its end.
///
/// # Errors
///
/// [`Code::BudgetSpent`] where nothing remains, [`Code::Poisoned`]; the caller then [`stop`]s.
pub fn restart(state: &State, ask: &Restart<'_>) -> Result<Option<Start>> {
    let Some((program, running)) = attempt_of(state, ask.program, ask.ended) else {
        return Ok(None);
    };
    if state.poisoned(state.content(ask.program, running.digest)) {
        return Err(Refusal::new(Code::Poisoned, ""));
    }
    let used = ask.used.unwrap_or(running.reserved);
    let remaining = program.tokens.saturating_sub(program.spent);
    let reserved = reserve(remaining.saturating_sub(used), ask.want)?;
    let started = Record::Started {
        program: ask.program.clone(),
        turn: running.turn,
        attempt: ask.attempt,
        digest: running.digest,
        reserved,
        endpoint: ask.endpoint.cloned(),
        at: ask.now,
    };
    Ok(Some(Start {
        turn: running.turn,
        attempt: ask.attempt,
        reserved,
        records: vec![stopped(program, running, ask.used), started],
    }))
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
    let (program, running) = attempt_of(state, program, attempt)?;
    Some(stopped(program, running, used))
}

/// Commits an answer. `None` where the attempt isn't the running one: a late answer, to be
/// dropped.
///
/// # Errors
///
/// [`Code::AnswerIncomplete`] (`ran: yes`) where the turn is too large for the journal; the caller
/// then [`stop`]s.
pub fn commit(state: &State, ask: Commit<'_>) -> Result<Option<Record>> {
    let Some((_, running)) = attempt_of(state, ask.program, ask.attempt) else {
        return Ok(None);
    };
    let record = Record::Committed {
        program: ask.program.clone(),
        turn: running.turn,
        attempt: ask.attempt,
        messages: ask.messages,
        answer: ask.answer,
        used: ask.used,
        endpoint: ask.endpoint.clone(),
        at: ask.now,
    };
    if record::size(&record) > MAX_COMMIT {
        let detail = "the turn is too large for the journal";
        return Err(Refusal::new(Code::AnswerIncomplete, detail).ran(Ran::Yes));
    }
    Ok(Some(record))
}

/// Decides on a call that may run at most once.
///
/// # Errors
///
/// [`Code::UnknownProgram`], [`Code::KeyConflict`], [`Code::OutcomeUnknown`] (`ran: unknown`),
/// [`Code::ProgramEnded`], [`Code::PlatformDown`].
pub fn intend<'a>(state: &'a State, ask: &Intend<'_>) -> Result<Call<'a>> {
    let program = known(state, ask.program, ask.caller)?;
    if let Some(call) = program.call(ask.key) {
        return again(state, call, ask.digest);
    }
    alive(program)?;
    awake(program, ask.now)?;
    match ask.status {
        Status::Open => {}
        Status::Outage { retry_after } => {
            return Err(Refusal::new(Code::PlatformDown, "").retry_after(retry_after));
        }
        Status::Lost => return Err(Refusal::new(Code::OwnerLost, "")),
    }
    Ok(Call::Start(vec![Record::Intent {
        program: ask.program.clone(),
        key: ask.key.clone(),
        attempt: ask.attempt,
        digest: ask.digest,
        at: ask.now,
    }]))
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
    let call = state.program(program)?.call(key)?;
    if call.attempt != attempt {
        return None;
    }
    match (&call.result, &result) {
        // Only the owner that sent the call, or held it back, knows that it didn't run.
        (None, Effect::NotRun) if call.epoch != state.epoch() => return None,
        (Some(Effect::Unknown), Effect::Answered { .. }) | (None, _) => {}
        (Some(_), _) => return None,
    }
    let outcome = |result| Record::Outcome {
        program: program.clone(),
        key: key.clone(),
        attempt,
        result,
    };
    let record = outcome(result);
    if record::size(&record) > MAX_COMMIT {
        return Some(outcome(Effect::Unknown));
    }
    Some(record)
}

/// Blames an endpoint's crash on the content of a turn that ran there.
#[must_use]
pub fn blame(
    state: &State,
    program: &id::Program,
    digest: id::Digest,
    endpoint: &id::Endpoint,
) -> Blame {
    let content = state.content(program, digest);
    let blamed = state.blamed(content);
    let known = blamed.contains(endpoint);
    let count = blamed.len() + usize::from(!known);
    let records = match known {
        true => Vec::new(),
        false => vec![Record::Blamed {
            program: program.clone(),
            content,
            endpoint: endpoint.clone(),
        }],
    };
    if count >= POISON_AT {
        return Blame::Poisoned(records);
    }
    Blame::Suspect(records)
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
    let program = known(state, program, caller)?;
    if program.ended.is_some() {
        return Ok(Vec::new());
    }
    let running = program.running.as_ref();
    let stopped = running.map(|running| stopped(program, running, None));
    let ended = Record::Ended {
        program: program.id.clone(),
        code,
        at: now,
    };
    Ok(stopped.into_iter().chain([ended]).collect())
}

/// Lists the programs that have been idle for too long, to be [`end`]ed.
pub fn idle(state: &State, now: Millis) -> impl Iterator<Item = &id::Program> {
    let idle = move |program: &&Program| {
        program.ended.is_none()
            && running_here(state, program).is_none()
            && awake(program, now).is_err()
    };
    state.programs().filter(idle).map(|program| &program.id)
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
    let known = state.program(program)?;
    known.ended?;
    known.holders.binary_search(endpoint).ok()?;
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
    let known = state.program(program)?;
    let ending = known.ended?;
    let epoch = state.epoch();
    let waits = |call: &program::Call| call.result.is_none() && call.epoch == epoch;
    let held = !known.holders.is_empty() || known.calls.iter().any(waits);
    if held || now.since(ending.at) < retention {
        return None;
    }
    Some(Record::Forgotten {
        program: program.clone(),
    })
}

fn known<'a>(state: &'a State, program: &id::Program, caller: &id::Caller) -> Result<&'a Program> {
    // Another caller's program looks like one that doesn't exist, so that names can't be probed.
    let known = state.program(program).filter(|p| p.caller == *caller);
    known.ok_or_else(|| Refusal::new(Code::UnknownProgram, program.as_str()))
}

fn alive(program: &Program) -> Result<()> {
    match program.ended {
        Some(ending) => Err(Refusal::new(ending.code, program.id.as_str())),
        None => Ok(()),
    }
}

fn open<'a>(state: &'a State, program: &id::Program, caller: &id::Caller) -> Result<&'a Program> {
    let known = known(state, program, caller)?;
    alive(known)?;
    Ok(known)
}

fn awake(program: &Program, now: Millis) -> Result<()> {
    if now.since(program.touched) <= program.idle {
        return Ok(());
    }
    let detail = format!("the longest pause is {}", program.idle);
    Err(Refusal::new(Code::IdleExpired, &detail))
}

fn wrong_turn(next: u32) -> Refusal {
    Refusal::new(Code::WrongTurn, &format!("turn {next} is next"))
}

fn conflict(turn: u32) -> Refusal {
    Refusal::new(Code::TurnConflict, &format!("turn {turn}"))
}

fn replay(program: &Program, turn: u32, digest: id::Digest) -> Result<Turn<'_>> {
    let stored = program.history.get(turn as usize - 1);
    let stored = stored.ok_or_else(|| wrong_turn(program.committed() + 1))?;
    if stored.digest != digest {
        return Err(conflict(turn));
    }
    let answer = &stored.answer;
    Ok(Turn::Replay { turn, answer })
}

fn join<'a>(running: &Running, digest: id::Digest) -> Result<Turn<'a>> {
    if running.digest != digest {
        return Err(conflict(running.turn));
    }
    Ok(Turn::Join {
        turn: running.turn,
        attempt: running.attempt,
    })
}

/// Yields the attempt that this owner began. One of an earlier owner has nobody who waits for its
/// answer; the turn may be begun again, and the old reservation counts as spent.
fn running_here<'a>(state: &State, program: &'a Program) -> Option<&'a Running> {
    let running = program.running.as_ref()?;
    (running.epoch == state.epoch()).then_some(running)
}

fn attempt_of<'a>(
    state: &'a State,
    program: &id::Program,
    attempt: id::Attempt,
) -> Option<(&'a Program, &'a Running)> {
    let program = state.program(program)?;
    let running = program.running.as_ref()?;
    (running.attempt == attempt).then_some((program, running))
}

fn reserve(remaining: u64, want: u64) -> Result<u64> {
    if remaining == 0 {
        return Err(Refusal::new(Code::BudgetSpent, ""));
    }
    Ok(want.min(remaining))
}

fn stopped(program: &Program, running: &Running, used: Option<u64>) -> Record {
    Record::Stopped {
        program: program.id.clone(),
        turn: running.turn,
        attempt: running.attempt,
        used: used.unwrap_or(running.reserved),
    }
}

/// Answers a key that was used before.
fn again<'a>(state: &State, call: &'a program::Call, digest: id::Digest) -> Result<Call<'a>> {
    if call.digest != digest {
        return Err(Refusal::new(Code::KeyConflict, call.key.as_str()));
    }
    match &call.result {
        Some(Effect::Answered { status, body }) => Ok(Call::Replay {
            status: *status,
            body,
        }),
        None if call.epoch == state.epoch() => Ok(Call::Join(call.attempt)),
        // Either the answer was lost, or an earlier owner may have sent the call before it died:
        // to send it again could run it twice, and to say that it didn't run could be false.
        None | Some(Effect::Unknown | Effect::NotRun) => {
            Err(Refusal::new(Code::OutcomeUnknown, "").ran(Ran::Unknown))
        }
    }
}

#[cfg(test)]
mod tests;
