//! What the end of a stream says about its runner.

use tokio::time::Instant;
use wire::clock::Millis;

use super::End;
use super::State;
use crate::job::Attempt;
use crate::job::Job;

/// Records how fast the runner was.
///
/// The pace is measured from the runner's first event on. Otherwise the wait for a slot and the
/// reading of the prompt would make a runner that only got long prompts look slow.
pub(super) fn record(job: &Job, attempt: &Attempt, state: &State, events_before: u64, end: &End) {
    let events = state.events - events_before;
    let now = job.node.clock.now();
    let mut fleet = job.node.fleet();
    let Some(runner) = fleet.runner(&attempt.runner.id) else {
        return;
    };
    match end {
        End::Broken(_) | End::Displaced => runner.note_failed(now),
        // An engine sends an event whole; its end doesn't take until the deadline.
        End::TimedOut if state.reader.has_partial_event() => runner.note_failed(now),
        End::Complete if events > 1 => {
            let engine = job.table.engine(&job.service);
            let tokens = engine.map_or(1, |engine| engine.event_tokens) * (events - 1);
            let first_event_at = state.first_event_at.unwrap_or_else(Instant::now);
            let span = attempt.usual_span(Millis::from(first_event_at.elapsed()));
            runner.note_success(tokens, span, now);
        }
        End::Complete | End::CallerGone | End::TimedOut => {}
    }
}
