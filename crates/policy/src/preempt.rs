//! Which running call gives its place to an urgent one.
//!
//! Answers an emergency that meets a full house. Without it an urgent call waits for the first
//! routine call to end, many seconds at endpoints with long generations.
//!
//! Only routine calls that can be resumed are displaced, the one first whose return costs the
//! least prefill. A call isn't displaced more than [`MAX_PREEMPTIONS`] times, so a stream of urgent calls
//! can't keep a program from ending, nor when it is about to end anyway.

use wire::clock::Millis;

use crate::class::Class;

/// How often one call is displaced at most.
pub const MAX_PREEMPTIONS: u32 = 2;
/// The shortest rest of a call that is worth displacing. Stopping a call and starting another
/// takes a turn of messages, some 5 ms between the centres, and a step of the batch, some 60 ms at
/// the target's time between tokens; under twice that nothing is won.
pub const MIN_REMAINING: Millis = Millis::new(130);

/// A call that runs at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    /// Its class.
    pub class: Class,
    /// Whether it can be resumed with what it has generated.
    pub resume: Resume,
    /// How long it is expected to run on.
    pub remaining: Millis,
    /// The prefill that its return is expected to cost.
    pub prefill_cost: Millis,
    /// Service that its program has had.
    pub attained: Millis,
    /// How often it was displaced.
    pub preemptions: u32,
}

/// Whether a call can be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// It goes on from what it has generated.
    Possible,
    /// It would start again, or may not be repeated.
    Impossible,
}

/// Chooses the call to displace; `None` where none may be.
#[must_use]
pub fn choose(running: &[Running]) -> Option<usize> {
    let may = running
        .iter()
        .enumerate()
        .filter(|(_, call)| may_be_preempted(call));
    let (index, _) =
        may.min_by_key(|(_, call)| (call.prefill_cost, std::cmp::Reverse(call.attained)))?;
    Some(index)
}

fn may_be_preempted(call: &Running) -> bool {
    call.class == Class::Routine
        && call.resume == Resume::Possible
        && call.preemptions < MAX_PREEMPTIONS
        && call.remaining >= MIN_REMAINING
}

#[cfg(test)]
mod tests;
