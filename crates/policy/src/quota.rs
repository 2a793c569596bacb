//! Decides whether a request is within the limit that its workspace has over all VMs.
//!
//! The load: one caller sends several times its usual requests, at all VMs, unevenly. Without a
//! common count, each VM would either allow the whole limit, and the sum would be many times of it,
//! or a fixed share, and a workspace whose callers reach a few VMs would be refused far below its
//! limit. So each VM counts what it admitted in the last window, and is told the others' counts.
//!
//! What bounds the sum where counts are missing:
//! - VMs that don't hear all others admit together no more than their part of what was left of the limit
//!   when they last heard all ([`Contact::Partial`]). What they had admitted by then leaves the window,
//!   at them and at the others.
//! - A VM that has heard no other one since its start, or may learn of more, admits nothing
//!   ([`Contact::None`]).
//! - VMs that have all just started know nothing of the window before. They presume that a workspace
//!   whose callers send more than its limit now had done so before ([`presumed`]).
//! - What is told is some hundred milliseconds old. Once the other VMs get more requests in that time
//!   than are left of the limit, each VM admits only so large a part of its requests that all together
//!   admit what is left ([`Demand`]).
//!
//! A program earns nothing unless all of its requests are served, so each one that is begun and not
//! finished uses up requests of the limit for nothing. Served in the order of their arrival, callers
//! that begin four times as many programs as the limit holds see nearly all of them fail. So once
//! the limit was reached, a program may begin only if the limit also holds what the programs under way
//! are still expected to ask ([`programs`]). Below the limit nothing is kept back: a workspace of few
//! requests comes near its limit by chance, and would be refused for nothing.

use std::fmt;

use wire::clock::Millis;

use crate::quota::slots::Slots;

pub mod programs;
pub mod slots;

/// How much of the limit the requests of a window and those that are still expected may take up for
/// a program to begin, as a percentage. Some of what is expected comes when the earliest requests have
/// fallen out of the window.
const OPENING_PERCENT: u64 = 105;
/// The part of the limit up to which a program may begin whatever it is expected to ask, as one over
/// this number. A limit may be smaller than a program, which lasts longer than a window then.
const ALWAYS_OPEN_DIVISOR: u64 = 2;
/// Requests that VMs admit in spite of what they presume after their start. A workspace whose limit is a few
/// requests would otherwise be refused after each restart of all processes.
const START_ALLOWANCE: u64 = 8;
/// Thousandths of a whole.
pub const PER_MILLE: u64 = 1_000;
/// The shortest time after which a refused request may be repeated. In less, hardly any of a
/// workspace's requests fall out of the window.
const MIN_RETRY: Millis = Millis::new(200);
/// The longest one: as long as a caller with a deadline of three seconds waits at most.
const MAX_RETRY: Millis = Millis::new(1_000);

/// Counts events of the last window.
#[derive(Clone, Debug)]
pub struct Window {
    span: Millis,
    slots: Slots,
}

impl Window {
    /// Creates an empty window that spans `span`.
    #[must_use]
    pub fn new(span: Millis) -> Self {
        Self {
            span: slots::span(span),
            slots: Slots::default(),
        }
    }

    fn advance(&mut self, now: Millis) -> u64 {
        let number = slots::number(now, self.span);
        self.slots.advance(number);
        number
    }

    /// Adds an event.
    pub fn add(&mut self, now: Millis) {
        let number = self.advance(now);
        self.slots.add(number, 1);
    }

    /// Returns the number of events of the last window, and of at most one slot before it.
    pub fn count(&mut self, now: Millis) -> u32 {
        self.advance(now);
        self.slots.sum()
    }
}

/// The place of a request in its program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The program begins with it, as far as the VM knows, and is expected to make this many requests
    /// altogether.
    Opens(u32),
    /// The program has begun.
    Continues,
}

/// Whether a VM hears the other VMs, itself or through others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// It hears all, or is the only one.
    Kept,
    /// It hears some, or none any more.
    Partial {
        /// The requests of the window that all VMs had admitted when it last heard all.
        then: u32,
        /// The VMs that hear each other, this one included.
        heard: u32,
        /// All VMs.
        vms: u32,
    },
    /// It hears none, or learns of one after the other, and never heard all. So it doesn't know how many
    /// there are, and nobody told it what was sent before its start.
    None,
}

/// Whether a workspace asks for more than its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pressure {
    /// It was not refused lately.
    Low,
    /// It was.
    High,
}

/// For how long after a refusal the pressure counts as high: programs that began before have mostly
/// ended then.
#[must_use]
pub const fn pressure_span(window: Millis) -> Millis {
    Millis::new(window.as_u64() * 2)
}

/// How many requests a workspace sends, admitted or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Demand {
    /// Those that this VM got in the last second.
    pub own: u32,
    /// Those that the other VMs got.
    pub others: u32,
    /// How long it takes until all VMs know of a request.
    pub lag: Millis,
}

impl Demand {
    /// Returns how many requests all VMs got in the last second.
    fn asked(&self) -> u64 {
        u64::from(self.own) + u64::from(self.others)
    }

    /// Returns how many requests all VMs get before they know of each other's.
    fn unknown(&self) -> u64 {
        self.asked() * self.lag.as_u64() / 1_000
    }

    /// Returns how many the other VMs get before this one knows.
    fn unknown_of_others(&self) -> u64 {
        u64::from(self.others) * self.lag.as_u64() / 1_000
    }

    /// Returns the part of the requests that all VMs may admit if `left` more are allowed, in
    /// thousandths.
    fn admitted_per_mille(&self, left: u64) -> u64 {
        if left > self.unknown_of_others() {
            return PER_MILLE;
        }
        left * PER_MILLE / self.unknown().max(1)
    }
}

/// A workspace's requests in the last window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// Those that this VM admitted.
    pub own: u32,
    /// Those that other VMs admitted, as last told.
    pub others: u32,
    /// Those that programs under way at all VMs are still expected to make.
    pub pending: u32,
    /// How many are sent.
    pub demand: Demand,
    /// Whether the limit was reached lately.
    pub pressure: Pressure,
    /// Whether the other VMs' counts are still told.
    pub contact: Contact,
    /// For how long the VMs together have counted, up to the window.
    pub counted_for: Millis,
}

impl fmt::Display for Usage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { own, others, .. } = self;
        let counted_for = self.counted_for.as_u64();
        let asked = self.demand.asked();
        write!(
            f,
            "own:{own},others:{others},counted_ms:{counted_for},asked_per_s:{asked}"
        )?;
        match self.contact {
            Contact::Kept => write!(f, ",contact:kept"),
            Contact::Partial { then, heard, vms } => {
                write!(f, ",contact:partial,then:{then},heard:{heard},vms:{vms}")
            }
            Contact::None => write!(f, ",contact:none"),
        }
    }
}

/// What is decided of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is within the limit.
    Admit,
    /// It is over the limit; it may be repeated after the span.
    OverLimit(Millis),
    /// It is over what the VM may admit while it hears no other one.
    OverShare(Millis),
}

/// A limit of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// Thousandths of a request per second.
    pub milli_per_second: u64,
    /// Requests on top of that.
    pub burst: u64,
    /// The span in which requests are counted.
    pub window: Millis,
}

impl Limit {
    /// Returns how many requests are allowed in a window.
    #[must_use]
    pub const fn allowance(&self) -> u64 {
        self.milli_per_second * self.window.as_u64() / 1_000_000 + self.burst
    }
}

/// Returns the requests that are presumed of the time before the VMs began to count: a workspace whose
/// callers send more than its limit now did so before. Nothing is presumed of others, whose callers
/// come back with what they could not send meanwhile.
#[must_use]
pub fn presumed(limit: &Limit, demand: Demand, counted_for: Millis) -> u64 {
    if counted_for >= limit.window {
        return 0;
    }
    let allowance = limit.allowance();
    let in_window = demand.asked() * limit.window.as_u64() / 1_000;
    let presumed = in_window.saturating_sub(allowance).min(allowance);
    presumed.saturating_sub(START_ALLOWANCE)
}

/// Random numbers below [`PER_MILLE`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Draws {
    /// Drawn for each request.
    pub request: u64,
    /// Drawn for a VM and workspace.
    pub lot: u64,
}

/// Decides whether a request is admitted.
#[must_use]
pub fn decide(limit: &Limit, usage: Usage, step: Step, draws: Draws) -> Verdict {
    let window = limit.window;
    let (bound, is_share) = match usage.contact {
        Contact::Kept => (limit.allowance(), false),
        Contact::Partial { then, heard, vms } => {
            let bound = share(limit.allowance(), then, heard, vms, draws.lot);
            (bound, true)
        }
        // A caller that comes back earlier uses up the few attempts that it has.
        Contact::None => return Verdict::OverShare(MAX_RETRY),
    };
    let presumed = presumed(limit, usage.demand, usage.counted_for);
    let used = u64::from(usage.own) + u64::from(usage.others) + presumed;
    let left = bound.saturating_sub(used);
    let is_drawn = draws.request < usage.demand.admitted_per_mille(left);
    let is_within = match step {
        Step::Continues => is_drawn,
        Step::Opens(requests) => {
            let expected = used + u64::from(usage.pending);
            let always = bound.div_ceil(ALWAYS_OPEN_DIVISOR);
            let fits = expected + u64::from(requests) <= bound * OPENING_PERCENT / 100;
            is_drawn && (usage.pressure == Pressure::Low || fits || expected < always)
        }
    };
    if is_within {
        return Verdict::Admit;
    }
    let wait = retry_after(used, bound, window);
    if is_share {
        Verdict::OverShare(wait)
    } else {
        Verdict::OverLimit(wait)
    }
}

/// Returns how many requests VMs that hear each other, but not all, may have admitted together with what
/// all had admitted `then`: their part of what was left. A single VM's part of a small limit is less than a
/// request; `lot` says whether it gets one, so that not all VMs do.
fn share(allowance: u64, then: u32, heard: u32, vms: u32, lot: u64) -> u64 {
    let then = u64::from(then).min(allowance);
    let vms = u64::from(vms.max(1));
    let parts = (allowance - then) * u64::from(heard);
    let is_drawn = heard == 1 && lot < parts % vms * PER_MILLE / vms;
    then + parts / vms + u64::from(is_drawn)
}

/// Returns when the count is expected to have fallen below the bound: the requests of a window fall
/// out of it about as evenly as they came.
fn retry_after(used: u64, bound: u64, window: Millis) -> Millis {
    let excess = used.saturating_sub(bound) + 1;
    let wait = excess * window.as_u64() / used.max(1);
    Millis::new(wait).max(MIN_RETRY).min(MAX_RETRY)
}

#[cfg(test)]
mod tests;
