//! The event loop: callers send requests, VMs decide, endpoints run calls, reports arrive late.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use policy::admit;
use policy::eject;
use wire::clock::Millis;
use wire::id;

use super::deployment::Deployment;
use super::engine::Engine;
use super::engine::Health;
use super::engine::Job;
use super::outcome;
use super::outcome::Outcome;
use super::outcome::Record;
use super::outcome::Status;
use super::rules::Rules;
use super::vm::PrefixLocation;
use super::vm::Report;
use super::vm::Vm;
use super::work::CALLERS;
use super::work::Pattern;
use super::work::Program;

mod dispatch;
mod failure;

/// How long a caller waits for one turn, with all its attempts, before it gives up the program, in
/// milliseconds.
pub const CALLER_TIMEOUT: u64 = 60_000;
/// Interval between the reports of an endpoint, in milliseconds.
const REPORT_INTERVAL: u64 = 500;
/// Interval at which VMs process their queues, in milliseconds.
const TICK_INTERVAL: u64 = 100;
/// Interval at which VMs eject and restore endpoints, in milliseconds.
const SWEEP_INTERVAL: u64 = 1_000;
/// How many times slower an endpoint becomes in [`Pattern::SlowEndpoint`].
const SLOWDOWN: f64 = 10.0;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller requests the current turn of its program.
    Request { program: usize },
    /// A caller's time limit for a turn ends.
    Timeout { program: usize, turn: usize },
    /// A call at an endpoint completes a phase. Ignored if the engine's epoch has changed.
    PhaseEnd { endpoint: usize, epoch: u64 },
    /// An endpoint sends a report.
    Report { endpoint: usize },
    /// A report arrives at the VMs.
    ReportArrival { endpoint: usize, report: usize },
    /// VMs process their queues.
    Tick,
    /// VMs eject and restore endpoints.
    Sweep,
    /// An endpoint starts to fail its calls.
    Crash { endpoint: usize },
    /// The endpoint works as before the failure.
    Recover { endpoint: usize },
    /// A call that was sent to a failing endpoint fails.
    Fail { endpoint: usize, job: usize },
    /// A VM retries a call.
    Retry { program: usize },
    /// An endpoint becomes slow.
    SlowDown { endpoint: usize },
}

/// The progress of a program.
#[derive(Clone, Copy, Debug, Default)]
struct Progress {
    turn: usize,
    /// When the turn was first requested; 0 if it hasn't been.
    requested: u64,
    /// Tokens of the committed history.
    history: u64,
    /// Tokens that some endpoint has computed.
    computed: u64,
    /// Tokens of this turn that were generated before a preemption.
    generated: u64,
    /// Service received, in milliseconds.
    attained: u64,
    preemptions: u32,
    /// Number of attempts of this turn's call.
    tries: u32,
    prefix_location: Option<PrefixLocation>,
    sent: Option<Sent>,
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    endpoint: usize,
    at: u64,
}

/// A simulation in progress.
pub struct Driver<'a> {
    programs: &'a [Program],
    progress: Vec<Progress>,
    records: Vec<Record>,
    engines: Vec<Engine>,
    vms: Vec<Vm>,
    reports: Vec<Report>,
    /// Calls that were sent to a failing endpoint.
    failing: Vec<Job>,
    callers: Vec<id::Caller>,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    now: u64,
    lags: Vec<u64>,
}

/// Simulates the programs under one set of rules; counts those that begin after `warm`.
pub fn simulate(
    deployment: &Deployment,
    rules: Rules,
    pattern: Pattern,
    programs: &[Program],
    warm: u64,
    span: u64,
) -> Outcome {
    let mut driver = Driver::new(deployment, rules, programs);
    if pattern == Pattern::SlowEndpoint {
        let endpoint = fastest(deployment);
        driver.at(span / 3, Event::SlowDown { endpoint });
    }
    if pattern == Pattern::FailingEndpoint {
        let endpoint = fastest(deployment);
        driver.at(span / 3, Event::Crash { endpoint });
        driver.at(span * 2 / 3, Event::Recover { endpoint });
    }
    driver.run(span + 10 * CALLER_TIMEOUT);
    outcome::summarize(programs, &driver.records, warm, span)
}

fn fastest(deployment: &Deployment) -> usize {
    let endpoints = deployment.endpoints.iter().enumerate();
    let best = endpoints.max_by(|a, b| a.1.speed.total_cmp(&b.1.speed));
    best.map_or(0, |(index, _)| index)
}

impl<'a> Driver<'a> {
    fn new(deployment: &Deployment, rules: Rules, programs: &'a [Program]) -> Self {
        let caller = |n: usize| {
            id::Caller::parse(&format!("caller-{n}")).expect("the caller name is a valid id")
        };
        let mut driver = Self {
            programs,
            progress: vec![Progress::default(); programs.len()],
            records: vec![Record::new(); programs.len()],
            engines: deployment
                .endpoints
                .iter()
                .map(|e| Engine::new(*e))
                .collect(),
            vms: (0..deployment.vms)
                .map(|n| Vm::new(deployment, rules, n))
                .collect(),
            reports: Vec::new(),
            failing: Vec::new(),
            callers: (0..CALLERS).map(caller).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            lags: deployment.endpoints.iter().map(|e| e.lag).collect(),
        };
        for (program, spec) in programs.iter().enumerate() {
            driver.at(spec.arrival, Event::Request { program });
        }
        for endpoint in 0..deployment.endpoints.len() {
            let offset = endpoint as u64 * REPORT_INTERVAL / deployment.endpoints.len() as u64;
            driver.at(offset, Event::Report { endpoint });
        }
        driver.at(TICK_INTERVAL, Event::Tick);
        driver.at(SWEEP_INTERVAL, Event::Sweep);
        driver
    }

    fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            if time > until {
                return;
            }
            self.now = time;
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request { program } => self.request(program),
            Event::Timeout { program, turn } => self.time_out(program, turn),
            Event::PhaseEnd { endpoint, epoch } if self.engines[endpoint].epoch == epoch => {
                self.advance_engine(endpoint);
            }
            Event::PhaseEnd { .. } => {}
            Event::Report { endpoint } => self.report(endpoint),
            Event::ReportArrival { endpoint, report } => self.receive_report(endpoint, report),
            Event::Tick => self.tick(),
            Event::Sweep => self.sweep(),
            Event::Crash { endpoint } => {
                for job in self.engines[endpoint].crash(self.now) {
                    self.fail(endpoint, &job);
                }
            }
            Event::Recover { endpoint } => self.engines[endpoint].health = Health::Up,
            Event::Fail { endpoint, job } => {
                let job = self.failing[job].clone();
                self.fail(endpoint, &job);
            }
            Event::Retry { program } => self.retry(program),
            Event::SlowDown { endpoint } => {
                self.engines[endpoint].set_slowdown(SLOWDOWN, self.now);
                self.schedule(endpoint);
            }
        }
    }

    fn millis(&self) -> Millis {
        Millis::new(self.now)
    }

    fn request(&mut self, program: usize) {
        if self.records[program].status != Status::Open {
            return;
        }
        let progress = &mut self.progress[program];
        if progress.requested == 0 {
            progress.requested = self.now.max(1);
            let turn = progress.turn;
            self.at(self.now + CALLER_TIMEOUT, Event::Timeout { program, turn });
        }
        let vm = program % self.vms.len();
        match self.vms[vm].rules {
            Rules::Ours
            | Rules::Price
            | Rules::MaxPower
            | Rules::MaxPowerFirst
            | Rules::Unlimited => self.admit(vm, program),
            Rules::FifoLeast => {
                self.vms[vm].fifo.push_back(program);
                self.dispatch(vm);
            }
            Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {
                let prefix_endpoint = self.progress[program]
                    .prefix_location
                    .map(|location| location.endpoint);
                let endpoint = self.vms[vm].choose_without_queue(prefix_endpoint);
                self.send(vm, program, endpoint);
            }
        }
    }

    fn time_out(&mut self, program: usize, turn: usize) {
        if self.records[program].status != Status::Open || self.progress[program].turn != turn {
            return;
        }
        self.mark_lost(program);
        let vm = program % self.vms.len();
        self.vms[vm].queue.remove(|item| *item == program);
        self.vms[vm].fifo.retain(|item| *item != program);
    }

    fn schedule(&mut self, endpoint: usize) {
        let engine = &self.engines[endpoint];
        let epoch = engine.epoch;
        if let Some(time) = engine.next_event() {
            self.at(time, Event::PhaseEnd { endpoint, epoch });
        }
    }

    fn advance_engine(&mut self, endpoint: usize) {
        let ended = self.engines[endpoint].step(self.now);
        self.schedule(endpoint);
        for job in ended {
            self.finish(endpoint, &job);
        }
    }

    fn finish(&mut self, endpoint: usize, job: &Job) {
        let now = self.millis();
        let service = self.now - job.started;
        let vm = &mut self.vms[job.vm];
        vm.views[endpoint]
            .own_calls
            .record_ended(Millis::new(job.sent), now);
        vm.in_flight.retain(|sent| *sent != job.program);
        vm.update_means(job.output, service);
        let pace = service as f64 / job.output as f64;
        vm.detectors[endpoint].note(eject::Sample::Done { pace });
        vm.retries.succeed();
        let record = &mut self.records[job.program];
        let progress = &mut self.progress[job.program];
        let cached = job.prompt - job.cache_miss;
        record.recomputed += progress.computed.min(job.prompt).saturating_sub(cached);
        record.generated += job.output;
        progress.sent = None;
        progress.history = job.prompt + job.output;
        progress.computed = progress.history;
        progress.attained += service;
        progress.generated = 0;
        progress.prefix_location = Some(PrefixLocation {
            endpoint,
            tokens: progress.history,
            at: self.now,
        });
        if record.status == Status::Open {
            self.answer(job.program);
        }
        self.dispatch(job.vm);
    }

    fn answer(&mut self, program: usize) {
        let spec = &self.programs[program];
        let progress = &mut self.progress[program];
        let record = &mut self.records[program];
        record.latency += self.now - progress.requested;
        let pause = spec.turns[progress.turn].pause;
        progress.requested = 0;
        progress.tries = 0;
        progress.turn += 1;
        if progress.turn == spec.turns.len() {
            record.status = Status::Finished;
            record.ended = self.now;
            return;
        }
        self.at(self.now + pause, Event::Request { program });
    }

    fn report(&mut self, endpoint: usize) {
        let engine = &self.engines[endpoint];
        let mut cached = engine.cache.clone();
        cached.sort_unstable();
        let report = Report {
            at: self.now,
            calls: (engine.running.len() + engine.waiting.len()) as u32,
            speed: engine.speed(),
            cached,
        };
        self.reports.push(report);
        let report = self.reports.len() - 1;
        self.at(
            self.now + self.lags[endpoint],
            Event::ReportArrival { endpoint, report },
        );
        self.at(self.now + REPORT_INTERVAL, Event::Report { endpoint });
    }

    fn receive_report(&mut self, endpoint: usize, report: usize) {
        let report = std::mem::take(&mut self.reports[report]);
        for at in 0..self.vms.len() {
            self.vms[at].receive_report(endpoint, &report);
            self.dispatch(at);
        }
    }

    fn tick(&mut self) {
        let now = self.millis();
        for at in 0..self.vms.len() {
            let vm = &mut self.vms[at];
            vm.drain.roll(now);
            for entry in vm.queue.take_expired(now) {
                let vm = &mut self.vms[at];
                let load = admit::Load::of(&vm.queue, &vm.drain, entry.class, &entry.caller);
                let refusal = admit::refuse_expired(&load, &mut vm.rng);
                self.refuse(entry.item, refusal.retry_after);
            }
            self.dispatch(at);
        }
        self.at(self.now + TICK_INTERVAL, Event::Tick);
    }

    fn sweep(&mut self) {
        let now = self.millis();
        for vm in &mut self.vms {
            vm.sweep(now);
        }
        self.at(self.now + SWEEP_INTERVAL, Event::Sweep);
    }
}
