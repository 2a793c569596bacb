//! An in-memory platform for tests, with injection of the faults that the real platform has.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use async_trait::async_trait;
use tokio::sync::mpsc;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::edge::Change;
use crate::edge::Entry;
use crate::edge::Fault;
use crate::edge::Lease;
use crate::edge::MAX_VALUE;
use crate::edge::Machine;
use crate::edge::Outcome;
use crate::edge::Platform;
use crate::edge::Priority;
use crate::edge::Result;
use crate::edge::Txn;
use crate::edge::Write;

/// How many undelivered changes a watch buffers before it breaks off.
const WATCH_DEPTH: usize = 1024;

/// A fault to inject into a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Injection {
    /// The write takes effect, and its response is lost.
    LoseAnswer,
    /// The write is lost before it takes effect. The caller can't tell whether it did.
    LoseWrite,
    /// The write is delayed until [`Memory::deliver`]. The caller can't tell whether it took
    /// effect.
    Delay,
}

/// An in-memory platform. Clones share their state.
#[derive(Clone, Default)]
pub struct Memory {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Default)]
struct State {
    /// Sorted by key, each with its lease.
    entries: Vec<(Entry, Option<Lease>)>,
    revision: u64,
    /// Each lease with its expiry and its duration.
    leases: Vec<(Lease, Millis, Millis)>,
    /// Each watch's prefix and where to send its changes.
    watches: Vec<(String, mpsc::Sender<Change>)>,
    /// Watches that were lost: they get no change any more and stay open.
    lost_watches: Vec<mpsc::Sender<Change>>,
    machines: Vec<Machine>,
    down: bool,
    /// The faults to inject, the next one last.
    injections: Vec<Injection>,
    delayed: Vec<Txn>,
    /// Write calls so far.
    writes: u64,
}

impl Memory {
    /// Creates an empty platform whose leases expire by `clock`.
    #[must_use]
    pub fn new(clock: Clock) -> Self {
        Self {
            clock,
            state: Arc::default(),
        }
    }

    /// Begins or ends an outage.
    pub fn set_down(&self, down: bool) {
        self.lock().down = down;
    }

    /// Loses all watches without ending them, and returns how many there were.
    #[must_use]
    pub fn lose_watches(&self) -> usize {
        let mut state = self.lock();
        let watches = std::mem::take(&mut state.watches);
        let lost = watches.len();
        let senders = watches.into_iter().map(|(_, sender)| sender);
        state.lost_watches.extend(senders);
        lost
    }

    /// Injects a fault into the next write that has none planned yet.
    pub fn inject(&self, injection: Injection) {
        self.lock().injections.insert(0, injection);
    }

    /// Applies every delayed write whose conditions hold and whose leases have not ended.
    pub fn deliver(&self) {
        let mut state = self.lock();
        for txn in std::mem::take(&mut state.delayed) {
            if state.has_live_leases(&txn) {
                state.apply(&txn);
            }
        }
    }

    /// Sets the list of VMs.
    pub fn set_machines(&self, machines: Vec<Machine>) {
        self.lock().machines = machines;
    }

    /// Returns the number of writes that were tried.
    #[must_use]
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.expire(self.clock.now());
        state
    }

    fn connect(&self) -> Result<MutexGuard<'_, State>> {
        let state = self.lock();
        if state.down {
            return Err(Fault::Down("outage".to_owned()));
        }
        Ok(state)
    }
}

impl State {
    fn find(&self, key: &str) -> std::result::Result<usize, usize> {
        self.entries
            .binary_search_by(|(entry, _)| entry.key.as_str().cmp(key))
    }

    fn revision_of(&self, key: &str) -> u64 {
        self.find(key).map_or(0, |at| self.entries[at].0.revision)
    }

    /// Returns whether no lease of a transaction has ended. A key put under an ended lease would
    /// never be removed.
    fn has_live_leases(&self, txn: &Txn) -> bool {
        txn.writes.iter().all(|write| match write {
            Write::Put { lease, .. } => {
                lease.is_none_or(|lease| self.leases.iter().any(|(id, ..)| *id == lease))
            }
            Write::Delete(_) => true,
        })
    }

    fn apply(&mut self, txn: &Txn) -> Outcome {
        if txn
            .compares
            .iter()
            .any(|c| self.revision_of(&c.key) != c.revision)
        {
            let present = txn.compares.iter().filter_map(|c| self.find(&c.key).ok());
            return Outcome::Refused(present.map(|at| self.entries[at].0.clone()).collect());
        }
        self.revision += 1;
        for write in &txn.writes {
            self.write(write);
        }
        Outcome::Applied(self.revision)
    }

    fn write(&mut self, write: &Write) {
        match write {
            Write::Put { key, value, lease } => {
                let entry = Entry {
                    key: key.clone(),
                    value: value.clone(),
                    revision: self.revision,
                };
                match self.find(key) {
                    Ok(at) => self.entries[at] = (entry.clone(), *lease),
                    Err(at) => self.entries.insert(at, (entry.clone(), *lease)),
                }
                self.notify(&Change::Set(entry));
            }
            Write::Delete(key) => self.remove(key),
        }
    }

    fn remove(&mut self, key: &str) {
        if let Ok(at) = self.find(key) {
            self.entries.remove(at);
            self.notify(&Change::Removed {
                key: key.to_owned(),
                revision: self.revision,
            });
        }
    }

    fn notify(&mut self, change: &Change) {
        let key = match change {
            Change::Set(entry) => &entry.key,
            Change::Removed { key, .. } => key,
        };
        self.watches.retain(|(prefix, sender)| {
            !key.starts_with(prefix) || sender.try_send(change.clone()).is_ok()
        });
    }

    fn expire(&mut self, now: Millis) {
        let ended: Vec<Lease> = self
            .leases
            .iter()
            .filter(|(_, end, _)| *end <= now)
            .map(|(id, ..)| *id)
            .collect();
        for lease in ended {
            self.end(lease);
        }
    }

    fn end(&mut self, lease: Lease) {
        self.leases.retain(|(id, ..)| *id != lease);
        let attached = self
            .entries
            .iter()
            .filter(|(_, holder)| *holder == Some(lease));
        let keys: Vec<String> = attached.map(|(entry, _)| entry.key.clone()).collect();
        self.revision += 1;
        for key in keys {
            self.remove(&key);
        }
    }
}

#[async_trait]
impl Platform for Memory {
    async fn range(&self, prefix: &str, from: &str, limit: usize) -> Result<Vec<Entry>> {
        let state = self.connect()?;
        let entries = state.entries.iter().map(|(entry, _)| entry);
        let listed = entries.filter(|e| e.key.starts_with(prefix) && e.key.as_str() >= from);
        Ok(listed.take(limit).cloned().collect())
    }

    async fn read(&self, key: &str) -> Result<Option<Entry>> {
        let state = self.connect()?;
        Ok(state.find(key).ok().map(|at| state.entries[at].0.clone()))
    }

    async fn commit(&self, txn: &Txn, _priority: Priority) -> Result<Outcome> {
        let mut state = self.connect()?;
        state.writes += 1;
        let too_long =
            |write: &Write| matches!(write, Write::Put { value, .. } if value.len() > MAX_VALUE);
        if txn.writes.iter().any(too_long) {
            return Err(Fault::Invalid("a value is over the limit".to_owned()));
        }
        let lost = || Fault::Unknown("the answer was lost".to_owned());
        if !state.has_live_leases(txn) {
            return Err(Fault::Invalid("a lease has ended".to_owned()));
        }
        match state.injections.pop() {
            None => Ok(state.apply(txn)),
            Some(Injection::LoseWrite) => Err(lost()),
            Some(Injection::LoseAnswer) => {
                state.apply(txn);
                Err(lost())
            }
            Some(Injection::Delay) => {
                state.delayed.push(txn.clone());
                Err(lost())
            }
        }
    }

    async fn grant(&self, ttl: Millis) -> Result<Lease> {
        let now = self.clock.now();
        let mut state = self.connect()?;
        state.revision += 1;
        let lease = Lease(state.revision);
        state.leases.push((lease, now.plus(ttl), ttl));
        Ok(lease)
    }

    async fn renew(&self, lease: Lease) -> Result<bool> {
        let now = self.clock.now();
        let mut state = self.connect()?;
        let Some(held) = state.leases.iter_mut().find(|(id, ..)| *id == lease) else {
            return Ok(false);
        };
        held.1 = now.plus(held.2);
        Ok(true)
    }

    async fn revoke(&self, lease: Lease) -> Result<()> {
        self.connect()?.end(lease);
        Ok(())
    }

    async fn watch(&self, prefix: &str, revision: u64) -> Result<mpsc::Receiver<Change>> {
        let mut state = self.connect()?;
        let (sender, receiver) = mpsc::channel(WATCH_DEPTH);
        let all = state.entries.iter().map(|(entry, _)| entry);
        for entry in all.filter(|e| e.key.starts_with(prefix) && e.revision >= revision) {
            let _full = sender.try_send(Change::Set(entry.clone()));
        }
        state.watches.push((prefix.to_owned(), sender));
        Ok(receiver)
    }

    async fn machines(&self) -> Result<Vec<Machine>> {
        Ok(self.connect()?.machines.clone())
    }
}

#[cfg(test)]
mod tests;
