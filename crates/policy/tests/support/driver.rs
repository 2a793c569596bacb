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
use super::outcome::Fate;
use super::outcome::Outcome;
use super::outcome::Record;
use super::rules::Rules;
use super::vm::Home;
use super::vm::Report;
use super::vm::Vm;
use super::work::CALLERS;
use super::work::Pattern;
use super::work::Program;

mod dispatch;
mod failure;

/// How long a caller waits for one turn, with all its attempts, before it gives up the program, in
/// milliseconds.
pub const PATIENCE: u64 = 60_000;
/// Interval between the reports of an endpoint, in milliseconds.
const REPORT: u64 = 500;
/// Interval at which VMs process their queues, in milliseconds.
const TICK: u64 = 100;
/// Interval at which VMs eject and restore endpoints, in milliseconds.
const SWEEP: u64 = 1_000;
/// How many times slower an endpoint becomes in [`Pattern::SlowEndpoint`].
const SLOWER: f64 = 10.0;

/// An event of the simulation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller requests the current turn of its program.
    Ask { program: usize },
    /// A caller's time limit for a turn ends.
    Tire { program: usize, turn: usize },
    /// A call at an endpoint completes a phase. Ignored if the engine's epoch has changed.
    Work { endpoint: usize, epoch: u64 },
    /// An endpoint sends a report.
    Report { endpoint: usize },
    /// A report arrives at the VMs.
    Hear { endpoint: usize, report: usize },
    /// VMs process their queues.
    Tick,
    /// VMs eject and restore endpoints.
    Sweep,
    /// An endpoint starts to fail its calls.
    Crash { endpoint: usize },
    /// The endpoint works as before the failure.
    Mend { endpoint: usize },
    /// A call that was sent to a failing endpoint fails.
    Fail { endpoint: usize, job: usize },
    /// A VM retries a call.
    Retry { program: usize },
    /// An endpoint becomes slow.
    Fault { endpoint: usize },
}

/// The progress of a program.
#[derive(Clone, Copy, Debug, Default)]
struct Standing {
    turn: usize,
    /// When the turn was first requested; 0 if it hasn't been.
    asked: u64,
    /// Tokens of the committed history.
    history: u64,
    /// Tokens that some endpoint has computed.
    known: u64,
    /// Tokens of this turn that were generated before a preemption.
    made: u64,
    /// Service received, in milliseconds.
    attained: u64,
    displaced: u32,
    /// Number of attempts of this turn's call.
    tries: u32,
    home: Option<Home>,
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
    standings: Vec<Standing>,
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
pub fn play(
    of: &Deployment,
    rules: Rules,
    pattern: Pattern,
    programs: &[Program],
    warm: u64,
    span: u64,
) -> Outcome {
    let mut driver = Driver::new(of, rules, programs);
    if pattern == Pattern::SlowEndpoint {
        let endpoint = fastest(of);
        driver.at(span / 3, Event::Fault { endpoint });
    }
    if pattern == Pattern::FailingEndpoint {
        let endpoint = fastest(of);
        driver.at(span / 3, Event::Crash { endpoint });
        driver.at(span * 2 / 3, Event::Mend { endpoint });
    }
    driver.run(span + 10 * PATIENCE);
    outcome::sum(programs, &driver.records, warm, span)
}

fn fastest(of: &Deployment) -> usize {
    let endpoints = of.endpoints.iter().enumerate();
    let best = endpoints.max_by(|a, b| a.1.speed.total_cmp(&b.1.speed));
    best.map_or(0, |(index, _)| index)
}

impl<'a> Driver<'a> {
    fn new(of: &Deployment, rules: Rules, programs: &'a [Program]) -> Self {
        let caller = |n: usize| id::Caller::parse(&format!("caller-{n}")).expect("it is an id");
        let mut driver = Self {
            programs,
            standings: vec![Standing::default(); programs.len()],
            records: vec![Record::new(); programs.len()],
            engines: of.endpoints.iter().map(|e| Engine::new(*e)).collect(),
            vms: (0..of.vms).map(|n| Vm::new(of, rules, n)).collect(),
            reports: Vec::new(),
            failing: Vec::new(),
            callers: (0..CALLERS).map(caller).collect(),
            events: BinaryHeap::new(),
            sequence: 0,
            now: 0,
            lags: of.endpoints.iter().map(|e| e.lag).collect(),
        };
        for (program, of) in programs.iter().enumerate() {
            driver.at(of.arrival, Event::Ask { program });
        }
        for endpoint in 0..of.endpoints.len() {
            let stagger = endpoint as u64 * REPORT / of.endpoints.len() as u64;
            driver.at(stagger, Event::Report { endpoint });
        }
        driver.at(TICK, Event::Tick);
        driver.at(SWEEP, Event::Sweep);
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
            Event::Ask { program } => self.ask(program),
            Event::Tire { program, turn } => self.tire(program, turn),
            Event::Work { endpoint, epoch } if self.engines[endpoint].epoch == epoch => {
                self.work(endpoint);
            }
            Event::Work { .. } => {}
            Event::Report { endpoint } => self.report(endpoint),
            Event::Hear { endpoint, report } => self.hear(endpoint, report),
            Event::Tick => self.tick(),
            Event::Sweep => self.sweep(),
            Event::Crash { endpoint } => {
                for job in self.engines[endpoint].crash(self.now) {
                    self.fail(endpoint, &job);
                }
            }
            Event::Mend { endpoint } => self.engines[endpoint].health = Health::Up,
            Event::Fail { endpoint, job } => {
                let job = self.failing[job].clone();
                self.fail(endpoint, &job);
            }
            Event::Retry { program } => self.retry(program),
            Event::Fault { endpoint } => {
                self.engines[endpoint].set_fault(SLOWER, self.now);
                self.schedule(endpoint);
            }
        }
    }

    fn millis(&self) -> Millis {
        Millis::new(self.now)
    }

    fn ask(&mut self, program: usize) {
        if self.records[program].fate != Fate::Open {
            return;
        }
        let standing = &mut self.standings[program];
        if standing.asked == 0 {
            standing.asked = self.now.max(1);
            let turn = standing.turn;
            self.at(self.now + PATIENCE, Event::Tire { program, turn });
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
                self.pump(vm);
            }
            Rules::RoundRobin | Rules::LeastOutstanding | Rules::Sticky => {
                let home = self.standings[program].home.map(|home| home.endpoint);
                let endpoint = self.vms[vm].direct(home);
                self.send(vm, program, endpoint);
            }
        }
    }

    fn tire(&mut self, program: usize, turn: usize) {
        if self.records[program].fate != Fate::Open || self.standings[program].turn != turn {
            return;
        }
        self.lose(program);
        let vm = program % self.vms.len();
        self.vms[vm].queue.remove(|item| *item == program);
        self.vms[vm].fifo.retain(|item| *item != program);
    }

    fn schedule(&mut self, endpoint: usize) {
        let engine = &self.engines[endpoint];
        let epoch = engine.epoch;
        if let Some(time) = engine.next() {
            self.at(time, Event::Work { endpoint, epoch });
        }
    }

    fn work(&mut self, endpoint: usize) {
        let ended = self.engines[endpoint].step(self.now);
        self.schedule(endpoint);
        for job in ended {
            self.finish(endpoint, &job);
        }
    }

    fn finish(&mut self, endpoint: usize, job: &Job) {
        let now = self.millis();
        let service = self.now - job.begun;
        let vm = &mut self.vms[job.vm];
        vm.views[endpoint]
            .ledger
            .record_ended(Millis::new(job.sent), now);
        vm.under_way.retain(|sent| *sent != job.program);
        vm.learn(job.output, service);
        let pace = service as f64 / job.output as f64;
        vm.detectors[endpoint].note(eject::Sample::Done { pace });
        vm.retries.succeed();
        let record = &mut self.records[job.program];
        let standing = &mut self.standings[job.program];
        let had = job.prompt - job.missed;
        record.again += standing.known.min(job.prompt).saturating_sub(had);
        record.made += job.output;
        standing.sent = None;
        standing.history = job.prompt + job.output;
        standing.known = standing.history;
        standing.attained += service;
        standing.made = 0;
        standing.home = Some(Home {
            endpoint,
            tokens: standing.history,
            at: self.now,
        });
        if record.fate == Fate::Open {
            self.answer(job.program);
        }
        self.pump(job.vm);
    }

    fn answer(&mut self, program: usize) {
        let of = &self.programs[program];
        let standing = &mut self.standings[program];
        let record = &mut self.records[program];
        record.latency += self.now - standing.asked;
        let pause = of.turns[standing.turn].pause;
        standing.asked = 0;
        standing.tries = 0;
        standing.turn += 1;
        if standing.turn == of.turns.len() {
            record.fate = Fate::Whole;
            record.ended = self.now;
            return;
        }
        self.at(self.now + pause, Event::Ask { program });
    }

    fn report(&mut self, endpoint: usize) {
        let engine = &self.engines[endpoint];
        let mut held = engine.cache.clone();
        held.sort_unstable();
        let report = Report {
            at: self.now,
            calls: (engine.running.len() + engine.waiting.len()) as u32,
            speed: engine.pace(),
            held,
        };
        self.reports.push(report);
        let report = self.reports.len() - 1;
        self.at(
            self.now + self.lags[endpoint],
            Event::Hear { endpoint, report },
        );
        self.at(self.now + REPORT, Event::Report { endpoint });
    }

    fn hear(&mut self, endpoint: usize, report: usize) {
        let report = std::mem::take(&mut self.reports[report]);
        for at in 0..self.vms.len() {
            self.vms[at].hear(endpoint, &report);
            self.pump(at);
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
            self.pump(at);
        }
        self.at(self.now + TICK, Event::Tick);
    }

    fn sweep(&mut self) {
        let now = self.millis();
        for vm in &mut self.vms {
            vm.sweep(now);
        }
        self.at(self.now + SWEEP, Event::Sweep);
    }
}
