//! The decisions that the shard's actor makes for turn and call tasks. Each calls the journal's
//! decision function, applies the resulting records to the state, and hands them to the journal in
//! the same step.

use journal::decision;
use journal::decision::Turn;
use journal::record::Record;
use settings::config::Budget;
use wire::code::Code;
use wire::code::Ran;
use wire::code::Refusal;
use wire::event::Event;
use wire::id;

use crate::owner::message;
use crate::owner::message::Begun;
use crate::owner::message::Decided;
use crate::owner::poison;
use crate::owner::poison::Subject;
use crate::owner::shard::Owner;

impl Owner {
    pub(super) fn begin(&mut self, begin: &message::Begin) -> Result<Decided<Begun>, Refusal> {
        let created = self.create_if_absent(&begin.program, &begin.caller, begin.budget)?;
        let input = decision::Begin {
            program: &begin.program,
            caller: &begin.caller,
            turn: Some(begin.turn),
            messages: &begin.messages,
            digest: begin.digest,
            max_tokens: begin.max_tokens,
            attempt: begin.attempt,
            endpoint: Some(&begin.endpoint),
            now: self.core.clock.now(),
        };
        let start = match decision::begin(&self.state, &input) {
            Ok(Turn::Start(start)) => start,
            Ok(_) => return Err(Refusal::new(Code::Internal, "the turn began twice")),
            Err(refusal) => {
                let _append = self.apply(created.into_iter().collect());
                return Err(refusal);
            }
        };
        let program = self.state.program(&begin.program);
        let history = program.map(|p| p.messages().cloned().collect());
        let records: Vec<Record> = created.into_iter().chain(start.records.clone()).collect();
        let value = Begun {
            start,
            history: history.unwrap_or_default(),
        };
        Ok(self.decide(value, records))
    }

    /// Creates the program in the state if it doesn't exist yet. Returns the record, which the
    /// caller appends to the journal together with the program's first turn or call.
    fn create_if_absent(
        &mut self,
        program: &id::Program,
        caller: &id::Caller,
        budget: Budget,
    ) -> Result<Option<Record>, Refusal> {
        if self.state.program(program).is_some() {
            return Ok(None);
        }
        let create = decision::Create {
            program,
            caller,
            tokens: budget.tokens,
            turns: budget.turns,
            idle: budget.idle,
            now: self.core.clock.now(),
        };
        let record = decision::create(&self.state, &create)?;
        if let Some(record) = &record {
            self.state.apply(record);
        }
        Ok(record)
    }

    pub(super) fn restart(
        &mut self,
        restart: &message::Restart,
    ) -> Result<Decided<decision::Start>, Refusal> {
        let input = decision::Restart {
            program: &restart.program,
            ended: restart.ended,
            used: restart.used,
            max_tokens: restart.max_tokens,
            attempt: restart.attempt,
            endpoint: Some(&restart.endpoint),
            now: self.now(),
        };
        let start = decision::restart(&self.state, &input)?.ok_or_else(superseded)?;
        let records = start.records.clone();
        Ok(self.decide(start, records))
    }

    pub(super) fn commit(&mut self, commit: message::Commit) -> Result<Decided<u32>, Refusal> {
        let turn = self
            .state
            .program(&commit.program)
            .map_or(0, |p| p.committed() + 1);
        let input = decision::Commit {
            program: &commit.program,
            attempt: commit.attempt,
            messages: commit.messages,
            answer: commit.answer,
            used: commit.used,
            endpoint: &commit.endpoint,
            now: self.core.clock.now(),
        };
        let record = decision::commit(&self.state, input)?.ok_or_else(superseded)?;
        if let Some(subject) = self.running_subject(&commit.program) {
            poison::note_completed(&self.core, subject, &commit.endpoint);
        }
        self.last_endpoints.set(&commit.program, &commit.endpoint);
        Ok(self.decide(turn, [record]))
    }

    /// Returns what endpoints may crash under while a program's turn is running.
    fn running_subject(&self, program: &id::Program) -> Option<Subject> {
        let running = self.state.program(program)?.running.as_ref()?;
        Some(self.subject(program, running.digest))
    }

    /// Returns what endpoints may crash under when they run a program's next turn.
    pub(super) fn subject(&self, program: &id::Program, digest: id::Digest) -> Subject {
        Subject {
            content: self.state.content_digest(program, digest),
            body: Some(digest),
        }
    }

    pub(super) fn blame(
        &mut self,
        program: &id::Program,
        digest: id::Digest,
        endpoint: &id::Endpoint,
    ) -> Decided<bool> {
        log::warn!(
            "{} program={program} endpoint={endpoint}",
            Event::CallBlamed
        );
        let subject = self.subject(program, digest);
        let is_refused = poison::note_crash(&self.core, subject, endpoint);
        match decision::blame(&self.state, program, digest, endpoint) {
            decision::Blame::Suspect(records) => self.decide(is_refused, records),
            decision::Blame::Poisoned(records) => {
                poison::mark(&self.core, subject.content);
                self.decide(true, records)
            }
        }
    }

    pub(super) fn intend(&mut self, intend: &message::Intend) -> Result<Decided<()>, Refusal> {
        let created = self.create_if_absent(&intend.program, &intend.caller, intend.budget)?;
        let input = decision::Intend {
            program: &intend.program,
            caller: &intend.caller,
            key: &intend.key,
            digest: intend.digest,
            attempt: intend.attempt,
            now: self.now(),
            status: self.status(),
        };
        let records = match decision::intend(&self.state, &input) {
            Ok(decision::Call::Start(records)) => records,
            Ok(_) => return Err(Refusal::new(Code::Internal, "the call began twice")),
            Err(refusal) => {
                let _append = self.apply(created.into_iter().collect());
                return Err(refusal);
            }
        };
        let records: Vec<Record> = created.into_iter().chain(records).collect();
        Ok(self.decide((), records))
    }
}

fn superseded() -> Refusal {
    Refusal::new(Code::ProgramEnded, "the attempt was superseded").ran(Ran::Yes)
}
