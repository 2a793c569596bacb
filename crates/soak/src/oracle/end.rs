//! Checks whether an attempt was allowed to end as it did.

use std::sync::PoisonError;

use fakes::runner;
use wire::clock::Millis;

use crate::check::Check;

use super::Attempt;
use super::Oracle;

/// If a connection closes within this time after the request was sent, the VM may not have read it.
const MAX_UNREAD_TIME: Millis = Millis::new(200);
/// A request that ends this close to its deadline counts as ended by the deadline.
const DEADLINE_TOLERANCE: Millis = Millis::new(50);

impl Oracle {
    /// Checks whether a VM may end an attempt in this way; `broken` says what the client saw.
    pub(super) fn check_end(&mut self, index: usize, ended: Millis, broken: Option<&str>) {
        let attempt = &self.attempts[index];
        if self.history.is_disturbed(attempt.sent, ended) {
            return;
        }
        let Some(body_sent) = attempt.body_sent_at() else {
            return;
        };
        let planned_since = self.history.planned_work(attempt.vm, attempt.sent, ended);
        let has_run = !attempt.executions.is_empty();
        let was_read = has_run || ended.since(body_sent) > MAX_UNREAD_TIME;
        let is_late = ended.plus(DEADLINE_TOLERANCE) >= attempt.deadline;
        let broken = broken.filter(|_| was_read && !is_late && !self.is_excused(attempt, ended));
        let describe = |what: &str| {
            let span = ended.since(attempt.sent).as_u64();
            let run = if has_run { "ran" } else { "not run" };
            let Some(signal) = planned_since else {
                return format!("{what} after {span} ms; {run}");
            };
            let since = attempt.sent.since(signal).as_u64();
            format!("{what} after {span} ms; sent {since} ms after the signal; {run}")
        };
        let broken = broken.map(describe);
        if planned_since.is_some() {
            self.record(Check::Lost, index, broken);
            return;
        }
        if let Some(what) = broken {
            let vm = &self.vms[attempt.vm];
            self.undisturbed_closes
                .push(self.case(&attempt.id, vm, what));
        } else {
            self.record(Check::Calm, index, None);
        }
    }

    /// Returns whether the attempt's answer may be cut off: because its runner was set to fail, or
    /// because the request was sent soon after SIGTERM and its runner was still working on it when
    /// the VM's process had to end.
    fn is_excused(&self, attempt: &Attempt, ended: Millis) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        attempt.executions.iter().any(|execution| {
            let seen = &log[*execution];
            let ended = seen.ended.map_or(ended, |at| self.since_start(at));
            seen.mode != runner::Mode::Normal
                || self
                    .history
                    .is_cut_by_grace(attempt.vm, attempt.sent, ended)
        })
    }
}
