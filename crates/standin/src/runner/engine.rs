//! The slots of a runner: who runs, who waits, and how fast a batch generates.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::sync::oneshot;

/// How fast a runner is.
#[derive(Clone, Copy, Debug)]
pub struct Speed {
    /// Tokens a second that a call generates when it runs alone.
    pub decode: f64,
    /// Prompt tokens a second that are computed.
    pub prefill: f64,
    /// By what share each further call of the batch slows a call down.
    pub crowding: f64,
}

impl Speed {
    /// Yields the time for `tokens` of prompt.
    #[must_use]
    pub fn prefill(&self, tokens: u64, factor: f64) -> Duration {
        span(as_f64(tokens) / self.prefill * factor)
    }

    /// Yields the time for one token in a batch of `running` calls.
    #[must_use]
    pub fn token(&self, running: u32, factor: f64) -> Duration {
        let others = f64::from(running.saturating_sub(1));
        span((1.0 + self.crowding * others) / self.decode * factor)
    }
}

#[allow(clippy::cast_precision_loss)] // token counts are far below 2^52
fn as_f64(tokens: u64) -> f64 {
    tokens as f64
}

fn span(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

#[derive(Default)]
struct State {
    running: u32,
    /// Sorted by priority and arrival.
    waiting: Vec<Waiter>,
    arrivals: u64,
}

struct Waiter {
    priority: i64,
    arrival: u64,
    granted: oneshot::Sender<Slot>,
}

/// The slots of a runner.
pub struct Engine {
    slots: u32,
    state: Mutex<State>,
}

/// A call's place in the batch; free again when dropped.
pub struct Slot(Arc<Engine>);

impl Drop for Slot {
    fn drop(&mut self) {
        let Some(next) = self.0.pass_on() else {
            return;
        };
        // Where the waiter has gone meanwhile, the slot comes back, is dropped and passed on.
        let _gone = next.granted.send(Self(self.0.clone()));
    }
}

/// Takes a waiter that gives up off the list.
struct Place<'a> {
    engine: &'a Engine,
    arrival: u64,
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.waiting.retain(|w| w.arrival != self.arrival);
    }
}

impl Engine {
    /// Makes an idle engine.
    #[must_use]
    pub fn new(slots: u32) -> Arc<Self> {
        Arc::new(Self {
            slots,
            state: Mutex::default(),
        })
    }

    /// Counts the calls that run.
    #[must_use]
    pub fn running(&self) -> u32 {
        self.lock().running
    }

    /// Counts the calls that wait.
    #[must_use]
    pub fn waiting(&self) -> u32 {
        u32::try_from(self.lock().waiting.len()).unwrap_or(u32::MAX)
    }

    /// Waits for a slot; the lowest priority number goes first, then the earliest.
    pub async fn acquire(self: &Arc<Self>, priority: i64) -> Slot {
        let (granted, wait) = oneshot::channel();
        let arrival = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return Slot(self.clone());
            }
            state.arrivals += 1;
            let arrival = state.arrivals;
            let before = |w: &Waiter| (w.priority, w.arrival) < (priority, arrival);
            let at = state.waiting.partition_point(before);
            let waiter = Waiter {
                priority,
                arrival,
                granted,
            };
            state.waiting.insert(at, waiter);
            arrival
        };
        let _place = Place {
            engine: self,
            arrival,
        };
        match wait.await {
            Ok(slot) => slot,
            // The sender stands in the list as long as the engine does.
            Err(_) => std::future::pending().await,
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Gives a freed slot to the first waiter; without one it becomes free.
    fn pass_on(&self) -> Option<Waiter> {
        let mut state = self.lock();
        if state.waiting.is_empty() {
            state.running -= 1;
            return None;
        }
        Some(state.waiting.remove(0))
    }
}
