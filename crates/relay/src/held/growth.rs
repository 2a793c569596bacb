//! The bytes of an answer while it is read: those that were claimed for it, and those beyond.

use std::mem;
use std::sync::Arc;

use policy::memory::Displaced;
use policy::memory::Ticket;
use tokio::sync::oneshot;

use crate::held::FIRST_ANSWER_BYTES;
use crate::held::Held;
use crate::held::Holdings;

/// The bytes of an answer while it is read. Those beyond what is expected of one can be taken back.
#[derive(Debug)]
pub struct Growth {
    holdings: Arc<Holdings>,
    ticket: Ticket,
    held: Held,
    claimed: u64,
    expected: u64,
    /// The bytes of the answer at the last correction.
    bytes: u64,
}

/// The word that an answer was displaced.
#[derive(Debug)]
pub struct Displacement(oneshot::Receiver<()>);

impl Holdings {
    /// Begins to count an answer of which `expected` bytes are expected, and for which some are held.
    pub fn begin_growth(self: &Arc<Self>, held: Held, expected: u64) -> (Growth, Displacement) {
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut state = self.lock();
            let ticket = state.budget.begin_growth();
            state.growing.push((ticket, sender));
            ticket
        };
        let claimed = held.bytes();
        let growth = Growth {
            holdings: self.clone(),
            ticket,
            held,
            claimed,
            expected: expected.max(claimed).max(FIRST_ANSWER_BYTES),
            bytes: 0,
        };
        (growth, Displacement(receiver))
    }
}

impl Growth {
    /// Corrects how many bytes the answer takes.
    ///
    /// # Errors
    ///
    /// Fails if the answer has to be broken off.
    pub fn resize(&mut self, bytes: u64) -> Result<(), Displaced> {
        if bytes == self.bytes {
            return Ok(());
        }
        self.bytes = bytes;
        let usual = bytes.clamp(self.claimed, self.expected);
        if usual != self.held.bytes() {
            self.held.resize(usual);
        }
        let (ticket, beyond) = (self.ticket, bytes.saturating_sub(self.expected));
        let mut grown = Ok(());
        self.holdings
            .change(|state| grown = state.budget.grow(ticket, beyond));
        grown
    }

    /// Ends the growth, and returns the bytes that were held at its beginning.
    #[must_use]
    pub fn into_claimed(mut self) -> Held {
        let mut held = mem::replace(&mut self.held, self.holdings.hold_nothing());
        held.resize(self.claimed);
        held
    }
}

impl Drop for Growth {
    fn drop(&mut self) {
        let ticket = self.ticket;
        self.holdings.change(|state| {
            state.budget.end_growth(ticket);
            state.growing.retain(|(key, _)| *key != ticket);
        });
    }
}

impl Displacement {
    /// Waits until the answer is displaced.
    pub async fn wait(&mut self) {
        if (&mut self.0).await.is_err() {
            // The answer is counted no more, so nothing displaces it.
            std::future::pending::<()>().await;
        }
    }
}
