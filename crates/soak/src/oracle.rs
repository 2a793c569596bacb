//! What must hold, judged from what clients sent and got and what runners ran.

use std::sync::PoisonError;

use bytes::Bytes;
use fakes::runner;
use fakes::runner::Seen;
use fakes::settings;
use tokio::time::Instant;
use wire::clock::Millis;

use crate::check::Book;
use crate::check::Case;
use crate::check::Check;
use crate::connection::Answer;
use crate::connection::Outcome;
use crate::history::History;
use crate::request;
use crate::request::Kind;
use crate::request::Want;

/// A connection that closes sooner after its request may not have read it.
const READ: Millis = Millis::new(200);
/// How close to its time's end a request counts as ended by it.
const CLOSE: Millis = Millis::new(50);
/// The closed connections without any fault near that are borne.
const CALM_MOST: usize = 3;
/// How long after it says that it leaves a runner may still get requests.
const DRAIN: Millis = Millis::new(2_000);
/// How soon after its client has left a run has to end.
const HEARD: Millis = Millis::new(500);
/// The share of runs that may go on for longer, as a divisor.
const UNHEARD: usize = 4;
/// How long a new configuration may take to be in force.
const APPLY: Millis = Millis::new(settings::APPLY_MS);

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

    /// Judges whether runners heard of clients that left. One or the other run may go on.
    fn judge_left(&mut self) {
        let mut unheard = Vec::new();
        for (at, left) in std::mem::take(&mut self.left) {
            match self.heard(at, left) {
                None => {}
                Some(true) => self.note(Check::Gone, at, None),
                Some(false) => unheard.push(at),
            }
        }
        let judged = unheard.len()
            + usize::try_from(self.book.row(Check::Gone).exercised).unwrap_or(usize::MAX);
        let is_broken = unheard.len() * UNHEARD > judged;
        for at in unheard {
            let what = || "its run went on after its client had left".to_owned();
            self.note(Check::Gone, at, is_broken.then(what));
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
        let work = attempt.want.pause * u32::try_from(attempt.want.events).ok()?;
        let own_end = self.since_start(seen.at).plus(Millis::from(work));
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

    fn judge_runs(&mut self) {
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

    fn judge_answer(&mut self, at: usize, answer: &Answer) {
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
        let is_denied = matches!(status, 300..=499) && !is_own && !is_kept;
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
        let is_own = answer.told.is_signed && answer.told.id.as_deref() == Some(id.as_str());
        let what = || format!("signed {}, for {:?}", answer.told.is_signed, answer.told.id);
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

    fn judge_part(&mut self, at: usize, answer: &Answer) {
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

    /// Judges whether the end of an attempt is one that a VM may leave its caller with.
    fn judge_end(&mut self, at: usize, ended: Millis, broken: Option<&str>) {
        let attempt = &self.attempts[at];
        if self.history.is_disturbed(attempt.sent, ended) {
            return;
        }
        let planned = self.history.planned(attempt.vm, attempt.sent, ended);
        let has_run = !attempt.runs.is_empty();
        let was_read = has_run || ended.since(attempt.sent) > READ;
        let is_late = ended.plus(CLOSE) >= attempt.until;
        let broken = broken.filter(|_| was_read && !is_late && !self.is_excused(attempt, ended));
        let told = |what: &str| {
            let span = ended.since(attempt.sent).as_u64();
            let run = if has_run { "ran" } else { "not run" };
            let Some(signal) = planned else {
                return format!("{what} after {span} ms; {run}");
            };
            let since = attempt.sent.since(signal).as_u64();
            format!("{what} after {span} ms; sent {since} ms after the signal; {run}")
        };
        let broken = broken.map(told);
        if planned.is_some() {
            self.note(Check::Lost, at, broken);
            return;
        }
        if let Some(what) = broken {
            let vm = &self.vms[attempt.vm];
            self.calm.push(self.case(&attempt.id, vm, what));
        } else {
            self.note(Check::Calm, at, None);
        }
    }

    /// Tells whether an attempt may have been broken off: its runner did, or was still at work when
    /// the process had to end, on what it got soon after SIGTERM.
    fn is_excused(&self, attempt: &Attempt, ended: Millis) -> bool {
        let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        attempt.runs.iter().any(|place| {
            let seen = &log[*place];
            let ended = seen.ended.map_or(ended, |at| self.since_start(at));
            seen.mode != runner::Mode::Sound
                || self.history.outlasts(attempt.vm, attempt.sent, ended)
        })
    }

    /// Yields the cases of connections that closed without a fault near.
    #[must_use]
    pub fn calm(&self) -> &[Case] {
        &self.calm
    }
}

#[cfg(test)]
mod tests;
