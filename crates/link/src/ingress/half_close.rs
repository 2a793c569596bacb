//! What becomes of a request whose caller has ended its half of the connection.
//!
//! A caller that closes its connection and one that only ends its half look the same until something is
//! written to them. So the handler says what the end means for its request.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Waker;

/// What the end of a caller's writing means for its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// The handler hasn't said it yet.
    Undecided,
    /// The caller has left: the connection ends with its request.
    Leaves,
    /// The caller waits for its answer, after which the connection ends.
    Waits,
}

/// Whether a caller has ended its half of a connection, and what that means.
#[derive(Debug)]
pub(super) struct HalfClose(Mutex<State>);

#[derive(Debug)]
struct State {
    meaning: Meaning,
    /// The reader that waits for the meaning, from the end of the caller's writing on.
    reader: Option<Waker>,
}

impl HalfClose {
    /// Creates the state of a connection without a request.
    pub(super) const fn new() -> Self {
        Self(Mutex::new(State {
            meaning: Meaning::Leaves,
            reader: None,
        }))
    }

    /// Returns what the end that the caller's reader has seen means, and wakes it when that changes.
    pub(super) fn meaning(&self, reader: &Waker) -> Meaning {
        let mut state = self.lock();
        match &mut state.reader {
            Some(known) => known.clone_from(reader),
            None => state.reader = Some(reader.clone()),
        }
        state.meaning
    }

    /// Sets what the end means.
    pub(super) fn decide(&self, meaning: Meaning) {
        let mut state = self.lock();
        if state.meaning == meaning {
            return;
        }
        state.meaning = meaning;
        if let Some(reader) = &state.reader {
            reader.wake_by_ref();
        }
    }

    /// Returns whether the end has been seen.
    pub(super) fn is_seen(&self) -> bool {
        self.lock().reader.is_some()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
