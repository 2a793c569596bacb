//! Checks the guarantees of a run against what clients sent and received and what runners executed.

use bytes::Bytes;
use fakes::runner;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::check::Case;
use crate::check::Check;
use crate::check::Results;
use crate::connection::Outcome;
use crate::history::History;
use crate::request::Spec;

/// One request that a client sent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The request id.
    pub id: String,
    /// The index of the VM that it was sent to.
    pub vm: usize,
    /// What the client asks for.
    pub spec: Spec,
    /// When it was sent.
    pub sent: Millis,
    /// When its deadline or its route's time-out ends it, whichever is earlier.
    pub deadline: Millis,
    /// Its executions by runners, as indexes into the runners' log.
    executions: Vec<usize>,
    /// The status of its refusal, which guarantees that it has not run and never will.
    refusal_status: Option<u16>,
    /// For a turn with a complete answer: the text of its chain up to and including this turn.
    chain_text: Option<Bytes>,
}

impl Attempt {
    /// Returns when the last byte of the body was sent, `None` if it never was.
    fn body_sent_at(&self) -> Option<Millis> {
        let span = self.spec.pace.span()?;
        Some(self.sent.plus(Millis::from(span)))
    }
}

/// The token accounting of one program.
#[derive(Clone, Copy, Debug, Default)]
struct Program {
    budget: u64,
    /// The most tokens that any of its turns may generate.
    max_turn_tokens: u64,
    /// Tokens that its clients received.
    received: u64,
}

/// How many attempts ended in which way.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// With a 2xx status.
    pub served: u64,
    /// With a refusal that guarantees that the request has not run and never will.
    pub refused: u64,
    /// With the program's token budget spent.
    pub spent: u64,
    /// With a 2xx status, after they took a stream up.
    pub taken_up: u64,
    /// With a refusal to take a stream up.
    pub not_taken_up: u64,
    /// With any other status.
    pub failed: u64,
    /// With a connection that closed before or during the answer.
    pub cut: u64,
    /// Without any byte sent.
    pub unsent: u64,
    /// With the client leaving before the answer was complete.
    pub given_up: u64,
}

/// Checks a run while it goes on and at its end.
#[derive(Debug)]
pub struct Oracle {
    /// The results of the checks.
    pub results: Results,
    /// The faults and the planned work of the run.
    pub history: History,
    /// How many attempts ended in which way.
    pub counts: Counts,
    started: Instant,
    vms: Vec<String>,
    log: runner::Log,
    /// How many executions at the head of the log have been checked.
    checked: usize,
    /// Sorted by id, which increases with each attempt.
    attempts: Vec<Attempt>,
    programs: Vec<Program>,
    undisturbed_closes: Vec<Case>,
    /// Attempts whose clients left before the answer was complete, and when.
    departed: Vec<(usize, Millis)>,
    /// Attempts whose work takes longer than their route allows, and when they ended.
    overlong: Vec<(usize, Millis)>,
}

impl Oracle {
    /// Creates the oracle of a run with these VMs, whose runners write to `log`.
    #[must_use]
    pub fn new(started: Instant, vms: Vec<String>, log: runner::Log) -> Self {
        Self {
            results: Results::default(),
            history: History::default(),
            counts: Counts::default(),
            started,
            vms,
            log,
            checked: 0,
            attempts: Vec::new(),
            programs: Vec::new(),
            undisturbed_closes: Vec::new(),
            departed: Vec::new(),
            overlong: Vec::new(),
        }
    }

    /// Returns the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(self.started.elapsed())
    }

    fn since_start(&self, at: std::time::Instant) -> Millis {
        Millis::from(Instant::from_std(at).saturating_duration_since(self.started))
    }

    /// Adds a program with a token budget and returns its index.
    pub fn add_program(&mut self, budget: u64) -> usize {
        self.programs.push(Program {
            budget,
            ..Program::default()
        });
        self.programs.len() - 1
    }

    /// Records an attempt that is sent now and returns its id.
    pub fn begin(&mut self, vm: usize, spec: &Spec, time_left: std::time::Duration) -> String {
        let id = format!("50a{:013x}", self.attempts.len());
        let sent = self.now();
        if let Some(turn) = &spec.turn {
            let program = &mut self.programs[turn.program];
            program.max_turn_tokens = program.max_turn_tokens.max(spec.max_tokens());
        }
        self.attempts.push(Attempt {
            id: id.clone(),
            vm,
            spec: spec.clone(),
            sent,
            deadline: sent.plus(Millis::from(time_left.min(spec.kind.timeout()))),
            executions: Vec::new(),
            refusal_status: None,
            chain_text: None,
        });
        id
    }

    /// Records and checks how an attempt ended.
    pub fn finish(&mut self, id: &str, outcome: &Outcome) {
        let ended = self.now();
        self.check_executions();
        let Some(index) = self.find(id) else {
            return;
        };
        let spec = &self.attempts[index].spec;
        if spec.work() > spec.kind.timeout() {
            self.overlong.push((index, ended));
        }
        match outcome {
            Outcome::Whole(answer) => {
                self.check_answer(index, answer);
                self.check_end(index, ended, None);
            }
            Outcome::Cut(answer) => {
                self.counts.cut += 1;
                self.check_partial(index, answer);
                self.check_end(
                    index,
                    ended,
                    Some("the connection closed within the answer"),
                );
            }
            Outcome::Closed => {
                self.counts.cut += 1;
                self.check_end(
                    index,
                    ended,
                    Some("the connection closed before the answer"),
                );
            }
            Outcome::GaveUp(answer) => {
                self.counts.given_up += 1;
                self.departed.push((index, ended));
                if let Some(answer) = answer {
                    self.check_partial(index, answer);
                }
            }
            Outcome::NotSent => self.counts.unsent += 1,
        }
    }

    /// Records how a process ended that was asked to stop.
    pub fn record_stop(&mut self, vm: usize, broken: Option<String>) {
        let name = self.vms[vm].clone();
        let broken = broken.map(|what| self.case("", &name, what));
        self.results.record(Check::Stops, broken);
    }

    /// Records the result of a check of a process.
    pub fn record_vm(&mut self, check: Check, vm: usize, broken: Option<&str>) {
        let name = self.vms[vm].clone();
        let broken = broken.map(|what| self.case("", &name, what.to_owned()));
        self.results.record(check, broken);
    }

    fn case(&self, request: &str, vm: &str, what: String) -> Case {
        Case {
            at: self.now(),
            request: request.to_owned(),
            vm: vm.to_owned(),
            what,
        }
    }

    fn record(&mut self, check: Check, index: usize, broken: Option<String>) {
        let attempt = &self.attempts[index];
        let vm = &self.vms[attempt.vm];
        let broken = broken.map(|what| self.case(&attempt.id, vm, what));
        self.results.record(check, broken);
    }

    fn find(&self, id: &str) -> Option<usize> {
        let key = |attempt: &Attempt| attempt.id.as_str().cmp(id);
        self.attempts.binary_search_by(key).ok()
    }

    /// Returns the body that a runner must receive for an attempt.
    fn expected_body(&self, index: usize) -> Bytes {
        let spec = &self.attempts[index].spec;
        let previous = spec.turn.as_ref().and_then(|turn| turn.previous.as_ref());
        let before = previous
            .and_then(|id| self.find(id))
            .and_then(|index| self.attempts[index].chain_text.as_ref());
        match before {
            Some(before) => [before.as_ref(), spec.input.as_ref()].concat().into(),
            None => spec.input.clone(),
        }
    }

    /// Returns the cases in which a connection closed without any disruption in or shortly before
    /// the attempt.
    #[must_use]
    pub fn undisturbed_closes(&self) -> &[Case] {
        &self.undisturbed_closes
    }
}

mod answer;
mod end;
mod execution;
mod summary;
#[cfg(test)]
mod tests;
