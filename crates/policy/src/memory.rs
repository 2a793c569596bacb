//! Bounds the bytes that a VM holds for requests under way, by a budget.
//!
//! A request claims bytes at most twice: on its arrival, for its body, and before it goes to a runner, for
//! the history of a turn or the answer of a call. Who doesn't get bytes waits in order, and is refused
//! if bytes can't be expected before its deadline.
//!
//! Claims on arrival get at most half of the budget, and those before work go first and wait for none of
//! the former. Whoever holds bytes for work claims no more, so it ends without anyone else's, and all
//! claims are met in the end: nobody waits in a circle. What turns out to be longer while it is read, as a
//! history, gets the bytes that are free beside its claim; if they don't do, its reader gives all of its bytes
//! back before it claims more. Bytes that can't be refused, as of an answer that
//! has come, are granted always, and keep others waiting until the budget is met again.
//!
//! An answer that is still being read may grow beyond what was claimed for it, as its peer may send without
//! end. It grows into bytes that nobody has claimed, and has to give them back: if a claim or another
//! answer needs them, the answer that has grown most is displaced. Its reader breaks it off.

use std::error::Error;
use std::fmt;

use wire::clock::Millis;

use crate::decay;

/// Half-life of the weight of bytes that were given back: some requests' time.
const HALF_LIFE: Millis = Millis::new(4_000);
/// By how much an estimate falls with each smaller size, as one over this number.
const FALL_DIVISOR: u64 = 8;

/// The step before which a request claims bytes, the first to be served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Step {
    /// It goes to a runner.
    Work,
    /// Its body is read.
    Arrival,
}

/// A claim of bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Claim {
    /// What the bytes are for.
    pub step: Step,
    /// The rank of the request, 0 being the most urgent.
    pub rank: u8,
    /// How many bytes.
    pub bytes: u64,
    /// Until when the request waits for them.
    pub deadline: Millis,
}

/// Identifies a claim that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(u64);

/// The decision on a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The bytes are held from now on.
    Granted,
    /// The claim waits.
    Waits(Ticket),
    /// The claim is refused.
    Refused(Reason),
}

/// Why a claim is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// It is over what any claim may have; holds that limit.
    TooLarge(u64),
    /// The bytes can't be expected before the deadline; holds when they can.
    TooLate(Millis),
}

/// A claim that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Waiter {
    step: Step,
    rank: u8,
    ticket: Ticket,
    bytes: u64,
}

impl Waiter {
    const fn place(&self) -> (Step, u8, Ticket) {
        (self.step, self.rank, self.ticket)
    }
}

/// An answer that may grow beyond what was claimed for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Growth {
    ticket: Ticket,
    bytes: u64,
}

/// There are no bytes for an answer to grow: it was displaced, or none has grown more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Displaced;

impl fmt::Display for Displaced {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the answer grew, and the VM's memory for requests was used up")
    }
}

impl Error for Displaced {}

/// The bytes of a VM for requests under way.
#[derive(Debug, Default)]
pub struct Budget {
    total: u64,
    for_work: u64,
    for_arrival: u64,
    grown: u64,
    /// Sorted by ticket.
    growing: Vec<Growth>,
    /// The answers that were displaced since [`Self::take_displaced`].
    displaced: Vec<Ticket>,
    /// Sorted by step, rank and ticket.
    waiters: Vec<Waiter>,
    last: u64,
    drain: Drain,
}

/// How long bytes were held that were given back lately.
#[derive(Debug, Default)]
struct Drain {
    byte_ms: f64,
    bytes: f64,
    updated: Millis,
}

#[expect(clippy::cast_precision_loss, reason = "sizes are far below 2^52")]
impl Drain {
    fn note(&mut self, bytes: u64, held_for: Millis, now: Millis) {
        let factor = decay::remaining_weight(now.since(self.updated), HALF_LIFE);
        self.byte_ms = self.byte_ms * factor + bytes as f64 * held_for.as_u64() as f64;
        self.bytes = self.bytes * factor + bytes as f64;
        self.updated = now;
    }

    /// Returns how long it takes until `needed` of `held` bytes are given back; `None` if none were yet.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the span is positive and saturates"
    )]
    fn span(&self, needed: u64, held: u64) -> Option<Millis> {
        let mean = (self.bytes > 0.0).then(|| self.byte_ms / self.bytes)?;
        Some(Millis::new(
            (mean * needed as f64 / held.max(1) as f64) as u64,
        ))
    }
}

impl Budget {
    /// Creates a budget of `total` bytes, none of which are held.
    #[must_use]
    pub fn new(total: u64) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Returns the bytes that there are, be they held or not.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.total
    }

    /// Returns the most bytes that a claim may have.
    #[must_use]
    pub const fn limit(&self) -> u64 {
        self.total / 2
    }

    /// Returns the bytes that are held.
    #[must_use]
    pub const fn held(&self) -> u64 {
        self.claimed() + self.grown
    }

    /// Returns the bytes that are held and that nothing else can get.
    const fn claimed(&self) -> u64 {
        self.for_work + self.for_arrival
    }

    /// Returns whether all bytes are held, or more, that nothing else can get.
    #[must_use]
    pub const fn is_full(&self) -> bool {
        self.claimed() >= self.total
    }

    /// Returns how many claims wait.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiters.len()
    }

    /// Decides on a claim.
    pub fn claim(&mut self, claim: &Claim, now: Millis) -> Verdict {
        if claim.bytes > self.limit() {
            return Verdict::Refused(Reason::TooLarge(self.limit()));
        }
        self.last += 1;
        let waiter = Waiter {
            step: claim.step,
            rank: claim.rank,
            ticket: Ticket(self.last),
            bytes: claim.bytes,
        };
        let found = self
            .waiters
            .binary_search_by_key(&waiter.place(), Waiter::place);
        let at = found.unwrap_or_else(|at| at);
        if at == 0 && self.fits(&waiter) {
            self.hold(claim.step, claim.bytes);
            return Verdict::Granted;
        }
        let ahead: u64 = self.waiters[..at].iter().map(|waiter| waiter.bytes).sum();
        let needed = (self.claimed() + ahead + claim.bytes).saturating_sub(self.total);
        let span = self.drain.span(needed, self.claimed()).unwrap_or_default();
        if now.plus(span) > claim.deadline {
            return Verdict::Refused(Reason::TooLate(span));
        }
        self.waiters.insert(at, waiter);
        Verdict::Waits(waiter.ticket)
    }

    /// Holds bytes that can't be refused. Displaces answers that have grown into them.
    pub fn hold(&mut self, step: Step, bytes: u64) {
        *self.share(step) += bytes;
        while self.held() > self.total {
            let Some(most) = self.most_grown() else {
                return;
            };
            self.displace(most);
        }
    }

    /// Holds more bytes beside a claim that was granted, and returns whether they are free. Claims that wait don't
    /// come first: they are met when those who hold bytes have ended.
    #[must_use]
    pub fn extend(&mut self, step: Step, bytes: u64) -> bool {
        let fits = self.claimed() + bytes <= self.total;
        if fits {
            self.hold(step, bytes);
        }
        fits
    }

    /// Gives bytes back that were held for some time.
    pub fn release(&mut self, step: Step, bytes: u64, held_for: Millis, now: Millis) {
        let share = self.share(step);
        *share = share.saturating_sub(bytes);
        self.drain.note(bytes, held_for, now);
    }

    /// Grants the first claim that waits if its bytes are free. To be called after a release or
    /// [`Self::leave`] until it returns `None`.
    pub fn grant_next(&mut self) -> Option<Ticket> {
        let first = *self.waiters.first()?;
        if !self.fits(&first) {
            return None;
        }
        self.waiters.remove(0);
        self.hold(first.step, first.bytes);
        Some(first.ticket)
    }

    /// Begins to count an answer that has not grown yet.
    pub fn begin_growth(&mut self) -> Ticket {
        self.last += 1;
        let ticket = Ticket(self.last);
        self.growing.push(Growth { ticket, bytes: 0 });
        ticket
    }

    /// Corrects by how many bytes an answer has grown. Displaces others that have grown more if need be.
    ///
    /// # Errors
    ///
    /// Fails if the answer was displaced, or is displaced as none has grown more.
    pub fn grow(&mut self, ticket: Ticket, bytes: u64) -> Result<(), Displaced> {
        let at = self.find_growing(ticket).map_err(|_| Displaced)?;
        let before = self.growing[at].bytes;
        self.growing[at].bytes = bytes;
        self.grown = self.grown - before + bytes;
        if bytes <= before {
            return Ok(());
        }
        while self.held() > self.total {
            // Among equals the one that asks for more gives way.
            match self.most_grown() {
                Some(most) if self.growing[most].bytes > bytes => self.displace(most),
                _ => {
                    self.end_growth(ticket);
                    return Err(Displaced);
                }
            }
        }
        Ok(())
    }

    /// Gives back what an answer had grown by, as it is whole or its reader has left.
    pub fn end_growth(&mut self, ticket: Ticket) {
        if let Ok(at) = self.find_growing(ticket) {
            self.grown -= self.growing.remove(at).bytes;
        }
    }

    /// Takes the answers that were displaced since the last time.
    pub fn take_displaced(&mut self) -> Vec<Ticket> {
        std::mem::take(&mut self.displaced)
    }

    /// Takes back a claim that waits.
    pub fn leave(&mut self, ticket: Ticket) {
        self.waiters.retain(|waiter| waiter.ticket != ticket);
    }

    fn fits(&self, waiter: &Waiter) -> bool {
        let share_fits = match waiter.step {
            Step::Work => true,
            Step::Arrival => self.for_arrival + waiter.bytes <= self.limit(),
        };
        share_fits && self.claimed() + waiter.bytes <= self.total
    }

    /// Returns which answer has grown most; `None` if none has grown.
    fn most_grown(&self) -> Option<usize> {
        let grown = self.growing.iter().enumerate();
        let grown = grown.filter(|(_, growth)| growth.bytes > 0);
        let most = grown.max_by_key(|(_, growth)| growth.bytes)?;
        Some(most.0)
    }

    fn displace(&mut self, at: usize) {
        let growth = self.growing.remove(at);
        self.grown -= growth.bytes;
        self.displaced.push(growth.ticket);
    }

    fn find_growing(&self, ticket: Ticket) -> Result<usize, usize> {
        self.growing
            .binary_search_by_key(&ticket, |growth| growth.ticket)
    }

    const fn share(&mut self, step: Step) -> &mut u64 {
        match step {
            Step::Work => &mut self.for_work,
            Step::Arrival => &mut self.for_arrival,
        }
    }
}

/// What something of unknown size takes, by the sizes before it: the largest of the last ones.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Estimate(Option<u64>);

impl Estimate {
    /// Returns the bytes to expect, or `default` before the first size.
    #[must_use]
    pub fn bytes(self, default: u64) -> u64 {
        self.0.unwrap_or(default)
    }

    /// Records a size.
    pub fn note(&mut self, bytes: u64) {
        let fallen = self.0.map_or(0, |known| known - known / FALL_DIVISOR);
        self.0 = Some(bytes.max(fallen));
    }
}

#[cfg(test)]
mod tests;
