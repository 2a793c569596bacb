//! Notices turns that are refused for their records although the checks find enough members.
//!
//! Members may catch up anew within each second, or answer checks while their disks fail: no check tells then that
//! turns are refused.

use replica::client::Fault;
use wire::clock::Millis;
use wire::event::Event;

use crate::node::Node;

/// For how long turns are refused before that is logged: longer than checks take to log that members are behind.
const LOG_AFTER: Millis = Millis::new(2_000);
/// The time without a refused turn after which no more are expected. Callers come back sooner.
const OVER_AFTER: Millis = Millis::new(1_500);

/// Whether another line tells why turns are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The check that found it has logged it.
    Logged,
    /// Nothing but the refusals tells of it.
    Unlogged,
}

/// The refusals of a period in which turns are refused.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// When the first turn was refused; `None` outside such a period.
    since: Option<Millis>,
    /// When the last turn was refused.
    last: Millis,
    turns: u64,
    logged: bool,
}

/// A period that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ended {
    /// How many turns were refused.
    pub turns: u64,
    /// The time from the first refusal to the last.
    pub span: Millis,
}

impl Refusals {
    /// Records a refused turn. Returns whether the period has to be logged; `true` only once.
    pub fn note(&mut self, reason: Reason, now: Millis) -> bool {
        if self.is_over(now) && !self.logged {
            *self = Self::default();
        }
        let since = *self.since.get_or_insert(now);
        self.last = now;
        self.turns += 1;
        let is_due = reason == Reason::Unlogged && !self.logged && now.since(since) >= LOG_AFTER;
        self.logged |= is_due;
        is_due
    }

    /// Ends a period that is over. Returns it if it was logged.
    pub fn end(&mut self, now: Millis) -> Option<Ended> {
        if !self.is_over(now) {
            return None;
        }
        let ended = std::mem::take(self);
        let since = ended.since.filter(|_| ended.logged)?;
        Some(Ended {
            turns: ended.turns,
            span: ended.last.since(since),
        })
    }

    fn is_over(&self, now: Millis) -> bool {
        self.since.is_some() && now.since(self.last) >= OVER_AFTER
    }
}

/// Records that a turn is refused, and logs it if that goes on and nothing else tells of it.
pub fn note(node: &Node, fault: &Fault, now: Millis) {
    let (is_due, seen) = {
        let mut health = node.member_health();
        let reason = if health.behind_logged || !health.serves_turns() {
            Reason::Logged
        } else {
            Reason::Unlogged
        };
        let is_due = health.refusals.note(reason, now);
        (is_due, health.seen())
    };
    if is_due {
        log::warn!(
            "event=E{} text=\"{}\" {} why=\"{fault}\"",
            Event::TurnsRefused.number(),
            Event::TurnsRefused.text(),
            seen.fields()
        );
    }
}

/// Logs that no more turns are refused.
pub fn log_end(node: &Node, now: Millis) {
    let ended = node.member_health().refusals.end(now);
    if let Some(ended) = ended {
        log::warn!(
            "event=E{} text=\"{}\" turns={} ms={}",
            Event::TurnsServed.number(),
            Event::TurnsServed.text(),
            ended.turns,
            ended.span.as_u64()
        );
    }
}

#[cfg(test)]
mod tests;
