//! Admission control: decides which calls may wait.
//!
//! Admission deals with bursts, saturation, and a few callers that send most of the load. Without
//! it, the queue grows until every call in it is too late for its caller, the endpoints work on
//! answers that nobody waits for, and programs are cut off halfway, when most of their cost has
//! been spent.
//!
//! A call that can't be served in time is refused at once, so that the caller can act otherwise:
//! - While no call waits, a call is refused only if it couldn't finish before its deadline.
//! - A caller may have as many calls waiting as there is capacity left in its class (a dynamic
//!   threshold). One caller that floods is limited to half of the capacity, two to a third each,
//!   and the others always find some left.
//! - The first call of a routine program is admitted only while the expected wait is at most
//!   [`MAX_FIRST_WAIT`]; its later calls are admitted up to the limits of the queue. Refusing a
//!   later call wastes what has been spent on its program, so load is shed at the first call.
//! - Urgent calls are measured against the waiting urgent calls, never against the routine ones.
//!
//! `retry_after` is the time in which the excess drains at the measured rate, times a random factor
//! from [1, 2) for each refusal, so that callers refused together don't return together.

use rand::Rng;
use rand::RngExt;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

use crate::class::Class;
use crate::queue;
use crate::queue::Queue;

/// Longest expected wait at which the first call of a routine program is admitted.
///
/// Equal to the longest lag of a load report: within this time a VM can't tell a queue that drains
/// from one that grows. Without this limit, programs are admitted that are cut off later, and their
/// work is lost.
pub const MAX_FIRST_WAIT: Millis = Millis::new(2_000);
/// Shortest `retry_after`: below it, retrying costs more than the shorter wait saves.
pub const MIN_RETRY_AFTER: Millis = Millis::new(250);
/// Longest `retry_after`, before jitter: the load in a minute can't be predicted from the load now.
pub const MAX_RETRY_AFTER: Millis = Millis::new(60_000);

/// The result of an admission decision.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether work has already been spent on a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The call is the program's first.
    First,
    /// Earlier calls of the program have been served.
    Later,
}

/// The properties of a call that its admission depends on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its class.
    pub class: Class,
    /// Whether work has already been spent on its program.
    pub stage: Stage,
    /// How long its caller will wait from now; `None` if not given.
    pub deadline: Option<Millis>,
    /// Expected time at an endpoint.
    pub run: Millis,
}

/// The load at the arrival of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Waiting calls that are served before it: of its class for an urgent call, of both classes
    /// for a routine one. Because the queue is fair, other callers' calls count only up to the
    /// number of calls that its own caller has waiting, plus one. So a caller that floods waits
    /// behind its own calls, and programs of the others are still admitted.
    pub waiting: usize,
    /// Waiting calls of its class and caller.
    pub own: usize,
    /// Remaining capacity for its class, in calls.
    pub room: usize,
    /// Calls removed from the queue per second; `None` before it has been measured.
    pub drain: Option<f64>,
}

impl Load {
    /// Computes the load from a queue.
    #[must_use]
    pub fn of<T>(queue: &Queue<T>, drain: &DrainRate, class: Class, caller: &id::Caller) -> Self {
        let ahead = queue.ahead_of(class, caller);
        let (waiting, used) = match class {
            Class::Urgent => (ahead, queue.len()),
            Class::Routine => {
                let routine = queue.waiting(Class::Routine);
                (queue.waiting(Class::Urgent) + ahead, routine)
            }
        };
        Self {
            waiting,
            own: queue.waiting_of(class, caller),
            room: queue.limits().capacity(class).saturating_sub(used),
            drain: drain.rate(),
        }
    }

    /// Returns the expected wait of a call that arrives now.
    #[must_use]
    pub fn wait(&self) -> Millis {
        match self.drain {
            Some(rate) if self.waiting > 0 => drain_time(self.waiting, rate),
            _ => Millis::ZERO,
        }
    }
}

/// Decides whether a call is admitted.
///
/// # Errors
///
/// Refuses with [`Code::QueueFull`] if the capacity or the caller's part of it is used up, with
/// [`Code::DeadlineUnmeetable`] if the call would finish too late, and with [`Code::Overloaded`] if
/// the expected wait is too long.
pub fn decide<R: Rng>(load: &Load, call: &Call, rng: &mut R) -> Result<()> {
    if load.room == 0 || (load.own > 0 && load.own >= load.room) {
        return Err(refuse(load, Code::QueueFull, load.wait(), rng));
    }
    let wait = load.wait();
    if call.deadline.is_some_and(|left| wait.plus(call.run) > left) {
        return Err(refuse(load, Code::DeadlineUnmeetable, wait, rng));
    }
    let allowed = match (call.class, call.stage) {
        (Class::Urgent, _) => queue::MAX_URGENT_WAIT,
        (Class::Routine, Stage::First) => MAX_FIRST_WAIT,
        (Class::Routine, Stage::Later) => queue::MAX_ROUTINE_WAIT,
    };
    if wait > allowed {
        return Err(refuse(load, Code::Overloaded, wait.since(allowed), rng));
    }
    Ok(())
}

/// Returns the refusal of a call that was admitted and expired in the queue.
pub fn refuse_expired<R: Rng>(load: &Load, rng: &mut R) -> Refusal {
    refuse(load, Code::WaitedTooLong, load.wait(), rng)
}

fn refuse<R: Rng>(load: &Load, code: Code, excess: Millis, rng: &mut R) -> Refusal {
    let detail = format!("{} waiting, {} of this caller's", load.waiting, load.own);
    Refusal::new(code, &detail).retry_after(with_jitter(excess, rng))
}

/// Returns a random duration from [`span`, 2 `span`), with `span` limited to [`MIN_RETRY_AFTER`]
/// and [`MAX_RETRY_AFTER`].
fn with_jitter<R: Rng>(span: Millis, rng: &mut R) -> Millis {
    let span = span.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER).as_u64();
    Millis::new(rng.random_range(span..2 * span))
}

#[expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "counts of calls are far below 2^52, and the cast saturates"
)]
fn drain_time(calls: usize, rate: f64) -> Millis {
    let seconds = calls as f64 / rate.max(MIN_RATE);
    Millis::new((seconds * 1000.0) as u64)
}

/// Lowest drain rate used in estimates, in calls per second: one call in [`MAX_RETRY_AFTER`].
const MIN_RATE: f64 = 1.0 / 60.0;

/// Measures the rate at which calls are taken out of the queue.
///
/// Only windows in which something was always waiting show how fast the endpoints take work. In
/// other windows the rate is that of the arrivals, which is a lower bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainRate {
    rate: Option<f64>,
    window_start: Millis,
    taken: u32,
    ran_empty: bool,
}

/// Window over which calls are counted. A stable rate needs the calls of some seconds; two also
/// cover the lag of the load reports, after which a change at the endpoints shows.
pub const WINDOW: Millis = Millis::new(2_000);
/// Weight of the latest window against the earlier ones: the rate follows a change in the number of
/// endpoints within about three windows.
pub const LATEST_WEIGHT: f64 = 0.4;

impl DrainRate {
    /// Returns the rate in calls per second; `None` before the first window has ended.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Records that a call was taken out, with `left` calls still waiting.
    pub fn count(&mut self, now: Millis, left: usize) {
        self.roll(now);
        self.taken += 1;
        self.ran_empty |= left == 0;
    }

    /// Ends the window when its time is over. Must also be called regularly while no call is taken,
    /// so that a standstill lowers the rate.
    pub fn roll(&mut self, now: Millis) {
        if self.window_start == Millis::ZERO {
            self.window_start = now;
        }
        let span = now.since(self.window_start);
        if span < WINDOW {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a window is a few seconds")]
        let seconds = span.as_u64() as f64 / 1000.0;
        let latest = f64::from(self.taken) / seconds;
        self.rate = Some(match self.rate {
            None => latest,
            Some(rate) if self.ran_empty => rate.max(latest),
            Some(rate) => rate + LATEST_WEIGHT * (latest - rate),
        });
        self.window_start = now;
        self.taken = 0;
        self.ran_empty = false;
    }
}

#[cfg(test)]
mod tests;
