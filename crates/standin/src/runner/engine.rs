//! The batch of a runner: its slots, the queue for them and the speed of generation.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;

/// The speed of a runner.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Tokens per second that a call generates when it is alone in the batch.
    pub decode: f64,
    /// Prompt tokens per second that are computed.
    pub prefill: f64,
    /// Share by which each further call in the batch increases the time per token.
    pub crowding: f64,
}

impl Speed {
    /// Returns the time to compute `tokens` prompt tokens; `factor` multiplies it.
    #[must_use]
    pub fn prefill(&self, tokens: u64, factor: f64) -> Duration {
        duration(as_f64(tokens) / self.prefill * factor)
    }

    /// Returns the time to generate one token in a batch of `running` calls; `factor` multiplies
    /// it.
    #[must_use]
    pub fn token(&self, running: u32, factor: f64) -> Duration {
        let others = f64::from(running.saturating_sub(1));
        duration((1.0 + self.crowding * others) / self.decode * factor)
    }
}

#[allow(clippy::cast_precision_loss)] // token counts are far below 2^52
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[derive(Default)]
struct State {
    running: u32,
    /// Sorted by priority, then by arrival.
    waiting: Vec<Waiter>,
    /// Number of calls that had to wait so far.
    arrivals: u64,
}

struct Waiter {
    priority: i64,
    arrival: u64,
    slot_sender: oneshot::Sender<Slot>,
}

/// The slots of a runner and the calls that wait for them.
pub struct Engine {
    slots: u32,
    state: Mutex<State>,
}

/// A slot in the batch; dropping it frees the slot.
pub struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(next) = self.0.release() else {
            return;
        };
        // If the waiter has gone, `send` returns the slot; dropping it releases it again.
        let _returned = next.slot_sender.send(Self(self.0.clone()));
    }
}

/// Removes a waiter from the queue when its wait ends or is cancelled.
struct QueueGuard<'a> {
    engine: &'a Engine,
    arrival: u64,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state
            .waiting
            .retain(|waiter| waiter.arrival != self.arrival);
    }
}

impl Engine {
    /// Creates an idle engine.
    #[must_use]
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            state: Mutex::default(),
        })
    }

    /// Returns the number of running calls.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Returns the number of waiting calls.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.lock().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Waits for a slot. The lowest priority number goes first; equal ones go in order of arrival.
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Slot {
        let (slot_sender, slot) = oneshot::channel();
        let arrival = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return Slot(self.clone());
            }
            state.arrivals += 1;
            let arrival = state.arrivals;
            let before = |waiter: &Waiter| (waiter.priority, waiter.arrival) < (priority, arrival);
            let at = state.waiting.partition_point(before);
            let waiter = Waiter {
                priority,
                arrival,
                slot_sender,
            };
            state.waiting.insert(at, waiter);
            arrival
        };
        let _guard = QueueGuard {
            engine: self,
            arrival,
        };
        match slot.await {
            Ok(slot) => slot,
            // Unreachable: the sender stays in the queue as long as this call waits.
            Err(_) => std::future::pending().await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the first waiter, which is to get the released slot. Without a waiter the slot
    /// becomes free.
    fn release(&self) -> Option<Waiter> {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            state.running -= 1;
            return None;
        }
        Some(state.waiting.remove(0))
    }
}
