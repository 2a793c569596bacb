//! The bytes that requests under way hold, claimed from the budget of `policy::memory`.
//!
//! Bytes are given back when their [`Held`] is dropped, however a request ends, or when the last copy of
//! the [`Bytes`] is that they were attached to.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use bytes::Bytes;
use link::body::Part;
use policy::memory::Budget;
use policy::memory::Claim;
use policy::memory::Estimate;
use policy::memory::Reason;
use policy::memory::Step;
use policy::memory::Ticket;
use policy::memory::Verdict;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::SendError;
use tokio::sync::oneshot;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

pub use growth::Displacement;
pub use growth::Growth;

mod growth;

/// The shortest time after which a refused request may be retried.
const MIN_RETRY_DELAY: Millis = Millis::new(100);
/// The bytes of a history before any was read: the usual longest part that a VM with a disk returns at once, read
/// and then decoded.
const FIRST_HISTORY_BYTES: u64 = 1024 * 1024;
/// The bytes of a route's answer before any came: some times what plain services answer.
const FIRST_ANSWER_BYTES: u64 = 64 * 1024;

/// The bytes that the requests of a process hold.
#[derive(Debug)]
pub struct Holdings {
    state: Mutex<State>,
    clock: Clock,
}

#[derive(Debug, Default)]
struct State {
    budget: Budget,
    /// Sorted by ticket, because tickets only grow.
    waiters: Vec<Waiter>,
    /// The answers that may grow, sorted by ticket, because tickets only grow.
    growing: Vec<(Ticket, oneshot::Sender<()>)>,
    history: Estimate,
    /// Sorted by route.
    answers: Vec<Answers>,
}

#[derive(Debug)]
struct Waiter {
    ticket: Ticket,
    claim: Claim,
    granted: oneshot::Sender<Held>,
}

/// The answers of a route.
#[derive(Debug)]
struct Answers {
    route: String,
    estimate: Estimate,
}

/// Figures of the moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Figures {
    /// The bytes that are held.
    pub bytes: u64,
    /// How many claims wait.
    pub waiting: usize,
}

/// Bytes that are held until dropped.
#[derive(Debug)]
pub struct Held {
    holdings: Arc<Holdings>,
    step: Step,
    bytes: u64,
    since: Millis,
}

/// Takes a claim back when dropped, if it still waits.
struct Waiting<'a> {
    holdings: &'a Arc<Holdings>,
    ticket: Ticket,
}

/// Bytes together with their part of the budget.
struct Attached {
    bytes: Bytes,
    _held: Held,
}

impl AsRef<[u8]> for Attached {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Holdings {
    /// Creates the budget of a process that holds nothing yet.
    #[must_use]
    pub fn new(total: u64, clock: Clock) -> Arc<Self> {
        let state = State {
            budget: Budget::new(total),
            ..State::default()
        };
        Arc::new(Self {
            state: Mutex::new(state),
            clock,
        })
    }

    /// Returns the figures of the moment.
    #[must_use]
    pub fn figures(&self) -> Figures {
        let state = self.lock();
        Figures {
            bytes: state.budget.held(),
            waiting: state.budget.waiting(),
        }
    }

    /// Returns the bytes that all requests may hold together.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.lock().budget.total()
    }

    /// Returns the most bytes that a claim may have.
    #[must_use]
    pub fn limit(&self) -> u64 {
        self.lock().budget.limit()
    }

    /// Returns the bytes that a history of which nothing is known may take while it is read.
    #[must_use]
    pub fn expected_history(&self) -> u64 {
        self.lock().history.bytes(FIRST_HISTORY_BYTES)
    }

    /// Records how many bytes a history took while it was read.
    pub fn note_history(&self, bytes: u64) {
        self.lock().history.note(bytes);
    }

    /// Returns the bytes that an answer of a route may take.
    #[must_use]
    pub fn expected_answer(&self, route: &str) -> u64 {
        let state = self.lock();
        let known = state.find(route).ok();
        let estimate = known.map_or_else(Estimate::default, |at| state.answers[at].estimate);
        estimate.bytes(FIRST_ANSWER_BYTES)
    }

    /// Records the size of a route's answer.
    pub fn note_answer(&self, route: &str, bytes: u64) {
        let mut state = self.lock();
        let at = state.find(route).unwrap_or_else(|at| {
            let answers = Answers {
                route: route.to_owned(),
                estimate: Estimate::default(),
            };
            state.answers.insert(at, answers);
            at
        });
        state.answers[at].estimate.note(bytes);
    }

    /// Returns whether a claim waits.
    #[must_use]
    pub fn is_awaited(&self) -> bool {
        self.figures().waiting > 0
    }

    /// Queues bytes that have come, and holds them until their last copy is dropped. While requests hold
    /// all the bytes that they may, the queue has to be empty first.
    ///
    /// # Errors
    ///
    /// Fails if the receiver is gone.
    pub async fn queue(
        self: &Arc<Self>,
        parts: &mpsc::Sender<Part>,
        bytes: Bytes,
    ) -> Result<(), SendError<()>> {
        let is_full = self.lock().budget.is_full();
        if is_full {
            parts.reserve_many(parts.max_capacity()).await?;
        }
        let part = Part::Data(self.hold_nothing().attach(bytes));
        parts.send(part).await.map_err(|_| SendError(()))
    }

    /// Claims `bytes` and waits for them, at most for `wait`.
    ///
    /// # Errors
    ///
    /// Refuses the request if the bytes can't be had in time.
    pub async fn claim(
        self: &Arc<Self>,
        step: Step,
        rank: u8,
        bytes: u64,
        wait: Millis,
    ) -> Result<Held, Refusal> {
        let now = self.clock.now();
        let claim = Claim {
            step,
            rank,
            bytes,
            deadline: now.plus(wait),
        };
        let (ticket, granted) = {
            let mut state = self.lock();
            let verdict = state.budget.claim(&claim, now);
            state.tell_displaced();
            match verdict {
                Verdict::Granted => return Ok(self.held(&claim)),
                Verdict::Refused(reason) => return Err(refusal(reason, state.budget.held())),
                Verdict::Waits(ticket) => {
                    let (sender, granted) = oneshot::channel();
                    state.waiters.push(Waiter {
                        ticket,
                        claim,
                        granted: sender,
                    });
                    (ticket, granted)
                }
            }
        };
        let _waiting = Waiting {
            holdings: self,
            ticket,
        };
        match timeout(wait.as_duration(), granted).await {
            Ok(Ok(held)) => Ok(held),
            Ok(Err(_)) | Err(_) => Err(refusal(Reason::TooLate(wait), self.figures().bytes)),
        }
    }

    /// Holds no bytes yet.
    #[must_use]
    pub fn hold_nothing(self: &Arc<Self>) -> Held {
        Held {
            holdings: self.clone(),
            step: Step::Work,
            bytes: 0,
            since: self.clock.now(),
        }
    }

    fn held(self: &Arc<Self>, claim: &Claim) -> Held {
        Held {
            holdings: self.clone(),
            step: claim.step,
            bytes: claim.bytes,
            since: self.clock.now(),
        }
    }

    /// Changes the state, then hands free bytes to those who wait.
    fn change(self: &Arc<Self>, change: impl FnOnce(&mut State)) {
        let mut granted = Vec::new();
        {
            let mut state = self.lock();
            change(&mut state);
            while let Some(ticket) = state.budget.grant_next() {
                let found = state.waiters.binary_search_by_key(&ticket, |w| w.ticket);
                granted.extend(found.map(|at| state.waiters.remove(at)));
            }
            state.tell_displaced();
        }
        // After the lock is released: what a waiter that has left doesn't take is given back here.
        for waiter in granted {
            let _left = waiter.granted.send(self.held(&waiter.claim));
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells the readers of answers that were displaced.
    fn tell_displaced(&mut self) {
        for ticket in self.budget.take_displaced() {
            if let Ok(at) = self.growing.binary_search_by_key(&ticket, |(key, _)| *key) {
                // A reader that has just left needs no word.
                let _left = self.growing.remove(at).1.send(());
            }
        }
    }

    fn find(&self, route: &str) -> Result<usize, usize> {
        self.answers
            .binary_search_by(|answers| answers.route.as_str().cmp(route))
    }
}

impl Held {
    /// Returns how many bytes are held.
    #[must_use]
    pub const fn bytes(&self) -> u64 {
        self.bytes
    }

    /// Corrects how many bytes are held. More are granted always.
    pub fn resize(&mut self, bytes: u64) {
        let now = self.holdings.clock.now();
        let (step, held_for) = (self.step, now.since(self.since));
        if bytes > self.bytes {
            let more = bytes - self.bytes;
            self.holdings.change(|state| state.budget.hold(step, more));
        } else {
            let less = self.bytes - bytes;
            let release = |state: &mut State| state.budget.release(step, less, held_for, now);
            self.holdings.change(release);
        }
        self.bytes = bytes;
    }

    /// Holds `bytes` at least, and returns whether those that are missing are free. Waits for none.
    #[must_use]
    pub fn extend_to(&mut self, bytes: u64) -> bool {
        let more = bytes.saturating_sub(self.bytes);
        let (step, mut is_free) = (self.step, true);
        if more > 0 {
            self.holdings
                .change(|state| is_free = state.budget.extend(step, more));
        }
        if is_free {
            self.bytes += more;
        }
        is_free
    }

    /// Holds as many bytes as there are, until the last copy of them is dropped.
    #[must_use]
    pub fn attach(mut self, bytes: Bytes) -> Bytes {
        self.resize(bytes.len() as u64);
        Bytes::from_owner(Attached { bytes, _held: self })
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.resize(0);
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.holdings.change(|state| {
            state.budget.leave(ticket);
            state.waiters.retain(|waiter| waiter.ticket != ticket);
        });
    }
}

fn refusal(reason: Reason, held: u64) -> Refusal {
    match reason {
        Reason::TooLarge(limit) => {
            let detail = format!("a request may have {limit} bytes of the VM's memory");
            Refusal::new(Code::BodyTooLarge, &detail)
        }
        Reason::TooLate(span) => {
            let detail = format!("{held} bytes are held, and the wait is {span}");
            let span = span.max(MIN_RETRY_DELAY);
            Refusal::new(Code::MemoryTaken, &detail).retry_after(span)
        }
    }
}

#[cfg(test)]
mod tests;
