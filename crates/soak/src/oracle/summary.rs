//! Checks that need the whole run.

use std::sync::PoisonError;

use wire::clock::Millis;

use crate::check::Check;
use crate::request::Kind;

use super::Attempt;
use super::Oracle;
use super::Program;

/// How many connections may close without any disruption in or shortly before the attempt.
pub(super) const MAX_UNDISTURBED_CLOSES: usize = 3;
/// How long an execution may go on after its client has left.
const MAX_EXECUTION_AFTER_DEPARTURE: Millis = Millis::new(500);
/// For checks with a share: at most one attempt in this many may fail.
const MAX_FAILED_DIVISOR: usize = 4;
/// How long after its route's time-out a request may still be held.
const MAX_OVERTIME: Millis = Millis::new(500);

impl Oracle {
    /// Runs the checks that need the whole run.
    pub fn check_whole_run(&mut self) {
        self.check_executions();
        self.check_budgets();
        let undisturbed_closes = std::mem::take(&mut self.undisturbed_closes);
        if undisturbed_closes.len() > MAX_UNDISTURBED_CLOSES {
            for case in undisturbed_closes {
                self.results.record(Check::Calm, Some(case));
            }
        } else {
            self.undisturbed_closes = undisturbed_closes;
        }
        self.check_departed();
        self.check_overlong();
        self.check_quiet_end();
    }

    fn check_budgets(&mut self) {
        for index in 0..self.programs.len() {
            let Program {
                budget,
                max_turn_tokens,
                received,
            } = self.programs[index];
            let what = format!(
                "program p{index}: {received} tokens of {budget}, {max_turn_tokens} at most a turn"
            );
            let broken = (received > budget + max_turn_tokens).then(|| self.case("", "", what));
            self.results.record(Check::Budget, broken);
        }
    }

    /// Checks whether executions end when their clients leave.
    fn check_departed(&mut self) {
        let departed = std::mem::take(&mut self.departed);
        let checked = departed
            .iter()
            .filter_map(|(index, left)| Some((*index, self.ended_after_departure(*index, *left)?)));
        let checked = checked.collect();
        let what = "its run went on after its client had left";
        self.record_share(Check::Gone, checked, what);
    }

    /// Checks whether requests that would take longer than their route allows end at the route's
    /// time-out.
    fn check_overlong(&mut self) {
        let overlong = std::mem::take(&mut self.overlong);
        let undisturbed = overlong.iter().filter(|(index, ended)| {
            let sent = self.attempts[*index].sent;
            !self.history.is_disturbed(sent, *ended)
        });
        let in_time = |(index, ended): &(usize, Millis)| {
            (
                *index,
                *ended <= self.attempts[*index].deadline.plus(MAX_OVERTIME),
            )
        };
        let checked = undisturbed.map(in_time).collect();
        let what = "it was held for longer than its route allows";
        self.record_share(Check::Timely, checked, what);
    }

    /// Records a check that counts as broken only if more than one in [`MAX_FAILED_DIVISOR`] of the
    /// attempts fail it.
    fn record_share(&mut self, check: Check, checked: Vec<(usize, bool)>, what: &str) {
        let failed = checked.iter().filter(|(_, holds)| !holds).count();
        let is_broken = failed * MAX_FAILED_DIVISOR > checked.len();
        for (index, holds) in checked {
            let broken = is_broken && !holds;
            self.record(check, index, broken.then(|| what.to_owned()));
        }
    }

    /// Returns whether an execution ended soon after its client left. Returns `None` if it would
    /// have ended by then anyway, if it never began, or if the attempt was disturbed.
    fn ended_after_departure(&self, index: usize, left: Millis) -> Option<bool> {
        let attempt = &self.attempts[index];
        let soon = left.plus(MAX_EXECUTION_AFTER_DEPARTURE);
        if attempt.spec.kind == Kind::Order || self.history.is_disturbed(attempt.sent, soon) {
            return None;
        }
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = &log[*attempt.executions.last()?];
        let work = Millis::from(attempt.spec.work());
        let own_end = self.since_start(seen.at).plus(work);
        if own_end <= soon {
            return None;
        }
        let ended = seen.ended.map(|ended| self.since_start(ended));
        Some(ended.is_some_and(|ended| ended <= soon))
    }

    /// Checks whether turns are served in the quiet phase at the end.
    fn check_quiet_end(&mut self) {
        let quiet = self.history.quiet_from();
        let served = |attempt: &&Attempt| attempt.chain_text.is_some();
        let late: Vec<&Attempt> = self
            .attempts
            .iter()
            .filter(|attempt| attempt.sent >= quiet && attempt.spec.turn.is_some())
            .collect();
        if !late.is_empty() {
            let whole = late.iter().copied().filter(served).count();
            let what = format!("{whole} of {} turns served", late.len());
            let broken = (whole * 4 < late.len()).then(|| self.case("", "", what));
            self.results.record(Check::Served, broken);
        }
    }
}
