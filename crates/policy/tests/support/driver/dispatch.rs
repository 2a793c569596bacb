//! The path of a call from its arrival at a VM to an endpoint: admission, queue, placement,
//! preemption.

use policy::admit;
use policy::class::Class;
use policy::place;
use policy::preempt;
use policy::queue;
use wire::clock::Millis;

use super::CALLER_TIMEOUT;
use super::Driver;
use super::Event;
use super::Progress;
use super::Sent;
use crate::support::engine::Health;
use crate::support::engine::Job;
use crate::support::outcome::Status;
use crate::support::rules::Rules;
use crate::support::vm;
use crate::support::work::Program;

/// The `retry_after` of the compared admission rules: about what this crate returns at twice the
/// load.
const COMPARED_RETRY_AFTER: Millis = Millis::new(3_000);
/// How soon a failing endpoint fails a call, in milliseconds.
const FAIL_TIME: u64 = 5;
/// Prompt tokens of a mean call, to compute the cost that the price applies to.
const MEAN_PROMPT: f64 = 3_000.0;

impl Driver<'_> {
    pub(super) fn admit(&mut self, at: usize, program: usize) {
        let class = self.programs[program].class;
        let caller = &self.callers[self.programs[program].caller];
        let vm = &mut self.vms[at];
        let load = admit::Load::of(&vm.queue, &vm.drain, class, caller);
        let call = admit::Call {
            class,
            stage: match (vm.rules, self.progress[program].turn) {
                (Rules::Ours, 0) => admit::Stage::First,
                _ => admit::Stage::Later,
            },
            deadline: None,
            run: Millis::new(vm.service as u64),
        };
        match admit::decide(&load, &call, &mut vm.rng) {
            Ok(()) if !self.compared_rule_admits(at, program) => {
                self.refuse(program, Some(COMPARED_RETRY_AFTER));
            }
            Ok(()) => {
                let arrived = self.millis();
                self.enqueue(at, program, arrived);
                self.dispatch(at);
            }
            Err(refusal) => self.refuse(program, refusal.retry_after),
        }
    }

    /// Returns whether the compared admission rule admits the call, if there is one.
    fn compared_rule_admits(&mut self, at: usize, program: usize) -> bool {
        let spec = &self.programs[program];
        if spec.class == Class::Urgent {
            return true;
        }
        let progress = &self.progress[program];
        let prompt = progress.history + spec.turns[progress.turn].added_prompt;
        let vm = &mut self.vms[at];
        match (vm.rules, progress.turn) {
            (Rules::Price, turn) => {
                let cost = vm.service * (0.5 + 0.5 * prompt as f64 / MEAN_PROMPT);
                vm.price.admits(self.now, 1.0 + turn as f64, cost)
            }
            (Rules::MaxPower, _) | (Rules::MaxPowerFirst, 0) => vm.power.admits(prompt),
            _ => true,
        }
    }

    pub(super) fn enqueue(&mut self, at: usize, program: usize, arrived: Millis) {
        let spec = &self.programs[program];
        let vm = &mut self.vms[at];
        let run = Millis::new(vm.service as u64);
        let entry = queue::Entry {
            item: program,
            class: spec.class,
            caller: self.callers[spec.caller].clone(),
            attained: Millis::new(self.progress[program].attained),
            cost: run,
            arrived,
            expires: queue::expiry(arrived, spec.class, None, run),
        };
        if vm.queue.push(entry).is_err() {
            self.refuse(program, Some(admit::MIN_RETRY_AFTER));
        }
    }

    /// Schedules the caller's next request, or gives up the program if that would exceed the
    /// caller's time limit.
    pub(super) fn refuse(&mut self, program: usize, retry_after: Option<Millis>) {
        self.records[program].refusals += 1;
        let retry_at = self.now + retry_after.unwrap_or(admit::MIN_RETRY_AFTER).as_u64();
        if retry_at < self.progress[program].requested + CALLER_TIMEOUT {
            self.at(retry_at, Event::Request { program });
            return;
        }
        self.mark_lost(program);
    }

    pub(super) fn mark_lost(&mut self, program: usize) {
        self.records[program].status = Status::Lost;
        self.records[program].ended = self.now;
    }

    /// Sends the waiting calls that can be sent.
    pub(super) fn dispatch(&mut self, at: usize) {
        match self.vms[at].rules {
            Rules::FifoLeast => self.dispatch_fifo(at),
            Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {}
            _ => {
                self.dispatch_queue(at);
                self.preempt(at);
            }
        }
    }

    fn dispatch_fifo(&mut self, at: usize) {
        while !self.vms[at].fifo.is_empty() {
            let endpoint = self.vms[at].least_outstanding();
            if !self.vms[at].has_slot(endpoint) {
                return;
            }
            if let Some(program) = self.vms[at].fifo.pop_front() {
                self.send(at, program, endpoint);
            }
        }
    }

    fn dispatch_queue(&mut self, at: usize) {
        let now = self.millis();
        loop {
            let programs = self.programs;
            let progress = &self.progress;
            let vm = &mut self.vms[at];
            let mut endpoint = 0;
            let fleet = vm::Fleet {
                views: &vm.views,
                lanes: &vm.lanes,
                detectors: &vm.detectors,
                weights: &vm.weights,
            };
            let output = vm.output;
            let mut candidates = fleet.candidates(now);
            let entry = vm.queue.pop_where(|entry| {
                let call = call(programs, progress, entry.item, output);
                let Some(choice) = fleet.choose(&call, &mut candidates) else {
                    return false;
                };
                endpoint = choice.index;
                candidates[endpoint].claimed += 1;
                choice.start == place::Start::Now
            });
            let Some(entry) = entry else {
                return;
            };
            let left = vm.queue.len();
            vm.drain.count(now, left);
            self.send(at, entry.item, endpoint);
        }
    }

    /// Preempts routine calls in favour of waiting urgent ones.
    fn preempt(&mut self, at: usize) {
        for _ in 0..self.vms[at].queue.waiting(Class::Urgent) {
            let in_flight = self.vms[at].in_flight.iter().copied();
            let own: Vec<usize> = in_flight
                .filter(|program| self.records[*program].status == Status::Open)
                .collect();
            let running: Vec<preempt::Running> =
                own.iter().map(|program| self.running(*program)).collect();
            let Some(chosen) = preempt::choose(&running) else {
                return;
            };
            self.preempt_call(at, own[chosen]);
            self.dispatch_queue(at);
        }
    }

    fn running(&self, program: usize) -> preempt::Running {
        let progress = &self.progress[program];
        let started = progress.sent.map_or(self.now, |sent| sent.at);
        let vm = &self.vms[program % self.vms.len()];
        let spent = self.now - started;
        preempt::Running {
            class: self.programs[program].class,
            resume: preempt::Resume::Possible,
            remaining: Millis::new((vm.service as u64).saturating_sub(spent)),
            prefill_cost: Millis::ZERO,
            attained: Millis::new(progress.attained + spent),
            preemptions: progress.preemptions,
        }
    }

    fn preempt_call(&mut self, at: usize, program: usize) {
        let Some(sent) = self.progress[program].sent.take() else {
            return;
        };
        let Some(job) = self.engines[sent.endpoint].cancel(program, self.now) else {
            return;
        };
        self.schedule(sent.endpoint);
        self.vms[at].in_flight.retain(|sent| *sent != program);
        let now = self.millis();
        self.vms[at].views[sent.endpoint]
            .own_calls
            .record_ended(Millis::new(sent.at), now);
        let generated = (job.output as f64 - job.output_left).max(0.0) as u64;
        let started = if job.started == 0 {
            self.now
        } else {
            job.started
        };
        let progress = &mut self.progress[program];
        progress.generated += generated;
        progress.preemptions += 1;
        progress.attained += self.now - started;
        let requested = Millis::new(progress.requested);
        self.enqueue(at, program, requested);
    }

    pub(super) fn send(&mut self, at: usize, program: usize, endpoint: usize) {
        let spec = &self.programs[program];
        let progress = &mut self.progress[program];
        let turn = spec.turns[progress.turn];
        progress.sent = Some(Sent {
            endpoint,
            at: self.now,
        });
        let output = turn.output.saturating_sub(progress.generated).max(1);
        let vm = &mut self.vms[at];
        let job = Job {
            program,
            vm: at,
            class: match vm.rules {
                Rules::FifoLeast | Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {
                    Class::Routine
                }
                _ => spec.class,
            },
            prompt: progress.history + turn.added_prompt + progress.generated,
            output,
            sent: self.now,
            started: 0,
            prefill_left: 0.0,
            cache_miss: 0,
            output_left: output as f64,
        };
        vm.in_flight.push(program);
        vm.views[endpoint]
            .own_calls
            .record_sent(Millis::new(self.now));
        progress.tries += 1;
        if self.engines[endpoint].health == Health::Failing {
            self.failing.push(job);
            let job = self.failing.len() - 1;
            self.at(self.now + FAIL_TIME, Event::Fail { endpoint, job });
            return;
        }
        self.engines[endpoint].add(job, self.now);
        self.schedule(endpoint);
    }
}

fn call(programs: &[Program], progress: &[Progress], program: usize, output: f64) -> vm::Call {
    let progress = &progress[program];
    let turn = programs[program].turns[progress.turn];
    vm::Call {
        program,
        placed: place::Call {
            class: programs[program].class,
            prompt: progress.history + turn.added_prompt + progress.generated,
            output: (output as u64).saturating_sub(progress.generated).max(16),
            salt: (program as u64) << 16 | progress.turn as u64,
        },
        prefix_location: progress.prefix_location,
    }
}
