//! The path of a call from its arrival at a VM to an endpoint: admission, queue, placement,
//! preemption.

use policy::admit;
use policy::class::Class;
use policy::place;
use policy::preempt;
use policy::queue;
use wire::clock::Millis;

use super::Driver;
use super::Event;
use super::PATIENCE;
use super::Sent;
use super::Standing;
use crate::support::engine::Health;
use crate::support::engine::Job;
use crate::support::outcome::Fate;
use crate::support::rules::Rules;
use crate::support::vm;
use crate::support::work::Program;

/// The `retry_after` of the compared admission rules: about what this crate returns at twice the
/// load.
const TRIED_RETRY: Millis = Millis::new(3_000);
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
            stage: match (vm.rules, self.standings[program].turn) {
                (Rules::Ours, 0) => admit::Stage::First,
                _ => admit::Stage::Later,
            },
            deadline: None,
            run: Millis::new(vm.service as u64),
        };
        match admit::decide(&load, &call, &mut vm.rng) {
            Ok(()) if !self.tried_rule_admits(at, program) => {
                self.refuse(program, Some(TRIED_RETRY));
            }
            Ok(()) => {
                let arrived = self.millis();
                self.enqueue(at, program, arrived);
                self.pump(at);
            }
            Err(refusal) => self.refuse(program, refusal.retry_after),
        }
    }

    /// Returns whether the compared admission rule admits the call, if there is one.
    fn tried_rule_admits(&mut self, at: usize, program: usize) -> bool {
        let of = &self.programs[program];
        if of.class == Class::Urgent {
            return true;
        }
        let standing = &self.standings[program];
        let prompt = standing.history + of.turns[standing.turn].add;
        let vm = &mut self.vms[at];
        match (vm.rules, standing.turn) {
            (Rules::Price, turn) => {
                let cost = vm.service * (0.5 + 0.5 * prompt as f64 / MEAN_PROMPT);
                vm.price.admits(self.now, 1.0 + turn as f64, cost)
            }
            (Rules::MaxPower, _) | (Rules::MaxPowerFirst, 0) => vm.power.admits(prompt),
            _ => true,
        }
    }

    pub(super) fn enqueue(&mut self, at: usize, program: usize, arrived: Millis) {
        let of = &self.programs[program];
        let vm = &mut self.vms[at];
        let run = Millis::new(vm.service as u64);
        let entry = queue::Entry {
            item: program,
            class: of.class,
            caller: self.callers[of.caller].clone(),
            attained: Millis::new(self.standings[program].attained),
            cost: run,
            arrived,
            expires: queue::expiry(arrived, of.class, None, run),
        };
        if vm.queue.push(entry).is_err() {
            self.refuse(program, Some(admit::MIN_RETRY_AFTER));
        }
    }

    /// Schedules the caller's next request, or gives up the program if that would exceed the
    /// caller's time limit.
    pub(super) fn refuse(&mut self, program: usize, retry_after: Option<Millis>) {
        self.records[program].refusals += 1;
        let back = self.now + retry_after.unwrap_or(admit::MIN_RETRY_AFTER).as_u64();
        if back < self.standings[program].asked + PATIENCE {
            self.at(back, Event::Ask { program });
            return;
        }
        self.lose(program);
    }

    pub(super) fn lose(&mut self, program: usize) {
        self.records[program].fate = Fate::Lost;
        self.records[program].ended = self.now;
    }

    /// Sends the waiting calls that can be sent.
    pub(super) fn pump(&mut self, at: usize) {
        match self.vms[at].rules {
            Rules::FifoLeast => self.pump_fifo(at),
            Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {}
            _ => {
                self.pump_queue(at);
                self.displace(at);
            }
        }
    }

    fn pump_fifo(&mut self, at: usize) {
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

    fn pump_queue(&mut self, at: usize) {
        let now = self.millis();
        loop {
            let programs = self.programs;
            let standings = &self.standings;
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
                let call = call(programs, standings, entry.item, output);
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
    fn displace(&mut self, at: usize) {
        for _ in 0..self.vms[at].queue.waiting(Class::Urgent) {
            let under_way = self.vms[at].under_way.iter().copied();
            let own: Vec<usize> = under_way
                .filter(|program| self.records[*program].fate == Fate::Open)
                .collect();
            let running: Vec<preempt::Running> =
                own.iter().map(|program| self.running(*program)).collect();
            let Some(chosen) = preempt::choose(&running) else {
                return;
            };
            self.stop(at, own[chosen]);
            self.pump_queue(at);
        }
    }

    fn running(&self, program: usize) -> preempt::Running {
        let standing = &self.standings[program];
        let begun = standing.sent.map_or(self.now, |sent| sent.at);
        let vm = &self.vms[program % self.vms.len()];
        let spent = self.now - begun;
        preempt::Running {
            class: self.programs[program].class,
            resume: preempt::Resume::Possible,
            remaining: Millis::new((vm.service as u64).saturating_sub(spent)),
            prefill_cost: Millis::ZERO,
            attained: Millis::new(standing.attained + spent),
            preemptions: standing.displaced,
        }
    }

    fn stop(&mut self, at: usize, program: usize) {
        let Some(sent) = self.standings[program].sent.take() else {
            return;
        };
        let Some(job) = self.engines[sent.endpoint].cancel(program, self.now) else {
            return;
        };
        self.schedule(sent.endpoint);
        self.vms[at].under_way.retain(|sent| *sent != program);
        let now = self.millis();
        self.vms[at].views[sent.endpoint]
            .ledger
            .record_ended(Millis::new(sent.at), now);
        let made = (job.output as f64 - job.left).max(0.0) as u64;
        let begun = if job.begun == 0 { self.now } else { job.begun };
        let standing = &mut self.standings[program];
        standing.made += made;
        standing.displaced += 1;
        standing.attained += self.now - begun;
        let asked = Millis::new(standing.asked);
        self.enqueue(at, program, asked);
    }

    pub(super) fn send(&mut self, at: usize, program: usize, endpoint: usize) {
        let of = &self.programs[program];
        let standing = &mut self.standings[program];
        let turn = of.turns[standing.turn];
        standing.sent = Some(Sent {
            endpoint,
            at: self.now,
        });
        let output = turn.output.saturating_sub(standing.made).max(1);
        let vm = &mut self.vms[at];
        let job = Job {
            program,
            vm: at,
            class: match vm.rules {
                Rules::FifoLeast | Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {
                    Class::Routine
                }
                _ => of.class,
            },
            prompt: standing.history + turn.add + standing.made,
            output,
            sent: self.now,
            begun: 0,
            miss: 0.0,
            missed: 0,
            left: output as f64,
        };
        vm.under_way.push(program);
        vm.views[endpoint].ledger.record_sent(Millis::new(self.now));
        standing.tries += 1;
        if self.engines[endpoint].health == Health::Failing {
            self.failing.push(job);
            let job = self.failing.len() - 1;
            self.at(self.now + FAIL_TIME, Event::Fail { endpoint, job });
            return;
        }
        self.engines[endpoint].take(job, self.now);
        self.schedule(endpoint);
    }
}

fn call(programs: &[Program], standings: &[Standing], program: usize, output: f64) -> vm::Call {
    let standing = &standings[program];
    let turn = programs[program].turns[standing.turn];
    vm::Call {
        program,
        placed: place::Call {
            class: programs[program].class,
            prompt: standing.history + turn.add + standing.made,
            output: (output as u64).saturating_sub(standing.made).max(16),
            salt: (program as u64) << 16 | standing.turn as u64,
        },
        home: standing.home,
    }
}
