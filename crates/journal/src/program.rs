//! One program of a shard: its history, budget, calls, and the endpoints that hold its cache.
//!
//! Prevents the failure "a program's history is lost or mixed with another program's": everything
//! that belongs to a program is stored in one value, which only the program's own records change.
//! Each record is checked against the expected turn and attempt.
//!
//! A program's model and labels aren't stored. Each request names its model, and labels come from
//! the operators' configuration, so that configuration changes also apply to running programs.

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
    /// The program's name.
    pub id: id::Program,
    /// The caller that created it; no other caller may use it.
    pub caller: id::Caller,
    /// The maximum number of tokens it may generate.
    pub tokens: u64,
    /// The maximum number of turns.
    pub turns: u32,
    /// The longest allowed pause between turns.
    pub idle: Millis,
    /// The last time a turn or a call was started or a turn was committed; initially the creation
    /// time.
    pub touched: Millis,
    /// Tokens spent by attempts that have ended.
    pub spent: u64,
    /// The committed turns in order; turn n has the index n - 1. Empty once the program has ended.
    pub history: Vec<Turn>,
    /// The attempt that was started last, if it hasn't ended.
    pub running: Option<Running>,
    /// The calls that may run at most once, sorted by key.
    pub calls: Vec<Call>,
    /// The endpoints that may hold cache of the program, sorted by name.
    pub holders: Vec<id::Endpoint>,
    /// Why and when it ended, if it has.
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

/// An attempt that was started and hasn't ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Running {
    /// The epoch of the owner that started it.
    pub epoch: u64,
    /// The turn.
    pub turn: u32,
    /// The attempt.
    pub attempt: id::Attempt,
    /// The digest of the new messages.
    pub digest: id::Digest,
    /// Tokens reserved for it.
    pub reserved: u64,
}

/// A call that may run at most once.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The caller's idempotency key.
    pub key: id::Key,
    /// The epoch of the owner that recorded the intent.
    pub epoch: u64,
    /// The only dispatch that the intent allows.
    pub attempt: id::Attempt,
    /// The digest of service, operation and body.
    pub digest: id::Digest,
    /// The outcome, if it is known. Never [`Outcome::NotRun`]: such a call is removed, so that its
    /// key can be used again.
    pub result: Option<Outcome>,
}

/// The end of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Why the program ended.
    pub code: Code,
    /// When the program ended.
    pub at: Millis,
}

impl Program {
    /// Returns the number of committed turns.
    #[must_use]
    pub fn committed(&self) -> u32 {
        u32::try_from(self.history.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of tokens that may still be reserved. A reservation that hasn't ended
    /// counts as spent, even if it was left behind by a crash.
    #[must_use]
    pub fn remaining(&self) -> u64 {
        let reserved = self.running.as_ref().map_or(0, |r| r.reserved);
        self.tokens
            .saturating_sub(self.spent)
            .saturating_sub(reserved)
    }

    /// Iterates over all messages of the committed turns in order. They form the prompt before the
    /// new messages.
    pub fn messages(&self) -> impl Iterator<Item = &chat::Message> {
        self.history
            .iter()
            .flat_map(|turn| turn.messages.iter().chain([&turn.answer.message]))
    }

    /// Returns a call by its key.
    #[must_use]
    pub fn call(&self, key: &id::Key) -> Option<&Call> {
        let at = self.find_call(key).ok()?;
        Some(&self.calls[at])
    }

    /// Creates a program from its first record. Returns `None` for any other record.
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

    /// Returns whether one of this program's records matches its current state.
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

    /// Applies a record for which [`accepts`](Self::accepts) returned true.
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

/// Adds an endpoint to a sorted list unless the list already contains it.
pub(crate) fn insert_sorted(sorted: &mut Vec<id::Endpoint>, endpoint: &id::Endpoint) {
    if let Err(at) = sorted.binary_search(endpoint) {
        sorted.insert(at, endpoint.clone());
    }
}

/// Returns the next digest of a chain of digests.
pub(crate) fn chain_digest(chain: id::Digest, next: id::Digest) -> id::Digest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.0.to_be_bytes());
    bytes[8..].copy_from_slice(&next.0.to_be_bytes());
    id::Digest::of(&bytes)
}

/// Returns the digest of a message. A message that can't be encoded counts as empty; JSON values
/// can always be encoded.
fn message_digest(message: &chat::Message) -> id::Digest {
    id::Digest::of(&serde_json::to_vec(message).unwrap_or_default())
}
