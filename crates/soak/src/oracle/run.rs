//! Judges what a runner ran.

use std::sync::PoisonError;

use fakes::runner::Seen;
use wire::clock::Millis;

use crate::check::Check;

use super::Oracle;

/// How long after it says that it leaves a runner may still get requests.
const DRAIN: Millis = Millis::new(2_000);

impl Oracle {
    pub(super) fn judge_runs(&mut self) {
        let fresh: Vec<Seen> = {
            let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            log[self.judged..].to_vec()
        };
        for seen in fresh {
            let place = self.judged;
            self.judged += 1;
            self.judge_run(place, &seen);
        }
    }

    fn judge_run(&mut self, place: usize, seen: &Seen) {
        let Some(at) = self.find(&seen.id) else {
            let case = self.case(&seen.id, "", "no client sent this id".to_owned());
            self.book.note(Check::Asked, Some(case));
            return;
        };
        let want = self.attempts[at].want.clone();
        let came = self.since_start(seen.at);
        let expected = self.body(at);
        let is_same = seen.path == want.path() && seen.body.ends_with(&want.input);
        let what = || format!("{} got path {} or another body", seen.runner, seen.path);
        self.note(Check::Asked, at, (!is_same).then(what));
        if want.kind.is_turn() {
            let what = || format!("{} got another text than the chain's", seen.runner);
            self.note(Check::Chain, at, (seen.body != expected).then(what));
        }
        if want.kind.runs_once() {
            let again = !self.attempts[at].runs.is_empty();
            let what = || format!("it ran again, at {}", seen.runner);
            self.note(Check::Once, at, again.then(what));
        }
        if let Some(status) = self.attempts[at].promised {
            let check = if status == 402 {
                Check::Spent
            } else {
                Check::Refused
            };
            let what = format!("it ran at {} after status {status}", seen.runner);
            self.note(check, at, Some(what));
        }
        if let Some(left) = self.history.left_at(&seen.runner, came) {
            let is_late = came > left.plus(DRAIN) && !self.history.is_disturbed(left, came);
            let what = || {
                let span = came.since(left).as_u64();
                format!(
                    "{} ran it {span} ms after it said that it leaves",
                    seen.runner
                )
            };
            self.note(Check::Drains, at, is_late.then(what));
        }
        self.attempts[at].runs.push(place);
    }
}
