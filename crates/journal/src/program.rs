//! One program of a shard: its history, budget, calls and the endpoints that hold its cache.
//!
//! Exists for the failure "a program's history is lost or mixed with another's": everything that a
//! program has stands in one value that only its own records change, each of them checked against
//! the turn and attempt that are due.
//!
//! A program's model and labels aren't kept: each request names its model, and labels come from the
//! operators' configuration, so that a change of theirs holds for programs under way as well.

use serde::Deserialize;
use serde::Serialize;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use crate::record::Outcome;
use crate::record::Record;

/// One program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Program {
    /// Its name.
    pub id: id::Program,
    /// Who made it; no one else may ask of it.
    pub caller: id::Caller,
    /// Tokens that it may generate.
    pub tokens: u64,
    /// Turns that it may have.
    pub turns: u32,
    /// The longest pause between turns.
    pub idle: Millis,
    /// When its last turn began or was committed, or when it was made.
    pub touched: Millis,
    /// Tokens spent by attempts that have ended.
    pub spent: u64,
    /// The committed turns in order; turn n stands at n - 1. Empty once the program has ended.
    pub history: Vec<Turn>,
    /// The attempt that began last, where it hasn't ended.
    pub running: Option<Running>,
    /// The calls that may run at most once, by key.
    pub calls: Vec<Call>,
    /// The endpoints that may hold cache of the program, by name.
    pub holders: Vec<id::Endpoint>,
    /// Why and when it ended, where it has.
    pub ended: Option<Ending>,
    /// The digest of the history.
    pub chain: id::Digest,
}

/// A committed turn.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Turn {
    /// The digest of the new messages.
    pub digest: id::Digest,
    /// The new messages.
    pub messages: Vec<chat::Message>,
    /// The answer.
    pub answer: chat::Answer,
}

/// An attempt that began and hasn't ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The epoch of the owner that began it.
    pub epoch: u64,
    /// The turn.
    pub turn: u32,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The digest of the new messages.
    pub digest: id::Digest,
    /// Tokens set aside.
    pub reserved: u64,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The caller's idempotency key.
    pub key: id::Key,
    /// The epoch of the owner that journaled the intent.
    pub epoch: u64,
    /// The one dispatch that the intent allows.
    pub attempt: id::Attempt,
    /// The digest of service, operation and body.
    pub digest: id::Digest,
    /// What became of it, where that is known. [`Outcome::NotRun`] never stands here: such a call
    /// is dropped, so that its key can be used again.
    pub result: Option<Outcome>,
}

/// The end of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Why.
    pub code: Code,
    /// When.
    pub at: Millis,
}

impl Program {
    /// Yields the number of committed turns.
    #[must_use]
    pub fn committed(&self) -> u32 {
        u32::try_from(self.history.len()).unwrap_or(u32::MAX)
    }

    /// Yields the tokens that may still be reserved. A reservation that hasn't ended counts as
    /// spent, also one that a crash left behind.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        let reserved = self.running.as_ref().map_or(0, |r| r.reserved);
        self.tokens
            .saturating_sub(self.spent)
            .saturating_sub(reserved)
    }

    /// Yields every message of the committed turns in order: the prompt before the new messages.
    pub fn messages(&self) -> impl Iterator<Item = &chat::Message> {
        self.history
            .iter()
            .flat_map(|turn| turn.messages.iter().chain([&turn.answer.message]))
    }

    /// Looks a call up by its key.
    #[must_use]
    pub fn call(&self, key: &id::Key) -> Option<&Call> {
        let at = self.find_call(key).ok()?;
        Some(&self.calls[at])
    }

    /// Makes a program of its first record; `None` where the record is another one.
    pub(crate) fn from_created(record: &Record) -> Option<Self> {
        let Record::Created {
            program,
            caller,
            tokens,
            turns,
            idle,
            at,
        } = record
        else {
            return None;
        };
        Some(Self {
            id: program.clone(),
            caller: caller.clone(),
            tokens: *tokens,
            turns: *turns,
            idle: *idle,
            touched: *at,
            spent: 0,
            history: Vec::new(),
            running: None,
            calls: Vec::new(),
            holders: Vec::new(),
            ended: None,
            chain: id::Digest(0),
        })
    }

    /// Tells whether a record of this program fits it.
    pub(crate) fn accepts(&self, record: &Record) -> bool {
        let is_running = |attempt| self.running.as_ref().is_some_and(|r| r.attempt == attempt);
        match record {
            Record::Started { turn, .. } => {
                self.ended.is_none() && self.running.is_none() && *turn == self.committed() + 1
            }
            Record::Stopped { attempt, .. } => is_running(*attempt),
            Record::Committed { turn, attempt, .. } => {
                is_running(*attempt) && *turn == self.committed() + 1
            }
            Record::Intent { key, .. } => self.ended.is_none() && self.call(key).is_none(),
            Record::Outcome { key, attempt, .. } => self.call(key).is_some_and(|call| {
                call.attempt == *attempt && !matches!(call.result, Some(Outcome::Answered { .. }))
            }),
            Record::Ended { .. } => self.ended.is_none(),
            Record::Released { .. } | Record::Forgotten { .. } => self.ended.is_some(),
            Record::Blamed { .. } => true,
            Record::Opened { .. } | Record::Copies { .. } | Record::Created { .. } => false,
        }
    }

    /// Applies a record that [`takes`](Self::takes) has let through.
    pub(crate) fn apply(&mut self, epoch: u64, record: &Record) {
        match record {
            Record::Started { endpoint, at, .. } => {
                self.running = Running::from_started(epoch, record);
                self.touched = self.touched.max(*at);
                if let Some(endpoint) = endpoint {
                    insert_sorted(&mut self.holders, endpoint);
                }
            }
            Record::Stopped { used, .. } => {
                self.running = None;
                self.spent = self.spent.saturating_add(*used);
            }
            Record::Committed {
                messages,
                answer,
                used,
                endpoint,
                at,
                ..
            } => {
                self.spent = self.spent.saturating_add(*used);
                self.touched = self.touched.max(*at);
                insert_sorted(&mut self.holders, endpoint);
                self.add_turn(messages, answer);
            }
            Record::Intent { at, .. } => {
                self.touched = self.touched.max(*at);
                self.add_call(epoch, record);
            }
            Record::Outcome { key, result, .. } => self.set_outcome(key, result),
            Record::Ended { code, at, .. } => {
                self.ended = Some(Ending {
                    code: *code,
                    at: *at,
                });
                self.running = None;
                self.history = Vec::new();
            }
            Record::Released { endpoint, .. } => {
                self.holders.retain(|holder| holder != endpoint);
            }
            Record::Opened { .. }
            | Record::Copies { .. }
            | Record::Created { .. }
            | Record::Blamed { .. }
            | Record::Forgotten { .. } => {}
        }
    }

    fn add_turn(&mut self, messages: &[chat::Message], answer: &chat::Answer) {
        let Some(running) = self.running.take() else {
            return;
        };
        self.chain = chain_digest(
            chain_digest(self.chain, running.digest),
            message_digest(&answer.message),
        );
        self.history.push(Turn {
            digest: running.digest,
            messages: messages.to_vec(),
            answer: answer.clone(),
        });
    }

    fn add_call(&mut self, epoch: u64, record: &Record) {
        let Record::Intent {
            key,
            attempt,
            digest,
            ..
        } = record
        else {
            return;
        };
        if let Err(at) = self.find_call(key) {
            let call = Call {
                key: key.clone(),
                epoch,
                attempt: *attempt,
                digest: *digest,
                result: None,
            };
            self.calls.insert(at, call);
        }
    }

    fn set_outcome(&mut self, key: &id::Key, result: &Outcome) {
        let Ok(at) = self.find_call(key) else { return };
        match result {
            Outcome::NotRun => {
                self.calls.remove(at);
            }
            Outcome::Answered { .. } | Outcome::Unknown => {
                self.calls[at].result = Some(result.clone());
            }
        }
    }

    fn find_call(&self, key: &id::Key) -> Result<usize, usize> {
        self.calls.binary_search_by(|c| c.key.cmp(key))
    }
}

impl Running {
    fn from_started(epoch: u64, record: &Record) -> Option<Self> {
        let Record::Started {
            turn,
            attempt,
            digest,
            reserved,
            ..
        } = record
        else {
            return None;
        };
        Some(Self {
            epoch,
            turn: *turn,
            attempt: *attempt,
            digest: *digest,
            reserved: *reserved,
        })
    }
}

/// Adds an endpoint to a sorted list; one that stands there already isn't added again.
pub(crate) fn insert_sorted(sorted: &mut Vec<id::Endpoint>, endpoint: &id::Endpoint) {
    if let Err(at) = sorted.binary_search(endpoint) {
        sorted.insert(at, endpoint.clone());
    }
}

/// Continues a chain of digests.
pub(crate) fn chain_digest(chain: id::Digest, next: id::Digest) -> id::Digest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.0.to_be_bytes());
    bytes[8..].copy_from_slice(&next.0.to_be_bytes());
    id::Digest::of(&bytes)
}

/// Yields the digest of a message. A message that can't be encoded, which JSON values never are,
/// counts as empty.
fn message_digest(message: &chat::Message) -> id::Digest {
    id::Digest::of(&serde_json::to_vec(message).unwrap_or_default())
}
