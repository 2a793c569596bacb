//! Checks what a runner executed.

use std::sync::PoisonError;

use fakes::runner::Execution;
use wire::clock::Millis;

use crate::check::Check;

use super::Oracle;

/// How long a runner may still receive requests after it has announced that it leaves.
const DRAIN_TIME: Millis = Millis::new(2_000);

impl Oracle {
    pub(super) fn check_executions(&mut self) {
        let unchecked: Vec<Execution> = {
            let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            log[self.checked..].to_vec()
        };
        for execution in unchecked {
            let log_index = self.checked;
            self.checked += 1;
            self.check_execution(log_index, &execution);
        }
    }

    fn check_execution(&mut self, log_index: usize, execution: &Execution) {
        let Some(index) = self.find(&execution.id) else {
            let case = self.case(&execution.id, "", "no client sent this id".to_owned());
            self.results.record(Check::Asked, Some(case));
            return;
        };
        let spec = self.attempts[index].spec.clone();
        let arrived = self.since_start(execution.at);
        let expected = self.expected_body(index);
        let is_same = execution.path == spec.path() && execution.body.ends_with(&spec.input);
        let what = || {
            format!(
                "{} got a request with another path or body than the client sent; path {}",
                execution.runner, execution.path
            )
        };
        self.record(Check::Asked, index, (!is_same).then(what));
        if spec.kind.is_turn() {
            let what = || format!("{} got other text than the turns so far", execution.runner);
            self.record(Check::Chain, index, (execution.body != expected).then(what));
        }
        if spec.kind.runs_once() {
            let again = !self.attempts[index].executions.is_empty();
            let what = || format!("it ran again, at {}", execution.runner);
            self.record(Check::Once, index, again.then(what));
        }
        if let Some(status) = self.attempts[index].refusal_status {
            let check = if status == 402 {
                Check::Spent
            } else {
                Check::Refused
            };
            let what = format!("it ran at {} after status {status}", execution.runner);
            self.record(check, index, Some(what));
        }
        if let Some(left) = self.history.leaving_since(&execution.runner, arrived) {
            let is_late =
                arrived > left.plus(DRAIN_TIME) && !self.history.is_disturbed(left, arrived);
            let what = || {
                let span = arrived.since(left).as_u64();
                format!(
                    "{} ran it {span} ms after it said that it leaves",
                    execution.runner
                )
            };
            self.record(Check::Drains, index, is_late.then(what));
        }
        self.attempts[index].executions.push(log_index);
    }
}
