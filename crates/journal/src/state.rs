//! What a shard's journal says, as one value in memory.
//!
//! Exists for the failure "the new owner decides otherwise than the old one would have": the state
//! is a function of the records alone, so one rebuilt after a takeover equals the one that the old
//! owner held. What ran under an earlier owner is told from what runs here by the epoch of the
//! last [`Record::Opened`], not by anything that lives beside the records.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use crate::record::Effect;
use crate::record::Record;

/// How many different endpoints must have crashed on a content before it is refused for good. One
/// crash can be the endpoint's own fault; two different endpoints that crash on the same content
/// are the content's.
pub const POISON_AT: usize = 2;

/// A record that doesn't fit the state: the journal was damaged or mixed with another one.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Misfit {
    /// The record speaks of a program that doesn't exist.
    #[display("program {_0} isn't known")]
    Unknown(#[error(not(source))] id::Program),
    /// A program is made twice.
    #[display("program {_0} exists")]
    Exists(#[error(not(source))] id::Program),
    /// A turn or attempt isn't the one that is due.
    #[display("program {_0} isn't at this turn or attempt")]
    Order(#[error(not(source))] id::Program),
    /// A shard is opened with an epoch that isn't higher than the last.
    #[display("epoch {_0} isn't new")]
    Epoch(#[error(not(source))] u64),
}

/// The outcome of checking a record.
pub type Result<T> = std::result::Result<T, Misfit>;

/// The facts of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    epoch: u64,
    owner: Option<id::Vm>,
    copies: Vec<id::Vm>,
    // Boxed, so that an insertion moves a pointer a program and not the programs.
    programs: Vec<Box<Program>>,
    blames: Vec<Blame>,
}

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
    /// What became of it, where that is known. [`Effect::NotRun`] never stands here: such a call
    /// is dropped, so that its key can be used again.
    pub result: Option<Effect>,
}

/// The end of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ending {
    /// Why.
    pub code: Code,
    /// When.
    pub at: Millis,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Blame {
    content: id::Digest,
    endpoints: Vec<id::Endpoint>,
}

impl State {
    /// Rebuilds a state from records, in order.
    ///
    /// # Errors
    ///
    /// Fails on the first record that doesn't fit.
    pub fn rebuild<'a>(records: impl IntoIterator<Item = &'a Record>) -> Result<Self> {
        let mut state = Self::default();
        for record in records {
            state.check(record)?;
            state.apply(record);
        }
        Ok(state)
    }

    /// Applies a record. One that doesn't [`fit`](Self::check) has no effect; records that
    /// [`crate::gate`] yields fit the state that they were asked of.
    pub fn apply(&mut self, record: &Record) {
        todo!("{record:?}")
    }

    /// Tells whether a record fits the state.
    ///
    /// # Errors
    ///
    /// Fails with the reason where it doesn't.
    pub fn check(&self, record: &Record) -> Result<()> {
        todo!("{record:?}")
    }

    /// Yields the epoch of the last opening; 0 where the shard was never opened.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Yields the VM that opened the shard last.
    #[must_use]
    pub fn owner(&self) -> Option<&id::Vm> {
        self.owner.as_ref()
    }

    /// Yields the VMs that hold that owner's pending batches during an outage.
    #[must_use]
    pub fn copies(&self) -> &[id::Vm] {
        &self.copies
    }

    /// Looks a program up.
    #[must_use]
    pub fn program(&self, id: &id::Program) -> Option<&Program> {
        let at = self.find(id).ok()?;
        Some(&self.programs[at])
    }

    /// Walks the programs by name, ended ones among them.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.iter().map(Box::as_ref)
    }

    /// Yields the digest of a turn's content: its new messages after the program's history. The
    /// same content in another program yields the same digest.
    #[must_use]
    pub fn content(&self, id: &id::Program, digest: id::Digest) -> id::Digest {
        let chain = self.program(id).map_or(id::Digest(0), |p| p.chain);
        link(chain, digest)
    }

    /// Yields the endpoints that crashed on a content.
    #[must_use]
    pub fn blamed(&self, content: id::Digest) -> &[id::Endpoint] {
        match self.find_blame(content) {
            Ok(at) => &self.blames[at].endpoints,
            Err(_) => &[],
        }
    }

    /// Tells whether a content is refused for good.
    #[must_use]
    pub fn poisoned(&self, content: id::Digest) -> bool {
        self.blamed(content).len() >= POISON_AT
    }

    fn find(&self, id: &id::Program) -> std::result::Result<usize, usize> {
        self.programs.binary_search_by(|p| p.id.cmp(id))
    }

    fn find_blame(&self, content: id::Digest) -> std::result::Result<usize, usize> {
        self.blames.binary_search_by_key(&content, |b| b.content)
    }
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

    fn find_call(&self, key: &id::Key) -> std::result::Result<usize, usize> {
        self.calls.binary_search_by(|c| c.key.cmp(key))
    }
}

fn link(chain: id::Digest, next: id::Digest) -> id::Digest {
    let mut bytes = [0; 16];
    bytes[..8].copy_from_slice(&chain.0.to_be_bytes());
    bytes[8..].copy_from_slice(&next.0.to_be_bytes());
    id::Digest::of(&bytes)
}
