//! Decides which attempt of which turn may run, and what follows when an attempt ends.
//!
//! Prevents these failures: turns run out of order, a turn runs twice, and a program generates more
//! tokens than its budget.

use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::id;

use super::MAX_RECORD_BYTES;
use super::Result;
use super::check_not_idle;
use super::find_live_program;
use super::running_here;
use super::stopped_record;
use crate::program::Program;
use crate::program::Running;
use crate::record;
use crate::record::Record;
use crate::state::POISON_THRESHOLD;
use crate::state::State;

/// The maximum encoded size of a turn's new messages in bytes. Half of a journal key's value is
/// left for the answer.
pub const MAX_MESSAGES_BYTES: usize = record::MAX_BYTES / 2;

/// A request to run a turn.
#[derive(Clone, Copy, Debug)]
pub struct Begin<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The caller that sent the request.
    pub caller: &'a id::Caller,
    /// The turn number. `None` takes the next turn, or joins the running one if its content is the
    /// same.
    pub turn: Option<u32>,
    /// The new messages; refused if the committed turn would be too large to store.
    pub messages: &'a [chat::Message],
    /// The digest of the new messages and options.
    pub digest: id::Digest,
    /// The maximum number of tokens for the answer. The reservation is at most the remaining
    /// budget.
    pub max_tokens: u64,
    /// The attempt's random ID.
    pub attempt: id::Attempt,
    /// The endpoint, if it is already known.
    pub endpoint: Option<&'a id::Endpoint>,
    /// The current time.
    pub now: Millis,
}

/// How to handle a request for a turn.
#[derive(Clone, Debug, PartialEq)]
pub enum Turn<'a> {
    /// Dispatch the turn once the records are durable.
    Start(Start),
    /// The same turn is already running here; its answer also answers this request.
    Join {
        /// The turn.
        turn: u32,
        /// The attempt that is running.
        attempt: id::Attempt,
    },
    /// The turn is already committed.
    Replay {
        /// The turn.
        turn: u32,
        /// The stored answer.
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
    /// The output limit to send to the endpoint, in tokens.
    pub reserved: u64,
    /// The records to apply and append.
    pub records: Vec<Record>,
}

/// The end of an attempt that is followed by another attempt of the same turn.
#[derive(Clone, Copy, Debug)]
pub struct Restart<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The attempt that ended.
    pub ended: id::Attempt,
    /// The number of tokens it generated. `None` if unknown; the whole reservation then counts as
    /// spent.
    pub used: Option<u64>,
    /// The maximum number of tokens for the rest of the answer.
    pub max_tokens: u64,
    /// The new attempt's random ID.
    pub attempt: id::Attempt,
    /// The new endpoint, if it is already known.
    pub endpoint: Option<&'a id::Endpoint>,
    /// The current time.
    pub now: Millis,
}

/// The complete answer of an attempt.
#[derive(Clone, Debug)]
pub struct Commit<'a> {
    /// The program.
    pub program: &'a id::Program,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The turn's new messages, as given in [`Begin`].
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub answer: chat::Answer,
    /// The number of tokens this attempt generated.
    pub used: u64,
    /// The endpoint that ran it.
    pub endpoint: &'a id::Endpoint,
    /// The current time.
    pub now: Millis,
}

/// What an endpoint crash means for the content that was running there.
#[derive(Clone, Debug, PartialEq)]
pub enum Blame {
    /// The content may be tried on another endpoint.
    Suspect(Vec<Record>),
    /// The content is permanently refused once the records are applied.
    Poisoned(Vec<Record>),
}

/// Decides whether a turn is started, joined, replayed or refused.
///
/// # Errors
///
/// [`Code::UnknownProgram`] (also if the program belongs to another caller),
/// [`Code::ProgramEnded`], [`Code::TurnConflict`], [`Code::WrongTurn`], [`Code::Poisoned`],
/// [`Code::IdleExpired`], [`Code::TurnLimit`], [`Code::BudgetSpent`], [`Code::BodyTooLarge`].
pub fn begin<'a>(state: &'a State, request: &Begin<'_>) -> Result<Turn<'a>> {
    let program = find_live_program(state, request.program, request.caller)?;
    let next = program.committed() + 1;
    let turn = request.turn.unwrap_or(next);
    if turn == 0 || turn > next {
        return Err(wrong_turn(next));
    }
    if turn < next {
        return replay(program, turn, request.digest);
    }
    if let Some(running) = running_here(state, program) {
        return join(running, request.digest);
    }
    if state.is_poisoned(state.content_digest(request.program, request.digest)) {
        return Err(Refusal::new(Code::Poisoned, ""));
    }
    check_not_idle(program, request.now)?;
    if turn > program.turns {
        return Err(Refusal::new(Code::TurnLimit, &program.turns.to_string()));
    }
    if record::size(request.messages) > MAX_MESSAGES_BYTES {
        let detail =
            format!("the new messages of a turn may have at most {MAX_MESSAGES_BYTES} bytes");
        return Err(Refusal::new(Code::BodyTooLarge, &detail));
    }
    let reserved = reserve(program.remaining(), request.max_tokens)?;
    let abandoned = program
        .running
        .as_ref()
        .map(|r| stopped_record(program, r, None));
    let started = Record::Started {
        program: request.program.clone(),
        turn,
        attempt: request.attempt,
        digest: request.digest,
        reserved,
        endpoint: request.endpoint.cloned(),
        at: request.now,
    };
    Ok(Turn::Start(Start {
        turn,
        attempt: request.attempt,
        reserved,
        records: abandoned.into_iter().chain([started]).collect(),
    }))
}

/// Decides on another attempt of a running turn. Returns `None` if the attempt that ended isn't the
/// running one: it was superseded, and its end has no effect.
///
/// # Errors
///
/// [`Code::BudgetSpent`] if no tokens remain, [`Code::Poisoned`]; the caller then calls [`stop`].
pub fn restart(state: &State, request: &Restart<'_>) -> Result<Option<Start>> {
    let Some((program, running)) = running_attempt(state, request.program, request.ended) else {
        return Ok(None);
    };
    if state.is_poisoned(state.content_digest(request.program, running.digest)) {
        return Err(Refusal::new(Code::Poisoned, ""));
    }
    let used = request.used.unwrap_or(running.reserved);
    let remaining = program.tokens.saturating_sub(program.spent);
    let reserved = reserve(remaining.saturating_sub(used), request.max_tokens)?;
    let started = Record::Started {
        program: request.program.clone(),
        turn: running.turn,
        attempt: request.attempt,
        digest: running.digest,
        reserved,
        endpoint: request.endpoint.cloned(),
        at: request.now,
    };
    Ok(Some(Start {
        turn: running.turn,
        attempt: request.attempt,
        reserved,
        records: vec![stopped_record(program, running, request.used), started],
    }))
}

/// Ends an attempt without an answer; the turn may be started again. Returns `None` if the attempt
/// isn't the running one. `used` is `None` if the number of generated tokens is unknown; the whole
/// reservation then counts as spent.
#[must_use]
pub fn stop(
    state: &State,
    program: &id::Program,
    attempt: id::Attempt,
    used: Option<u64>,
) -> Option<Record> {
    let (program, running) = running_attempt(state, program, attempt)?;
    Some(stopped_record(program, running, used))
}

/// Commits an answer. Returns `None` if the attempt isn't the running one: the answer is late and
/// must be dropped.
///
/// # Errors
///
/// [`Code::AnswerIncomplete`] (`ran: yes`) if the turn is too large for the journal; the caller
/// then calls [`stop`].
pub fn commit(state: &State, request: Commit<'_>) -> Result<Option<Record>> {
    let Some((_, running)) = running_attempt(state, request.program, request.attempt) else {
        return Ok(None);
    };
    let record = Record::Committed {
        program: request.program.clone(),
        turn: running.turn,
        attempt: request.attempt,
        messages: request.messages,
        answer: request.answer,
        used: request.used,
        endpoint: request.endpoint.clone(),
        at: request.now,
    };
    if record::size(&record) > MAX_RECORD_BYTES {
        let detail = "the turn is too large for the journal";
        return Err(Refusal::new(Code::AnswerIncomplete, detail).ran(Ran::Yes));
    }
    Ok(Some(record))
}

/// Attributes an endpoint's crash to the content of a turn that ran there.
#[must_use]
pub fn blame(
    state: &State,
    program: &id::Program,
    digest: id::Digest,
    endpoint: &id::Endpoint,
) -> Blame {
    let content = state.content_digest(program, digest);
    let crashed = state.crashed_endpoints(content);
    let already_blamed = crashed.contains(endpoint);
    let count = crashed.len() + usize::from(!already_blamed);
    let blame = (!already_blamed).then(|| Record::Blamed {
        program: program.clone(),
        content,
        endpoint: endpoint.clone(),
    });
    let records = blame.into_iter().collect();
    if count >= POISON_THRESHOLD {
        return Blame::Poisoned(records);
    }
    Blame::Suspect(records)
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

fn running_attempt<'a>(
    state: &'a State,
    program: &id::Program,
    attempt: id::Attempt,
) -> Option<(&'a Program, &'a Running)> {
    let program = state.program(program)?;
    let running = program.running.as_ref()?;
    (running.attempt == attempt).then_some((program, running))
}

fn reserve(remaining: u64, max_tokens: u64) -> Result<u64> {
    if remaining == 0 {
        return Err(Refusal::new(Code::BudgetSpent, ""));
    }
    Ok(max_tokens.min(remaining))
}
