//! Checks what a client received.

use fakes::settings;
use wire::clock::Millis;

use crate::check::Check;
use crate::connection::Answer;
use crate::request;
use crate::request::Kind;

use super::Oracle;

/// How long a new configuration may take to be in force on all VMs.
const APPLY_TIME: Millis = Millis::new(settings::APPLY_MS);

impl Oracle {
    pub(super) fn check_answer(&mut self, index: usize, answer: &Answer) {
        let attempt = &self.attempts[index];
        let kind = attempt.spec.kind;
        let continues = attempt.spec.turn.as_ref();
        let continues = continues.is_some_and(|turn| turn.previous.is_some());
        let takes_up = attempt.spec.got.is_some();
        let status = answer.status;
        match status {
            200..=299 => {
                self.counts.served += 1;
                self.counts.taken_up += u64::from(takes_up);
                self.check_complete(index, answer);
            }
            402 => {
                self.counts.spent += 1;
                self.check_refusal(Check::Spent, index, status);
            }
            408 | 421 | 429 | 503 => {
                self.counts.refused += 1;
                self.counts.not_taken_up += u64::from(takes_up);
                if kind.runs_once() {
                    self.check_refusal(Check::Refused, index, status);
                }
            }
            _ => self.counts.failed += 1,
        }
        if continues {
            let what = || format!("status {status} though its previous turn was answered whole");
            self.record(Check::Kept, index, matches!(status, 404 | 410).then(what));
        }
        match kind {
            Kind::Added(_) => {
                let what = "status 404 for a route that was added";
                self.check_applied(index, (status == 404).then_some(what));
            }
            Kind::Dropped(_) => {
                let what = "served on a route that was dropped";
                self.check_applied(index, (200..300).contains(&status).then_some(what));
            }
            _ => self.check_proper(index, answer, continues),
        }
    }

    /// Checks a request whose status shows which configuration is in force.
    fn check_applied(&mut self, index: usize, broken: Option<&str>) {
        let sent = self.attempts[index].sent;
        let is_disturbed = self
            .history
            .is_disturbed(sent.since(APPLY_TIME), self.now());
        let broken = broken.filter(|_| !is_disturbed).map(str::to_owned);
        self.record(Check::Applied, index, broken);
    }

    fn check_proper(&mut self, index: usize, answer: &Answer, continues: bool) {
        let status = answer.status;
        let has_own_check = matches!(status, 402 | 408 | 421 | 429);
        let is_missing_turn = continues && matches!(status, 404 | 410);
        let is_whole = self.attempts[index].body_sent_at().is_some();
        let is_denied =
            matches!(status, 300..=499) && is_whole && !has_own_check && !is_missing_turn;
        let what = || format!("status {status}: {}", answer.body);
        self.record(Check::Proper, index, is_denied.then(what));
    }

    fn check_refusal(&mut self, check: Check, index: usize, status: u16) {
        self.attempts[index].refusal_status = Some(status);
        let has_run = !self.attempts[index].executions.is_empty();
        let what = || format!("status {status} for what had run");
        self.record(check, index, has_run.then(what));
    }

    fn check_complete(&mut self, index: usize, answer: &Answer) {
        let id = self.attempts[index].id.clone();
        let is_own = answer.info.is_signed && answer.info.id.as_deref() == Some(id.as_str());
        let what = || format!("signed {}, for {:?}", answer.info.is_signed, answer.info.id);
        self.record(Check::Own, index, (!is_own).then(what));
        let spec = self.attempts[index].spec.clone();
        let body = self.expected_body(index);
        let expected = request::answer(&id, &body, &spec);
        let is_whole = answer.body == expected;
        let what = || format!("looks whole, but is {:?}", answer.body);
        self.record(Check::Order, index, (!is_whole).then(what));
        self.count_tokens(index, answer);
        if spec.kind.is_turn() && is_whole {
            let output = request::output(&id, &body, &spec);
            self.attempts[index].chain_text =
                Some([body.as_ref(), output.as_bytes()].concat().into());
        }
    }

    pub(super) fn check_partial(&mut self, index: usize, answer: &Answer) {
        if !(200..300).contains(&answer.status) {
            return;
        }
        let attempt = &self.attempts[index];
        let expected = request::answer(&attempt.id, &self.expected_body(index), &attempt.spec);
        let is_part = expected.starts_with(&answer.body);
        let what = || format!("is no part of its answer: {:?}", answer.body);
        self.record(Check::Order, index, (!is_part).then(what));
        self.count_tokens(index, answer);
    }

    fn count_tokens(&mut self, index: usize, answer: &Answer) {
        let events = answer.body.matches("\n\n").count() as u64;
        if let Some(turn) = &self.attempts[index].spec.turn {
            self.programs[turn.program].received += events * request::EVENT_TOKENS;
        }
    }
}
