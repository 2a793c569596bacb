//! What only the whole run tells.

use std::sync::PoisonError;

use wire::clock::Millis;

use crate::check::Check;
use crate::request::Kind;

use super::Attempt;
use super::Oracle;
use super::Program;

/// The closed connections without any fault near that are borne.
pub(super) const CALM_MOST: usize = 3;
/// How soon after its client has left a run has to end.
const HEARD: Millis = Millis::new(500);
/// The share of what is judged in sum that may not hold, as a divisor.
const SHARE: usize = 4;
/// How long after its route's time a request may be held.
const HELD: Millis = Millis::new(500);

impl Oracle {
    /// Judges what only the whole run tells.
    pub fn end(&mut self) {
        self.judge_runs();
        self.judge_budgets();
        let calm = std::mem::take(&mut self.calm);
        if calm.len() > CALM_MOST {
            for case in calm {
                self.book.note(Check::Calm, Some(case));
            }
        } else {
            self.calm = calm;
        }
        self.judge_left();
        self.judge_over();
        self.judge_quiet();
    }

    fn judge_budgets(&mut self) {
        for at in 0..self.programs.len() {
            let Program { budget, most, got } = self.programs[at];
            let what = format!("program p{at}: {got} tokens of {budget}, {most} at most a turn");
            let broken = (got > budget + most).then(|| self.case("", "", what));
            self.book.note(Check::Budget, broken);
        }
    }

    /// Judges whether runners heard of clients that left.
    fn judge_left(&mut self) {
        let left = std::mem::take(&mut self.left);
        let judged = left
            .iter()
            .filter_map(|(at, left)| Some((*at, self.heard(*at, *left)?)));
        let judged = judged.collect();
        let what = "its run went on after its client had left";
        self.judge_share(Check::Gone, judged, what);
    }

    /// Judges whether requests that take longer than their routes allow end then.
    fn judge_over(&mut self) {
        let over = std::mem::take(&mut self.over);
        let calm = over.iter().filter(|(at, ended)| {
            let sent = self.attempts[*at].sent;
            !self.history.is_disturbed(sent, *ended)
        });
        let in_time =
            |(at, ended): &(usize, Millis)| (*at, *ended <= self.attempts[*at].until.plus(HELD));
        let judged = calm.map(in_time).collect();
        let what = "it was held for longer than its route allows";
        self.judge_share(Check::Timely, judged, what);
    }

    /// Notes a check that holds where it does for all but a share of the attempts.
    fn judge_share(&mut self, check: Check, judged: Vec<(usize, bool)>, what: &str) {
        let failed = judged.iter().filter(|(_, holds)| !holds).count();
        let is_broken = failed * SHARE > judged.len();
        for (at, holds) in judged {
            let broken = is_broken && !holds;
            self.note(check, at, broken.then(|| what.to_owned()));
        }
    }

    /// Tells whether a run ended soon after its client left; `None` where it would have anyway,
    /// didn't begin, or something was disturbed.
    fn heard(&self, at: usize, left: Millis) -> Option<bool> {
        let attempt = &self.attempts[at];
        let soon = left.plus(HEARD);
        if attempt.want.kind == Kind::Order || self.history.is_disturbed(attempt.sent, soon) {
            return None;
        }
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let seen = &log[*attempt.runs.last()?];
        let work = Millis::from(attempt.want.work());
        let own_end = self.since_start(seen.at).plus(work);
        if own_end <= soon {
            return None;
        }
        let ended = seen.ended.map(|ended| self.since_start(ended));
        Some(ended.is_some_and(|ended| ended <= soon))
    }

    /// Judges whether turns are served once nothing is disturbed any more.
    fn judge_quiet(&mut self) {
        let quiet = self.history.quiet_from();
        let served = |attempt: &&Attempt| attempt.text.is_some();
        let late: Vec<&Attempt> = self
            .attempts
            .iter()
            .filter(|attempt| attempt.sent >= quiet && attempt.want.turn.is_some())
            .collect();
        if !late.is_empty() {
            let whole = late.iter().copied().filter(served).count();
            let what = format!("{whole} of {} turns served", late.len());
            let broken = (whole * 4 < late.len()).then(|| self.case("", "", what));
            self.book.note(Check::Served, broken);
        }
    }
}
