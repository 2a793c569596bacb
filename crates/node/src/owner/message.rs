//! The messages to a shard's actor.

use journal::decision;
use journal::log;
use journal::program::Program;
use journal::record::Outcome;
use settings::config::Budget;
use tokio::sync::oneshot;
use wire::ask::Ask;
use wire::chat;
use wire::code::Refusal;
use wire::id;

use crate::owner::feed::Sink;

/// A decision of the actor, with the append that must be durable before the decision takes effect.
pub struct Decided<T> {
    /// The result of the decision.
    pub value: T,
    /// The append of its records; `None` if there are none.
    pub durable: Option<log::Append>,
}

/// Sends a decision to the task that asked for it.
pub type Answer<T> = oneshot::Sender<Result<Decided<T>, Refusal>>;

/// A message to a shard's actor.
pub enum Message {
    /// A caller's request.
    Ask(Ask, Sink),
    /// A turn has an endpoint and wants to start.
    Begin(Begin, Answer<Begun>),
    /// An attempt ended and the turn continues with another attempt.
    Restart(Restart, Answer<decision::Start>),
    /// An answer is complete.
    Commit(Commit, Answer<u32>),
    /// A turn ends without an answer.
    Stop(id::Program, id::Attempt, Option<u64>, Answer<()>),
    /// An endpoint crashed while it ran a turn. The answer says whether the content is poisoned,
    /// that is, refused permanently.
    Blame(id::Program, id::Digest, id::Endpoint, Answer<bool>),
    /// A call that may run at most once has an endpoint and wants to start.
    Intend(Intend, Answer<()>),
    /// The outcome of such a call.
    Resolve(id::Program, id::Key, id::Attempt, Outcome, Answer<()>),
    /// The task of a request has ended; the request is no longer pending.
    Finished(crate::owner::pending::Name),
    /// An endpoint confirmed that it holds no cache of an ended program.
    Released(id::Program, id::Endpoint),
    /// Asks which of these programs are gone: unknown to the shard, or ended.
    Gone(Vec<id::Program>, oneshot::Sender<Vec<id::Program>>),
    /// An endpoint holds cache of these programs; it is to release those that are gone.
    Sweep(id::Endpoint, Vec<id::Program>),
    /// Runs the periodic maintenance.
    Tick,
    /// Accepts no new work and answers when no request is pending.
    Drain(oneshot::Sender<()>),
    /// The shard is released: the actor answers the messages before this one, then ends.
    Close,
    /// The shard has another owner.
    Lost,
}

/// The start of a turn.
pub struct Begin {
    /// The program.
    pub program: id::Program,
    /// The caller that made the request.
    pub caller: id::Caller,
    /// The program's budget, used if the program has to be created.
    pub budget: Budget,
    /// The turn.
    pub turn: u32,
    /// The new messages.
    pub messages: Vec<chat::Message>,
    /// The digest of the new messages and the options.
    pub digest: id::Digest,
    /// The most tokens that the answer may have.
    pub max_tokens: u64,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

/// A turn that may start once its records are durable.
pub struct Begun {
    /// The attempt's output limit and the turn.
    pub start: decision::Start,
    /// The history before the turn.
    pub history: Vec<chat::Message>,
}

/// A further attempt of a turn.
pub struct Restart {
    /// The program.
    pub program: id::Program,
    /// The attempt that ended.
    pub ended: id::Attempt,
    /// Tokens that the ended attempt generated; `None` if unknown.
    pub used: Option<u64>,
    /// The most tokens that the rest of the answer may have.
    pub max_tokens: u64,
    /// The new attempt.
    pub attempt: id::Attempt,
    /// The new endpoint.
    pub endpoint: id::Endpoint,
}

/// A complete answer.
pub struct Commit {
    /// The program.
    pub program: id::Program,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The new messages.
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub answer: chat::Answer,
    /// Tokens that the attempt generated.
    pub used: u64,
    /// The endpoint.
    pub endpoint: id::Endpoint,
}

/// The start of a call that may run at most once.
pub struct Intend {
    /// The program.
    pub program: id::Program,
    /// The caller that made the request.
    pub caller: id::Caller,
    /// The program's budget, used if the program has to be created.
    pub budget: Budget,
    /// The idempotency key.
    pub key: id::Key,
    /// The digest of service, operation and body.
    pub digest: id::Digest,
    /// The attempt.
    pub attempt: id::Attempt,
}

/// Renders a program for its caller.
#[must_use]
pub fn show(program: &Program) -> serde_json::Value {
    let running = program.running.as_ref();
    serde_json::json!({
        "program": program.id,
        "caller": program.caller,
        "turns": program.committed(),
        "turns_allowed": program.turns,
        "tokens_spent": program.spent,
        "tokens_allowed": program.tokens,
        "tokens_remaining": program.remaining(),
        "running_turn": running.map(|r| r.turn),
        "ended": program.ended.map(|e| format!("CY{}", e.code.number())),
        "touched_ms": program.touched,
        "messages": program.messages().collect::<Vec<_>>(),
    })
}
