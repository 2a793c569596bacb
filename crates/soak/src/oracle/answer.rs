//! Judges what a client got.

use fakes::settings;
use wire::clock::Millis;

use crate::check::Check;
use crate::connection::Answer;
use crate::request;
use crate::request::Kind;

use super::Oracle;

/// How long a new configuration may take to be in force.
const APPLY: Millis = Millis::new(settings::APPLY_MS);

impl Oracle {
    pub(super) fn judge_answer(&mut self, at: usize, answer: &Answer) {
        let attempt = &self.attempts[at];
        let kind = attempt.want.kind;
        let continues = attempt.want.turn.as_ref();
        let continues = continues.is_some_and(|turn| turn.previous.is_some());
        let status = answer.status;
        match status {
            200..=299 => {
                self.counts.served += 1;
                self.judge_whole(at, answer);
            }
            402 => {
                self.counts.spent += 1;
                self.judge_promise(Check::Spent, at, status);
            }
            408 | 421 | 429 | 503 => {
                self.counts.refused += 1;
                if kind.runs_once() {
                    self.judge_promise(Check::Refused, at, status);
                }
            }
            _ => self.counts.failed += 1,
        }
        if continues {
            let what = || format!("status {status} though its previous turn was answered whole");
            self.note(Check::Kept, at, matches!(status, 404 | 410).then(what));
        }
        match kind {
            Kind::Added(_) => {
                let what = "status 404 for a route that was added";
                self.judge_applied(at, (status == 404).then_some(what));
            }
            Kind::Dropped(_) => {
                let what = "served on a route that was dropped";
                self.judge_applied(at, (200..300).contains(&status).then_some(what));
            }
            _ => self.judge_proper(at, answer, continues),
        }
    }

    /// Judges a request that tells which configuration is in force.
    fn judge_applied(&mut self, at: usize, broken: Option<&str>) {
        let sent = self.attempts[at].sent;
        let is_disturbed = self.history.is_disturbed(sent.since(APPLY), self.now());
        let broken = broken.filter(|_| !is_disturbed).map(str::to_owned);
        self.note(Check::Applied, at, broken);
    }

    fn judge_proper(&mut self, at: usize, answer: &Answer, continues: bool) {
        let status = answer.status;
        let is_own = matches!(status, 402 | 408 | 421 | 429);
        let is_kept = continues && matches!(status, 404 | 410);
        let is_whole = self.attempts[at].whole().is_some();
        let is_denied = matches!(status, 300..=499) && is_whole && !is_own && !is_kept;
        let what = || format!("status {status}: {}", answer.body);
        self.note(Check::Proper, at, is_denied.then(what));
    }

    fn judge_promise(&mut self, check: Check, at: usize, status: u16) {
        self.attempts[at].promised = Some(status);
        let has_run = !self.attempts[at].runs.is_empty();
        let what = || format!("status {status} for what had run");
        self.note(check, at, has_run.then(what));
    }

    fn judge_whole(&mut self, at: usize, answer: &Answer) {
        let id = self.attempts[at].id.clone();
        let is_own = answer.info.is_signed && answer.info.id.as_deref() == Some(id.as_str());
        let what = || format!("signed {}, for {:?}", answer.info.is_signed, answer.info.id);
        self.note(Check::Own, at, (!is_own).then(what));
        let want = self.attempts[at].want.clone();
        let body = self.body(at);
        let expected = request::answer(&id, &body, want.events);
        let is_whole = answer.body == expected;
        let what = || format!("looks whole, but is {:?}", answer.body);
        self.note(Check::Order, at, (!is_whole).then(what));
        self.count_tokens(at, answer);
        if want.kind.is_turn() && is_whole {
            let output = request::output(&id, &body, want.events);
            self.attempts[at].text = Some([body.as_ref(), output.as_bytes()].concat().into());
        }
    }

    pub(super) fn judge_part(&mut self, at: usize, answer: &Answer) {
        if !(200..300).contains(&answer.status) {
            return;
        }
        let attempt = &self.attempts[at];
        let expected = request::answer(&attempt.id, &self.body(at), attempt.want.events);
        let is_part = expected.starts_with(&answer.body);
        let what = || format!("is no part of its answer: {:?}", answer.body);
        self.note(Check::Order, at, (!is_part).then(what));
        self.count_tokens(at, answer);
    }

    fn count_tokens(&mut self, at: usize, answer: &Answer) {
        let events = answer.body.matches("\n\n").count() as u64;
        if let Some(turn) = &self.attempts[at].want.turn {
            self.programs[turn.program].got += events * request::EVENT_TOKENS;
        }
    }
}
