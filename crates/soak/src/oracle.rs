//! What must hold, judged from what clients sent and got and what runners ran.

use bytes::Bytes;
use fakes::runner;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::check::Book;
use crate::check::Case;
use crate::check::Check;
use crate::connection::Outcome;
use crate::history::History;
use crate::request::Want;

/// An attempt of a client.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Its id.
    pub id: String,
    /// The VM that it was sent to.
    pub vm: usize,
    /// What its client wants.
    pub want: Want,
    /// When it was sent.
    pub sent: Millis,
    /// When its time is over.
    pub until: Millis,
    /// Its runs, by their places in the runners' log.
    runs: Vec<usize>,
    /// The status that promises that it has not run and never will.
    promised: Option<u16>,
    /// Of a turn that was answered whole: its chain's text, itself included.
    text: Option<Bytes>,
}

impl Attempt {
    /// Yields when its last byte was sent; `None` where that never was.
    fn whole(&self) -> Option<Millis> {
        let span = self.want.pace.span()?;
        Some(self.sent.plus(Millis::from(span)))
    }
}

/// A program's tokens.
#[derive(Clone, Copy, Debug, Default)]
struct Program {
    budget: u64,
    /// The most that one of its turns generates.
    most: u64,
    /// What its clients got.
    got: u64,
}

/// Counts of how attempts ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize)]
pub struct Counts {
    /// With a success.
    pub served: u64,
    /// With a promise not to run.
    pub refused: u64,
    /// With a turn's budget spent.
    pub spent: u64,
    /// With another failure.
    pub failed: u64,
    /// With a connection that closed before or within the answer.
    pub cut: u64,
    /// Without a byte sent.
    pub unsent: u64,
    /// With the client's time over.
    pub given_up: u64,
}

/// The judge of a run.
#[derive(Debug)]
pub struct Oracle {
    /// The checks.
    pub book: Book,
    /// What was done to the system.
    pub history: History,
    /// How attempts ended.
    pub counts: Counts,
    begun: Instant,
    vms: Vec<String>,
    log: runner::Log,
    /// The runs of the log that were judged.
    judged: usize,
    /// By id, which grows with each attempt.
    attempts: Vec<Attempt>,
    programs: Vec<Program>,
    calm: Vec<Case>,
    /// Attempts whose clients left, and when.
    left: Vec<(usize, Millis)>,
    /// Attempts that took longer than their routes allow, and when they ended.
    over: Vec<(usize, Millis)>,
}

impl Oracle {
    /// Makes the judge of a run with these VMs, whose runners write this log.
    #[must_use]
    pub fn new(begun: Instant, vms: Vec<String>, log: runner::Log) -> Self {
        Self {
            book: Book::default(),
            history: History::default(),
            counts: Counts::default(),
            begun,
            vms,
            log,
            judged: 0,
            attempts: Vec::new(),
            programs: Vec::new(),
            calm: Vec::new(),
            left: Vec::new(),
            over: Vec::new(),
        }
    }

    /// Yields the time since the start of the run.
    #[must_use]
    pub fn now(&self) -> Millis {
        Millis::from(self.begun.elapsed())
    }

    fn since_start(&self, at: std::time::Instant) -> Millis {
        Millis::from(Instant::from_std(at).saturating_duration_since(self.begun))
    }

    /// Adds a program with a budget; yields its place.
    pub fn add_program(&mut self, budget: u64) -> usize {
        self.programs.push(Program {
            budget,
            ..Program::default()
        });
        self.programs.len() - 1
    }

    /// Notes an attempt that is sent now; yields its id.
    pub fn begin(&mut self, vm: usize, want: &Want, left: std::time::Duration) -> String {
        let id = format!("50a{:013x}", self.attempts.len());
        let sent = self.now();
        if let Some(turn) = &want.turn {
            let program = &mut self.programs[turn.program];
            program.most = program.most.max(want.most());
        }
        self.attempts.push(Attempt {
            id: id.clone(),
            vm,
            want: want.clone(),
            sent,
            until: sent.plus(Millis::from(left.min(want.kind.timeout()))),
            runs: Vec::new(),
            promised: None,
            text: None,
        });
        id
    }

    /// Judges how an attempt ended.
    pub fn finish(&mut self, id: &str, outcome: &Outcome) {
        let ended = self.now();
        self.judge_runs();
        let Some(at) = self.find(id) else {
            return;
        };
        let want = &self.attempts[at].want;
        if want.work() > want.kind.timeout() {
            self.over.push((at, ended));
        }
        match outcome {
            Outcome::Whole(answer) => {
                self.judge_answer(at, answer);
                self.judge_end(at, ended, None);
            }
            Outcome::Cut(answer) => {
                self.counts.cut += 1;
                self.judge_part(at, answer);
                self.judge_end(at, ended, Some("the connection closed within the answer"));
            }
            Outcome::Closed => {
                self.counts.cut += 1;
                self.judge_end(at, ended, Some("the connection closed before the answer"));
            }
            Outcome::GaveUp(answer) => {
                self.counts.given_up += 1;
                self.left.push((at, ended));
                if let Some(answer) = answer {
                    self.judge_part(at, answer);
                }
            }
            Outcome::NotSent => self.counts.unsent += 1,
        }
    }

    /// Notes how a process ended that was asked to stop.
    pub fn note_stopped(&mut self, vm: usize, broken: Option<String>) {
        let name = self.vms[vm].clone();
        let broken = broken.map(|what| self.case("", &name, what));
        self.book.note(Check::Stops, broken);
    }

    /// Notes a check of a process.
    pub fn note_vm(&mut self, check: Check, vm: usize, broken: Option<&str>) {
        let name = self.vms[vm].clone();
        let broken = broken.map(|what| self.case("", &name, what.to_owned()));
        self.book.note(check, broken);
    }

    fn case(&self, request: &str, vm: &str, what: String) -> Case {
        Case {
            at: self.now(),
            request: request.to_owned(),
            vm: vm.to_owned(),
            what,
        }
    }

    fn note(&mut self, check: Check, at: usize, broken: Option<String>) {
        let attempt = &self.attempts[at];
        let vm = &self.vms[attempt.vm];
        let broken = broken.map(|what| self.case(&attempt.id, vm, what));
        self.book.note(check, broken);
    }

    fn find(&self, id: &str) -> Option<usize> {
        let key = |attempt: &Attempt| attempt.id.as_str().cmp(id);
        self.attempts.binary_search_by(key).ok()
    }

    /// Yields what a runner has to get of an attempt.
    fn body(&self, at: usize) -> Bytes {
        let want = &self.attempts[at].want;
        let previous = want.turn.as_ref().and_then(|turn| turn.previous.as_ref());
        let before = previous
            .and_then(|id| self.find(id))
            .and_then(|at| self.attempts[at].text.as_ref());
        match before {
            Some(before) => [before.as_ref(), want.input.as_ref()].concat().into(),
            None => want.input.clone(),
        }
    }

    /// Yields the cases of connections that closed without a fault near.
    #[must_use]
    pub fn calm(&self) -> &[Case] {
        &self.calm
    }
}

mod answer;
mod end;
mod run;
mod sum;
#[cfg(test)]
mod tests;
