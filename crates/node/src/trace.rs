//! The latest routing and placement decisions. They tell an operator why a program's calls went to
//! an endpoint, so that nobody has to search the logs of every VM.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::event::Event;
use wire::id;

/// The most decisions that a VM keeps. With details of [`MAX_DETAIL`] bytes they take less than 2
/// MB of the 64 MB allowed for control. At 12 turns per second and VM (4,500 requests over 380
/// VMs), with two decisions each, they cover the last three minutes. Older ones are in the log.
const MAX_DECISIONS: usize = 4_096;

/// The longest detail in bytes. Longer details, of decisions among hundreds of endpoints, are
/// truncated and list only the first candidates.
pub const MAX_DETAIL: usize = 384;

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// When it was made, by the clock of the VM that made it.
    pub at: Millis,
    /// The program that the decision is about.
    pub program: id::Program,
    /// The turn, 0 for a call of a service.
    pub turn: u32,
    /// The number and text of the event.
    pub event: String,
    /// The candidates, the choice and its reason.
    pub detail: String,
}

/// The latest decisions of one VM.
#[derive(Debug, Default)]
pub struct Trace {
    decisions: Mutex<VecDeque<Decision>>,
}

impl Trace {
    /// Writes a decision to the log and keeps it.
    pub fn record(
        &self,
        now: Millis,
        event: Event,
        program: &id::Program,
        turn: u32,
        detail: &str,
    ) {
        log::info!("{event} program={program} turn={turn} {detail}");
        let decision = Decision {
            at: now,
            program: program.clone(),
            turn,
            event: event.to_string(),
            detail: truncate(detail).to_owned(),
        };
        let mut decisions = self.lock();
        if decisions.len() == MAX_DECISIONS {
            decisions.pop_front();
        }
        decisions.push_back(decision);
    }

    /// Returns the kept decisions about a program, earliest first.
    #[must_use]
    pub fn decisions(&self, program: &id::Program) -> Vec<Decision> {
        let decisions = self.lock();
        decisions
            .iter()
            .filter(|d| d.program == *program)
            .cloned()
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, VecDeque<Decision>> {
        self.decisions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Truncates a text to at most [`MAX_DETAIL`] bytes at a character boundary.
fn truncate(text: &str) -> &str {
    if text.len() <= MAX_DETAIL {
        return text;
    }
    let end = (0..=MAX_DETAIL)
        .rev()
        .find(|end| text.is_char_boundary(*end));
    &text[..end.unwrap_or(0)]
}

#[cfg(test)]
mod tests;
