//! The actor's decisions for the tasks that carry turns and calls: each asks the journal's gate,
//! applies the records that it yields, and hands them to the journal in the same step.

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
use crate::owner::shard::Owner;

impl Owner {
    pub(super) fn begin(&mut self, begin: &message::Begin) -> Result<Decided<Begun>, Refusal> {
        let created = self.first_of(&begin.program, &begin.caller, begin.budget)?;
        let gate = decision::Begin {
            program: &begin.program,
            caller: &begin.caller,
            turn: Some(begin.turn),
            messages: &begin.messages,
            digest: begin.digest,
            want: begin.want,
            attempt: begin.attempt,
            endpoint: Some(&begin.endpoint),
            now: self.core.clock.now(),
        };
        let start = match decision::begin(&self.state, &gate) {
            Ok(Turn::Start(start)) => start,
            Ok(_) => return Err(Refusal::new(Code::Internal, "the turn began twice")),
            Err(refusal) => {
                let _durable = self.apply(created.into_iter().collect());
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

    /// Applies the making of a program that doesn't exist yet, and yields its record, which goes
    /// to the journal with the program's first deed.
    fn first_of(
        &mut self,
        program: &id::Program,
        caller: &id::Caller,
        budget: Budget,
    ) -> Result<Option<Record>, Refusal> {
        if self.state.program(program).is_some() {
            return Ok(None);
        }
        let wish = decision::Create {
            program,
            caller,
            tokens: budget.tokens,
            turns: budget.turns,
            idle: budget.idle,
            now: self.core.clock.now(),
        };
        let record = decision::create(&self.state, &wish)?;
        if let Some(record) = &record {
            self.state.apply(record);
        }
        Ok(record)
    }

    pub(super) fn restart(
        &mut self,
        restart: &message::Restart,
    ) -> Result<Decided<decision::Start>, Refusal> {
        let gate = decision::Restart {
            program: &restart.program,
            ended: restart.ended,
            used: restart.used,
            want: restart.want,
            attempt: restart.attempt,
            endpoint: Some(&restart.endpoint),
            now: self.now(),
        };
        let start = decision::restart(&self.state, &gate)?.ok_or_else(superseded)?;
        let records = start.records.clone();
        Ok(self.decide(start, records))
    }

    pub(super) fn commit(&mut self, commit: message::Commit) -> Result<Decided<u32>, Refusal> {
        let turn = self
            .state
            .program(&commit.program)
            .map_or(0, |p| p.committed() + 1);
        let gate = decision::Commit {
            program: &commit.program,
            attempt: commit.attempt,
            messages: commit.messages,
            answer: commit.answer,
            used: commit.used,
            endpoint: &commit.endpoint,
            now: self.core.clock.now(),
        };
        let record = decision::commit(&self.state, gate)?.ok_or_else(superseded)?;
        self.last_endpoints.set(&commit.program, &commit.endpoint);
        Ok(self.decide(turn, [record]))
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
        match decision::blame(&self.state, program, digest, endpoint) {
            decision::Blame::Suspect(records) => self.decide(false, records),
            decision::Blame::Poisoned(records) => {
                poison::condemn(&self.core, self.state.content_digest(program, digest));
                self.decide(true, records)
            }
        }
    }

    pub(super) fn intend(&mut self, intend: &message::Intend) -> Result<Decided<()>, Refusal> {
        let created = self.first_of(&intend.program, &intend.caller, intend.budget)?;
        let gate = decision::Intend {
            program: &intend.program,
            caller: &intend.caller,
            key: &intend.key,
            digest: intend.digest,
            attempt: intend.attempt,
            now: self.now(),
            status: self.status(),
        };
        let records = match decision::intend(&self.state, &gate) {
            Ok(decision::Call::Start(records)) => records,
            Ok(_) => return Err(Refusal::new(Code::Internal, "the call began twice")),
            Err(refusal) => {
                let _durable = self.apply(created.into_iter().collect());
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
