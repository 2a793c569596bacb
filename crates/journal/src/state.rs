//! The state of a shard in memory, as described by its journal.
//!
//! Prevents the failure "the new owner decides differently from the old owner": the state is a
//! function of the records alone, so a state rebuilt after a takeover equals the one that the old
//! owner held. Attempts and calls of an earlier owner are told apart from this owner's by the epoch
//! of the last [`Record::Opened`], not by information outside the records.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;
use wire::id;

use crate::copy::Holder;
use crate::program::Program;
use crate::program::chain_digest;
use crate::program::insert_sorted;
use crate::record::Record;

/// The number of different endpoints that must have crashed on the same content before the content
/// is permanently refused. One crash can be the endpoint's fault; if two different endpoints crash
/// on the same content, the content is at fault.
pub const POISON_THRESHOLD: usize = 2;

/// A record that doesn't match the state: the journal is damaged or mixed with another one.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Mismatch {
    /// The record names a program that doesn't exist.
    #[display("program {_0} doesn't exist")]
    Unknown(#[error(not(source))] id::Program),
    /// A program is created twice.
    #[display("program {_0} already exists")]
    Exists(#[error(not(source))] id::Program),
    /// The record's turn or attempt isn't the expected one.
    #[display("the record isn't for the current turn or attempt of program {_0}")]
    Order(#[error(not(source))] id::Program),
    /// A shard is opened with an epoch that isn't higher than the current one.
    #[display("epoch {_0} isn't higher than the current epoch")]
    Epoch(#[error(not(source))] u64),
}

/// The result of checking a record.
pub type Result<T> = std::result::Result<T, Mismatch>;

/// The state of one shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct State {
    epoch: u64,
    owner: Option<id::Vm>,
    /// The holders set by the last change.
    named: Vec<Holder>,
    /// The holders set by the last change and by the one before it.
    copies: Vec<Holder>,
    #[expect(
        clippy::vec_box,
        reason = "an insertion moves the entries behind it, so they are kept small"
    )]
    programs: Vec<Box<Program>>,
    blames: Vec<Blame>,
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
    /// Fails on the first record that doesn't match the state.
    pub fn rebuild<'a>(records: impl IntoIterator<Item = &'a Record>) -> Result<Self> {
        let mut state = Self::default();
        for record in records {
            state.check(record)?;
            state.apply(record);
        }
        Ok(state)
    }

    /// Applies a record. A record that doesn't pass [`check`](Self::check) has no effect. Records
    /// returned by [`crate::decision`] match the state that they were decided on.
    pub fn apply(&mut self, record: &Record) {
        if self.check(record).is_err() {
            return;
        }
        match record {
            Record::Opened { vm, epoch, copies } => {
                self.epoch = *epoch;
                self.owner = Some(vm.clone());
                self.named.clone_from(copies);
                self.copies.clone_from(copies);
            }
            Record::Copies { holders } => self.set_copy_holders(holders),
            Record::Created { program, .. } => self.create(program, record),
            Record::Blamed {
                content, endpoint, ..
            } => self.blame(*content, endpoint),
            Record::Forgotten { program } => self.forget(program),
            Record::Committed { program, .. } => self.commit(program, record),
            Record::Started { program, .. }
            | Record::Stopped { program, .. }
            | Record::Intent { program, .. }
            | Record::Outcome { program, .. }
            | Record::Ended { program, .. }
            | Record::Released { program, .. } => {
                let epoch = self.epoch;
                if let Ok(index) = self.find(program) {
                    self.programs[index].apply(epoch, record);
                }
            }
        }
    }

    /// Checks whether a record matches the state.
    ///
    /// # Errors
    ///
    /// Returns the reason if it doesn't.
    pub fn check(&self, record: &Record) -> Result<()> {
        match record {
            Record::Opened { epoch, .. } if *epoch > self.epoch => Ok(()),
            Record::Copies { .. } => Ok(()),
            Record::Opened { epoch, .. } => Err(Mismatch::Epoch(*epoch)),
            Record::Created { program, .. } => match self.find(program) {
                Ok(_) => Err(Mismatch::Exists(program.clone())),
                Err(_) => Ok(()),
            },
            Record::Started { program, .. }
            | Record::Stopped { program, .. }
            | Record::Committed { program, .. }
            | Record::Intent { program, .. }
            | Record::Outcome { program, .. }
            | Record::Blamed { program, .. }
            | Record::Ended { program, .. }
            | Record::Released { program, .. }
            | Record::Forgotten { program } => {
                let stored = self.program(program);
                let stored = stored.ok_or_else(|| Mismatch::Unknown(program.clone()))?;
                if stored.accepts(record) {
                    return Ok(());
                }
                Err(Mismatch::Order(program.clone()))
            }
        }
    }

    /// Returns the epoch of the last opening; 0 if the shard was never opened.
    #[must_use]
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the VM that opened the shard last.
    #[must_use]
    pub fn owner(&self) -> Option<&id::Vm> {
        self.owner.as_ref()
    }

    /// Returns the VMs that may hold the current owner's pending batches: the holders of the last
    /// change and those before it, because the owner can't tell when the last change takes effect
    /// in the journal.
    #[must_use]
    pub fn copy_holders(&self) -> &[Holder] {
        &self.copies
    }

    /// Returns a program by its name.
    #[must_use]
    pub fn program(&self, id: &id::Program) -> Option<&Program> {
        let index = self.find(id).ok()?;
        Some(&self.programs[index])
    }

    /// Iterates over all programs, including ended ones, sorted by name.
    pub fn programs(&self) -> impl Iterator<Item = &Program> {
        self.programs.iter().map(Box::as_ref)
    }

    /// Returns the digest of a turn's content: the program's history followed by the turn's new
    /// messages. The same content in another program has the same digest.
    #[must_use]
    pub fn content_digest(&self, id: &id::Program, digest: id::Digest) -> id::Digest {
        let chain = self.program(id).map_or(id::Digest(0), |p| p.chain);
        chain_digest(chain, digest)
    }

    /// Returns the endpoints that crashed on this content.
    #[must_use]
    pub fn crashed_endpoints(&self, content: id::Digest) -> &[id::Endpoint] {
        match self.find_blame(content) {
            Ok(index) => &self.blames[index].endpoints,
            Err(_) => &[],
        }
    }

    /// Returns whether this content is permanently refused.
    #[must_use]
    pub fn is_poisoned(&self, content: id::Digest) -> bool {
        self.crashed_endpoints(content).len() >= POISON_THRESHOLD
    }

    fn set_copy_holders(&mut self, holders: &[Holder]) {
        self.copies.clone_from(&self.named);
        for holder in holders {
            if !self.copies.contains(holder) {
                self.copies.push(holder.clone());
            }
        }
        self.named = holders.to_vec();
    }

    fn create(&mut self, id: &id::Program, record: &Record) {
        let (Err(index), Some(program)) = (self.find(id), Program::from_created(record)) else {
            return;
        };
        self.programs.insert(index, Box::new(program));
    }

    fn forget(&mut self, id: &id::Program) {
        if let Ok(index) = self.find(id) {
            self.programs.remove(index);
        }
    }

    /// Adds the turn. Unless the content is already refused, also clears it of earlier blame: it
    /// has now run to completion, so a crash was caused by something else that ran at the same
    /// time.
    fn commit(&mut self, id: &id::Program, record: &Record) {
        let Ok(index) = self.find(id) else { return };
        let digest = self.programs[index].running.as_ref().map(|r| r.digest);
        let content = digest.map(|digest| chain_digest(self.programs[index].chain, digest));
        self.programs[index].apply(self.epoch, record);
        let Some(content) = content.filter(|content| !self.is_poisoned(*content)) else {
            return;
        };
        if let Ok(index) = self.find_blame(content) {
            self.blames.remove(index);
        }
    }

    fn blame(&mut self, content: id::Digest, endpoint: &id::Endpoint) {
        let index = self.find_blame(content).unwrap_or_else(|index| {
            let endpoints = Vec::new();
            self.blames.insert(index, Blame { content, endpoints });
            index
        });
        insert_sorted(&mut self.blames[index].endpoints, endpoint);
    }

    fn find(&self, id: &id::Program) -> std::result::Result<usize, usize> {
        self.programs.binary_search_by(|p| p.id.cmp(id))
    }

    fn find_blame(&self, content: id::Digest) -> std::result::Result<usize, usize> {
        self.blames.binary_search_by_key(&content, |b| b.content)
    }
}

#[cfg(test)]
mod tests;
