//! The owner of a shard, modelled on the node's actor: calls the decision functions, applies and
//! appends their records, and acts when the append is durable.

use std::future::Future;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::task::Waker;

use bytes::Bytes;
use journal::claim::Opened;
use journal::decision;
use journal::decision::Begin;
use journal::decision::Commit;
use journal::decision::Create;
use journal::decision::Intend;
use journal::decision::Restart;
use journal::log::Append;
use journal::log::Durable;
use journal::log::Fault;
use journal::log::Log;
use journal::log::Status;
use journal::record::Outcome;
use journal::record::Record;
use journal::state::State;
use serde_json::Map;
use serde_json::Value;
use wire::chat;
use wire::clock::Millis;
use wire::code::Ran;
use wire::id;

use super::oracle::Answered;
use super::oracle::Call;
use super::oracle::Run;
use super::oracle::TOKENS;
use super::oracle::text;
use super::world::World;

/// Tokens requested for each turn; the last turns of a program reach its budget.
const TOKENS_PER_TURN: u64 = 70;
/// The program that makes the calls.
const CALLING_PROGRAM: usize = 0;

/// What follows a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AfterFailure {
    /// Another attempt elsewhere.
    Retry,
    /// No further attempt.
    Stop,
}

impl AfterFailure {
    pub fn from_draw(draw: u8) -> Self {
        if draw == 0 { Self::Stop } else { Self::Retry }
    }
}

/// A side effect that waits for an append.
enum Effect {
    None,
    /// Dispatches an attempt to an engine.
    Dispatch(Run),
    /// Sends a turn's answer to the caller.
    TellAnswer(Answered),
    /// Sends a call to a service.
    Send(id::Key, id::Attempt),
    /// Sends a call's outcome to the caller.
    TellOutcome(id::Key, id::Attempt),
}

pub struct Owner {
    pub epoch: u64,
    pub state: State,
    pub log: Log,
    waiting: Vec<(Append, Effect)>,
    /// Attempts at engines that haven't ended.
    running: Vec<Run>,
    /// Calls at services that haven't ended.
    running_calls: Vec<(id::Key, id::Attempt)>,
    /// Whether a caller was told something while it existed only in copies.
    exposed: bool,
    dead: bool,
}

impl Owner {
    pub fn new(opened: Opened) -> Self {
        Self {
            epoch: opened.epoch,
            state: opened.state,
            log: opened.log,
            waiting: Vec::new(),
            running: Vec::new(),
            running_calls: Vec::new(),
            exposed: false,
            dead: false,
        }
    }

    /// Returns whether every applied record is durable.
    pub fn has_no_pending_appends(&self) -> bool {
        self.waiting.is_empty() && !self.dead
    }

    /// Returns whether something that a caller was told may exist only in copies.
    pub fn is_exposed(&self) -> bool {
        self.exposed && (self.dead || self.log.status() != Status::Open)
    }

    /// Returns whether it serves requests, as far as it knows.
    pub fn is_open(&self) -> bool {
        !self.dead && self.log.status() != Status::Lost
    }

    pub fn die(&mut self) {
        self.exposed = self.is_exposed();
        self.dead = true;
        self.waiting.clear();
        self.running.clear();
        self.running_calls.clear();
    }

    fn append(&mut self, records: Vec<Record>, effect: Effect) {
        for record in &records {
            self.state.check(record).unwrap();
            self.state.apply(record);
        }
        let append = self.log.append(records);
        self.waiting.push((append, effect));
    }
}

impl World {
    /// Returns the owner on a VM, if the VM believes it owns the shard.
    fn owner(&mut self, vm: usize) -> Option<&mut Owner> {
        if !self.is_running(vm) {
            return None;
        }
        let owner = self.vms[vm].owner.as_mut()?;
        owner.is_open().then_some(owner)
    }

    pub fn new_turn(&mut self, vm: usize, program: usize, content: u64) {
        let (id, now, attempt) = (
            program_id(program),
            self.now(),
            id::Attempt(self.next_number()),
        );
        let Some(owner) = self.owner(vm) else { return };
        let create = Create {
            program: &id,
            caller: &caller(),
            tokens: TOKENS,
            turns: 9,
            idle: Millis::new(u64::MAX),
            now,
        };
        if let Some(record) = decision::create(&owner.state, &create).unwrap() {
            owner.append(vec![record], Effect::None);
        }
        let question = message("user", &format!("question {content}"));
        let begin = Begin {
            program: &id,
            caller: &caller(),
            turn: None,
            messages: std::slice::from_ref(&question),
            digest: id::Digest(content),
            max_tokens: TOKENS_PER_TURN,
            attempt,
            endpoint: None,
            now,
        };
        let start = match decision::begin(&owner.state, &begin) {
            Ok(decision::Turn::Start(start)) => start,
            Ok(decision::Turn::Join { .. }) => return,
            Ok(decision::Turn::Replay { .. }) => panic!("the next turn was replayed"),
            Err(refusal) => {
                self.oracle.refused.push((attempt, refusal.ran));
                return;
            }
        };
        let mut prompt: Vec<String> = prompt(&owner.state, &id);
        prompt.push(text(&question));
        let run = Run {
            program: id,
            turn: start.turn,
            attempt,
            prompt,
            generated: start.reserved,
        };
        owner.append(start.records, Effect::Dispatch(run));
    }

    pub fn replay_turn(&mut self, vm: usize, program: usize) {
        let (id, now, attempt) = (
            program_id(program),
            self.now(),
            id::Attempt(self.next_number()),
        );
        let Some(owner) = self.owner(vm) else { return };
        let Some(last) = owner.state.program(&id).and_then(|p| p.history.last()) else {
            return;
        };
        // A replayed answer must be durable; the node waits for the turn's own append.
        if !owner.has_no_pending_appends() {
            return;
        }
        let turn = owner.state.program(&id).unwrap().committed();
        let begin = Begin {
            program: &id,
            caller: &caller(),
            turn: Some(turn),
            messages: &[],
            digest: last.digest,
            max_tokens: TOKENS_PER_TURN,
            attempt,
            endpoint: None,
            now,
        };
        let Ok(decision::Turn::Replay { answer, .. }) = decision::begin(&owner.state, &begin)
        else {
            panic!("a committed turn isn't replayed");
        };
        let (program, answer) = (id.clone(), answer.clone());
        self.oracle.note_answer(Answered {
            program,
            turn,
            answer,
        });
    }

    pub fn answer_turn(&mut self, pick: usize, used: u64) {
        let now = self.now();
        let Some((vm, at)) = self.pick(pick, |owner| owner.running.len()) else {
            return;
        };
        let owner = self.vms[vm].owner.as_mut().unwrap();
        let mut run = owner.running.remove(at);
        run.generated = run.generated * used / 4;
        let question = run.prompt.last().unwrap();
        let commit = Commit {
            program: &run.program,
            attempt: run.attempt,
            messages: vec![message("user", question)],
            answer: chat::Answer {
                message: message("assistant", &run.attempt.to_string()),
                finish: "stop".to_owned(),
                usage: chat::Usage::default(),
            },
            used: run.generated,
            endpoint: &id::Endpoint::parse("runner").unwrap(),
            now,
        };
        let record = decision::commit(&owner.state, commit).unwrap();
        if let Some(record) = record {
            let Record::Committed { turn, answer, .. } = &record else {
                panic!("the commit yields another record");
            };
            let answered = Answered {
                program: run.program.clone(),
                turn: *turn,
                answer: answer.clone(),
            };
            owner.append(vec![record], Effect::TellAnswer(answered));
            self.note_generated(&run);
        }
    }

    pub fn fail_turn(&mut self, pick: usize, after: AfterFailure) {
        let (now, attempt) = (self.now(), id::Attempt(self.next_number()));
        let Some((vm, at)) = self.pick(pick, |owner| owner.running.len()) else {
            return;
        };
        let owner = self.vms[vm].owner.as_mut().unwrap();
        let mut run = owner.running.remove(at);
        run.generated /= 2;
        let restart = Restart {
            program: &run.program,
            ended: run.attempt,
            used: Some(run.generated),
            max_tokens: TOKENS_PER_TURN,
            attempt,
            endpoint: None,
            now,
        };
        let next = decision::restart(&owner.state, &restart).ok().flatten();
        if let Some(start) = next.filter(|_| after == AfterFailure::Retry) {
            let next = Run {
                attempt,
                generated: start.reserved,
                ..run.clone()
            };
            owner.append(start.records, Effect::Dispatch(next));
            // The old engine may still answer, too late.
            owner.running.push(run.clone());
        } else {
            let used = Some(run.generated);
            let stopped = decision::stop(&owner.state, &run.program, run.attempt, used);
            let Some(stopped) = stopped else { return };
            owner.append(vec![stopped], Effect::None);
        }
        self.note_generated(&run);
    }

    pub fn change_holders(&mut self, vm: usize) {
        let holders = self.holders(vm);
        let Some(owner) = self.owner(vm) else { return };
        if !owner.log.may_change_holders() {
            return;
        }
        if let Some(record) = decision::change_copy_holders(&owner.state, &holders) {
            owner.append(vec![record], Effect::None);
        }
    }

    pub fn new_call(&mut self, vm: usize, key: usize, content: u64) {
        let (id, now, attempt) = (
            program_id(CALLING_PROGRAM),
            self.now(),
            id::Attempt(self.next_number()),
        );
        let Some(owner) = self.owner(vm) else { return };
        let key = id::Key::parse(&format!("key-{key}")).unwrap();
        let intend = Intend {
            program: &id,
            caller: &caller(),
            key: &key,
            digest: id::Digest(content),
            attempt,
            now,
            status: owner.log.status(),
        };
        match decision::intend(&owner.state, &intend) {
            Ok(decision::Call::Start(batch)) => owner.append(batch, Effect::Send(key, attempt)),
            Ok(decision::Call::Join(_) | decision::Call::Replay { .. }) => {}
            Err(refusal) => self.oracle.refused.push((attempt, refusal.ran)),
        }
    }

    pub fn resolve_call(&mut self, pick: usize, outcome: u8) {
        let Some((vm, at)) = self.pick(pick, |owner| owner.running_calls.len()) else {
            return;
        };
        let owner = self.vms[vm].owner.as_mut().unwrap();
        let (key, attempt) = owner.running_calls.remove(at);
        let result = match outcome {
            0 => Outcome::Answered {
                status: 200,
                body: Bytes::from(attempt.to_string()),
            },
            1 => Outcome::NotRun,
            _ => Outcome::Unknown,
        };
        let effect = match outcome {
            0 => Effect::TellOutcome(key.clone(), attempt),
            _ => Effect::None,
        };
        let id = program_id(CALLING_PROGRAM);
        if let Some(record) = decision::resolve(&owner.state, &id, &key, attempt, result) {
            owner.append(vec![record], effect);
        }
        if outcome == 1 {
            let refused = self.oracle.calls.iter_mut().find(|c| c.attempt == attempt);
            refused.unwrap().refused = true;
        }
    }

    /// Acts on appends that became durable or failed.
    pub fn act(&mut self, vm: usize) {
        if !self.is_running(vm) {
            return;
        }
        let Some(owner) = self.vms[vm].owner.as_mut() else {
            return;
        };
        let mut ready = Vec::new();
        let mut waiting = Vec::new();
        for (mut append, effect) in owner.waiting.drain(..) {
            let mut context = Context::from_waker(Waker::noop());
            match Pin::new(&mut append).poll(&mut context) {
                Poll::Ready(result) => ready.push((result, effect)),
                Poll::Pending => waiting.push((append, effect)),
            }
        }
        owner.waiting = waiting;
        for (result, effect) in ready {
            match result {
                Ok(durable) => self.perform(vm, durable, effect),
                Err(fault) => self.handle_fault(vm, fault, effect),
            }
        }
    }

    fn perform(&mut self, vm: usize, durable: Durable, effect: Effect) {
        let owner = self.vms[vm].owner.as_mut().unwrap();
        let copied = durable == Durable::Copy;
        match effect {
            Effect::None => {}
            Effect::Dispatch(run) => {
                owner.exposed |= copied;
                owner.running.push(run.clone());
                self.oracle.runs.push(run);
            }
            Effect::TellAnswer(answered) => {
                owner.exposed |= copied;
                self.oracle.note_answer(answered);
            }
            Effect::Send(key, attempt) => {
                assert!(!copied, "an intent counted in copies");
                owner.running_calls.push((key.clone(), attempt));
                let refused = false;
                self.oracle.calls.push(Call {
                    key,
                    attempt,
                    refused,
                });
            }
            Effect::TellOutcome(key, attempt) => {
                owner.exposed |= copied;
                self.oracle.answered_calls.push((key, attempt));
            }
        }
    }

    fn handle_fault(&mut self, vm: usize, fault: Fault, effect: Effect) {
        let owner = self.vms[vm].owner.as_mut().unwrap();
        match (fault, effect) {
            (Fault::Lost { ran }, Effect::Dispatch(run)) => {
                self.oracle.refused.push((run.attempt, ran));
            }
            (Fault::Lost { ran }, Effect::Send(_, attempt)) => {
                self.oracle.refused.push((attempt, ran));
                if ran == Ran::No {
                    self.oracle.reported_absent.push(attempt);
                }
            }
            (Fault::Withheld { ran, .. }, Effect::Send(key, attempt)) => {
                self.oracle.refused.push((attempt, ran));
                let id = program_id(CALLING_PROGRAM);
                let record = decision::resolve(&owner.state, &id, &key, attempt, Outcome::NotRun);
                owner.append(vec![record.unwrap()], Effect::None);
            }
            (Fault::Lost { .. }, _) => {}
            (fault, _) => panic!("{fault}"),
        }
    }

    /// Picks an item of an active owner on any VM.
    fn pick(&mut self, pick: usize, count: impl Fn(&Owner) -> usize) -> Option<(usize, usize)> {
        let mut all = Vec::new();
        for vm in 0..self.vms.len() {
            let count = self.owner(vm).map_or(0, |owner| count(owner));
            all.extend((0..count).map(|at| (vm, at)));
        }
        (!all.is_empty()).then(|| all[pick % all.len()])
    }

    fn note_generated(&mut self, run: &Run) {
        let runs = &mut self.oracle.runs;
        let same = runs.iter_mut().find(|other| other.attempt == run.attempt);
        same.unwrap().generated = run.generated;
    }
}

fn prompt(state: &State, program: &id::Program) -> Vec<String> {
    state
        .program(program)
        .into_iter()
        .flat_map(|program| program.messages().map(text))
        .collect()
}

fn program_id(program: usize) -> id::Program {
    id::Program::parse(&format!("program-{program}")).unwrap()
}

fn caller() -> id::Caller {
    id::Caller::parse("crew").unwrap()
}

fn message(role: &str, text: &str) -> chat::Message {
    chat::Message {
        role: role.to_owned(),
        content: Value::from(text),
        rest: Map::new(),
    }
}
