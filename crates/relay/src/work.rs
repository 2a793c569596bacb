//! Tracks the work in progress for requests, so that the end of the process cuts nothing off
//! without a log line.
//!
//! The entry of an answer lasts from the request's headers until the answer is complete or
//! abandoned, however long the caller stays connected.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::time::Instant;

/// The work in progress.
#[derive(Debug, Default)]
pub struct Registry(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Sorted by number, because numbers only grow.
    entries: Vec<Entry>,
    next: u64,
}

/// The kind of work for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Answering the request.
    Answer,
    /// Recording how many tokens of its program's budget the request used.
    Settlement,
}

/// A unit of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    number: u64,
    /// Kind of the work.
    pub kind: Kind,
    /// The request's id as given by its caller.
    pub request: String,
    /// When the work began.
    pub since: Instant,
}

/// Removes the entry when dropped.
#[derive(Debug)]
pub struct Guard {
    registry: Arc<Registry>,
    number: u64,
}

impl Registry {
    /// Adds an entry for work on a request, which lasts until the guard is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>, kind: Kind, request: &str) -> Guard {
        let mut state = self.lock();
        let number = state.next;
        state.next += 1;
        state.entries.push(Entry {
            number,
            kind,
            request: request.to_owned(),
            since: Instant::now(),
        });
        Guard {
            registry: self.clone(),
            number,
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Returns the number of answers in progress.
    #[must_use]
    pub fn answers(&self) -> usize {
        let state = self.lock();
        let answers = state.entries.iter();
        answers.filter(|entry| entry.kind == Kind::Answer).count()
    }

    /// Returns all entries, oldest first.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.lock().entries.clone()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut state = self.registry.lock();
        let found = state
            .entries
            .binary_search_by_key(&self.number, |entry| entry.number);
        if let Ok(index) = found {
            state.entries.remove(index);
        }
    }
}

#[cfg(test)]
mod tests;
