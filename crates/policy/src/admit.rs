//! What is let in.
//!
//! Answers a burst, saturation, and a few callers that send most of the load. Without it the queue
//! grows until every call in it is too late for its caller, the endpoints work on answers that
//! nobody waits for, and a program is broken off in the middle, when most of its cost is spent.
//!
//! A call that can't be served in time is refused at once, so that the caller can act otherwise:
//! - Nothing is refused while its class has nothing waiting.
//! - A caller may have as many calls waiting as there is room left in its class (a dynamic
//!   threshold): one that floods stops at half of the room, two at a third each, and the others
//!   always find some.
//! - The first call of a routine program is let in only while the expected wait is under
//!   [`FIRST_WAIT`]; its later calls up to the limits of the queue. What has been spent on a
//!   program is lost where its later calls are refused, so the load is cut at the first.
//! - Urgent calls are measured against the urgent calls that wait, never against the routine ones.
//!
//! `retry_after` is the time in which the excess drains at the measured rate, times a factor from
//! [1, 2) drawn per refusal, so that those refused together don't come back together.

use rand::Rng;
use rand::RngExt;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

use crate::class::Class;
use crate::queue;
use crate::queue::Queue;

/// The longest expected wait at which a routine program's first call is let in.
///
/// The longest lag of a load report: until then a VM can't tell a queue that drains from one that
/// grows. Without the limit programs are let in that are broken off later, and their work is lost.
pub const FIRST_WAIT: Millis = Millis::new(2_000);
/// The shortest `retry_after`: below it, coming back costs more than the wait saves.
pub const MIN_RETRY: Millis = Millis::new(250);
/// The longest `retry_after`; the load of a minute from now can't be told from that of now.
pub const MAX_RETRY: Millis = Millis::new(60_000);

/// The outcome of admission.
pub type Result<T> = std::result::Result<T, Refusal>;

/// Whether a program has something to lose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The call is the program's first.
    First,
    /// Earlier calls of the program have been served.
    Later,
}

/// What has to be known of a call to let it in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its class.
    pub class: Class,
    /// Whether its program has something to lose.
    pub stage: Stage,
    /// How long its caller waits from now; `None` where that isn't told.
    pub deadline: Option<Millis>,
    /// How long it is expected to run.
    pub run: Millis,
}

/// The load that a call meets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Calls that wait and are served before it: of its class for an urgent call, of both for a
    /// routine one; of each other caller no more than its own has, as the queue is fair. So a
    /// caller that floods meets its own wait, and the others' programs are still let in.
    pub waiting: usize,
    /// Calls of its class that its caller has waiting.
    pub own: usize,
    /// Calls that still fit in for its class.
    pub room: usize,
    /// Calls taken out of the queue in a second; `None` while that isn't measured.
    pub drain: Option<f64>,
}

impl Load {
    /// Reads the load off a queue.
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
            room: queue.limits().room(class).saturating_sub(used),
            drain: drain.rate(),
        }
    }

    /// Yields the expected wait of a call that comes now.
    #[must_use]
    pub fn wait(&self) -> Millis {
        match self.drain {
            Some(rate) if self.waiting > 0 => drain_time(self.waiting, rate),
            _ => Millis::ZERO,
        }
    }
}

/// Decides whether a call is let in.
///
/// # Errors
///
/// Refuses with [`Code::QueueFull`] where the room or the caller's part of it is used up, with
/// [`Code::DeadlineUnmeetable`] where the call would come too late, and with [`Code::Overloaded`]
/// where the load is too high to begin a program.
pub fn decide<R: Rng>(load: &Load, call: &Call, rng: &mut R) -> Result<()> {
    if load.room == 0 || (load.own > 0 && load.own >= load.room) {
        return Err(refuse(load, Code::QueueFull, load.wait(), rng));
    }
    let wait = load.wait();
    if call.deadline.is_some_and(|left| wait.plus(call.run) > left) {
        return Err(refuse(load, Code::DeadlineUnmeetable, wait, rng));
    }
    let allowed = match (call.class, call.stage) {
        (Class::Urgent, _) => queue::URGENT_WAIT,
        (Class::Routine, Stage::First) => FIRST_WAIT,
        (Class::Routine, Stage::Later) => queue::ROUTINE_WAIT,
    };
    if wait > allowed {
        return Err(refuse(load, Code::Overloaded, wait.since(allowed), rng));
    }
    Ok(())
}

/// Builds the refusal of a call that was let in and whose time ended in the queue.
pub fn refuse_expired<R: Rng>(load: &Load, rng: &mut R) -> Refusal {
    refuse(load, Code::WaitedTooLong, load.wait(), rng)
}

fn refuse<R: Rng>(load: &Load, code: Code, excess: Millis, rng: &mut R) -> Refusal {
    let detail = format!("{} waiting, {} of this caller's", load.waiting, load.own);
    Refusal::new(code, &detail).retry_after(spread(excess, rng))
}

/// Draws from [`span`, 2 `span`), within [`MIN_RETRY`] and twice [`MAX_RETRY`].
fn spread<R: Rng>(span: Millis, rng: &mut R) -> Millis {
    let span = span.clamp(MIN_RETRY, MAX_RETRY).as_u64();
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

/// The lowest drain rate reckoned with, in calls a second: one call in [`MAX_RETRY`].
const MIN_RATE: f64 = 1.0 / 60.0;

/// The rate at which calls are taken out of the queue.
///
/// Only spells in which something always waited tell how fast the endpoints take work; in others
/// the rate is that of the arrivals, which is a lower bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DrainRate {
    rate: Option<f64>,
    begun: Millis,
    taken: u32,
    ran_dry: bool,
}

/// The spell over which calls are counted. Some seconds of calls are needed for a steady figure;
/// two also cover the lag of the load reports, after which a change at the endpoints shows.
pub const SPELL: Millis = Millis::new(2_000);
/// The weight of the last spell beside the earlier ones: the rate follows a change of the
/// endpoints' number within some three spells.
pub const FRESH: f64 = 0.4;

impl DrainRate {
    /// Yields the rate in calls a second; `None` before the first spell is over.
    #[must_use]
    pub const fn rate(&self) -> Option<f64> {
        self.rate
    }

    /// Counts a call that was taken out, with `left` calls still waiting.
    pub fn count(&mut self, now: Millis, left: usize) {
        self.roll(now);
        self.taken += 1;
        self.ran_dry |= left == 0;
    }

    /// Ends the spell where its time is over; to be called now and then also while nothing is
    /// taken, so that a standstill shows.
    pub fn roll(&mut self, now: Millis) {
        if self.begun == Millis::ZERO {
            self.begun = now;
        }
        let span = now.since(self.begun);
        if span < SPELL {
            return;
        }
        #[expect(clippy::cast_precision_loss, reason = "a spell is a few seconds")]
        let seconds = span.as_u64() as f64 / 1000.0;
        let latest = f64::from(self.taken) / seconds;
        self.rate = Some(match self.rate {
            None => latest,
            Some(rate) if self.ran_dry => rate.max(latest),
            Some(rate) => rate + FRESH * (latest - rate),
        });
        self.begun = now;
        self.taken = 0;
        self.ran_dry = false;
    }
}

#[cfg(test)]
mod tests;
