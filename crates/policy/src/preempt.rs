//! Chooses the running call that an urgent one preempts.
//!
//! Without preemption, an urgent call that finds all slots taken waits for the first routine call
//! to end, which takes many seconds at endpoints with long generations.
//!
//! Only resumable routine calls are preempted, first the one whose resumption costs the least
//! prefill. A call is preempted at most [`MAX_PREEMPTIONS`] times, so that a stream of urgent calls
//! can't keep a program from ending, and not at all if it is about to end.

use wire::clock::Millis;

use crate::class::Class;

/// How often one call may be preempted.
pub const MAX_PREEMPTIONS: u32 = 2;
/// Shortest expected remaining time of a call that is worth preempting. Stopping a call and
/// starting another takes an exchange of messages (about 5 ms between the centres) and a step of
/// the batch (about 60 ms at the target time between tokens); below twice that, preemption gains
/// nothing.
pub const MIN_REMAINING: Millis = Millis::new(130);

/// A call that is running at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    /// Its class.
    pub class: Class,
    /// Whether the call can continue from what it has generated.
    pub resume: Resume,
    /// Expected remaining time.
    pub remaining: Millis,
    /// Expected prefill time when the call resumes.
    pub prefill_cost: Millis,
    /// Service that its program has received.
    pub attained: Millis,
    /// How often it was preempted.
    pub preemptions: u32,
}

/// Whether a call can be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Resume {
    /// It continues from what it has generated.
    Possible,
    /// It would have to start again, or must not be repeated.
    Impossible,
}

/// Returns the index of the call to preempt, or `None` if no call may be preempted.
#[must_use]
pub fn choose(running: &[Running]) -> Option<usize> {
    let eligible = running
        .iter()
        .enumerate()
        .filter(|(_, call)| may_be_preempted(call));
    let (index, _) =
        eligible.min_by_key(|(_, call)| (call.prefill_cost, std::cmp::Reverse(call.attained)))?;
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
