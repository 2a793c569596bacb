//! What a process has under way, so that its end cuts nothing off unseen.
//!
//! The entry of an answer lasts from the request's headers until the answer is whole or given up,
//! however long the client stays.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::time::Instant;

/// All that is under way.
#[derive(Debug, Default)]
pub struct Registry(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    /// Sorted by number, as numbers grow.
    entries: Vec<Entry>,
    next: u64,
}

/// What is done for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// Its answer.
    Answer,
    /// What it used of its program's tokens is noted.
    Settlement,
}

/// A piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    number: u64,
    /// What is done.
    pub kind: Kind,
    /// The request's id, as its client gave it.
    pub request: String,
    /// When it began.
    pub since: Instant,
}

/// Keeps an entry until dropped.
#[derive(Debug)]
pub struct Guard {
    registry: Arc<Registry>,
    number: u64,
}

impl Registry {
    /// Enters work for a request.
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

    /// Yields how much is under way.
    #[must_use]
    pub fn count(&self) -> usize {
        self.lock().entries.len()
    }

    /// Yields how many answers are.
    #[must_use]
    pub fn answers(&self) -> usize {
        let state = self.lock();
        let answers = state.entries.iter();
        answers.filter(|entry| entry.kind == Kind::Answer).count()
    }

    /// Yields what is under way, the oldest first.
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
        if let Ok(at) = found {
            state.entries.remove(at);
        }
    }
}

#[cfg(test)]
mod tests;
