//! The course of a play on a virtual clock: programs begin, engines work on their turns, VMs restart,
//! and an engine fails.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use policy::home;
use policy::prefix::Cache;
use policy::prefix::Demand;
use policy::prefix::Part;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::engine::Engine;
use crate::engine::Job;
use crate::engine::MEMORY;
use crate::engine::SLOTS;
use crate::play::ENGINES;
use crate::play::FAILURE;
use crate::play::FIRST_TOKENS;
use crate::play::Outcome;
use crate::play::Play;
use crate::play::RECOVERY;
use crate::play::RESTART;
use crate::play::trouble;

/// Tokens per second of a stream that runs alone at an engine of middle speed.
const SPEED: f64 = 100.0;
/// Speeds of the engines as shares of [`SPEED`].
const SPEEDS: [f64; 3] = [0.8, 1.0, 1.2];
/// Milliseconds between two reports, each as old as the interval when the next one comes.
const REPORT_INTERVAL: u64 = 200;
/// Tokens that a program's first turn, each later turn, and a turn's output have.
const OWN_TOKENS: u64 = 2_000;
const ADDED_TOKENS: u64 = 200;
pub const OUTPUT_TOKENS: u64 = 300;
/// Mean turns of a program, those of its sub-agents included.
const PROGRAM_TURNS: f64 = 7.2;
/// Turns a second that the engines can do if each token of a prompt is read once.
const CAPACITY: f64 = 108.0;
/// Milliseconds in which programs begin, and until which turns are played to their end.
const SPAN: u64 = 180_000;
/// The engine that fails.
const FAILING: usize = 7;

/// A line of turns: a program's own, or a sub-agent's.
#[derive(Clone, Debug)]
pub struct Line {
    pub program: u64,
    pub session: u64,
    pub prompt: Vec<Part>,
    turns_left: u32,
    is_sub_agent: bool,
    pub vm: usize,
    arrived: u64,
    /// Its own randomness, so that the same programs come whatever the way.
    pub rng: ChaCha8Rng,
}

/// What one VM knows.
#[derive(Clone, Debug)]
pub struct Vm {
    pub caches: Vec<Cache>,
    pub demand: Demand,
    pub demand_for_places: Demand,
    pub in_flight: Vec<u32>,
    pub sent: Vec<u32>,
    pub ended: Vec<u32>,
}

impl Vm {
    fn new() -> Self {
        Self {
            caches: vec![Cache::new(2 * MEMORY); ENGINES],
            demand: Demand::default(),
            demand_for_places: home::demand(),
            in_flight: vec![0; ENGINES],
            sent: vec![0; ENGINES],
            ended: vec![0; ENGINES],
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Begin,
    Turn(usize),
    Step(usize, u64),
    Report,
    Restart,
    Failure,
    Recovery,
}

pub struct State {
    pub play: Play,
    rng: ChaCha8Rng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    next_id: u64,
    pub lines: Vec<Line>,
    pub engines: Vec<Engine>,
    pub ids: Vec<u64>,
    pub vms: Vec<Vm>,
    pub reported: Vec<u32>,
    /// Where and when the turns of each program were sent.
    pub told: Vec<Vec<(u64, usize)>>,
    outcome: Outcome,
}

fn exponential(rng: &mut ChaCha8Rng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

pub fn play(play: Play) -> Outcome {
    let engine = |at: usize| Engine {
        speed: SPEED * SPEEDS[at % SPEEDS.len()],
        is_up: true,
        ..Engine::default()
    };
    let mut state = State {
        play,
        rng: ChaCha8Rng::seed_from_u64(play.seed),
        events: BinaryHeap::new(),
        order: 0,
        next_id: 1_000,
        lines: Vec::new(),
        engines: (0..ENGINES).map(engine).collect(),
        ids: (0..ENGINES as u64).map(|at| at * 7_919 + 3).collect(),
        vms: vec![Vm::new(); play.vms],
        reported: vec![0; ENGINES],
        told: Vec::new(),
        outcome: Outcome {
            turns_of_engine: vec![0; ENGINES],
            ..Outcome::default()
        },
    };
    state.push(0, Event::Begin);
    state.push(0, Event::Report);
    state.push(RESTART, Event::Restart);
    state.push(FAILURE, Event::Failure);
    state.push(RECOVERY, Event::Recovery);
    while let Some(Reverse((now, _, event))) = state.events.pop() {
        if now >= SPAN {
            break;
        }
        state.handle(event, now);
    }
    state.outcome.times.sort_unstable();
    state.outcome.times_after_failure.sort_unstable();
    state.outcome
}

impl State {
    fn push(&mut self, at: u64, event: Event) {
        self.order += 1;
        self.events.push(Reverse((at, self.order, event)));
    }

    fn handle(&mut self, event: Event, now: u64) {
        match event {
            Event::Begin => self.begin(now),
            Event::Turn(line) => self.place(line, now),
            Event::Step(engine, epoch) => {
                if self.engines[engine].epoch == epoch {
                    self.step(engine, now);
                }
            }
            Event::Report => {
                let loads = self.engines.iter();
                let loads =
                    loads.map(|engine| (engine.running.len() + engine.waiting.len()) as u32);
                self.reported = loads.collect();
                for vm in &mut self.vms {
                    vm.sent.fill(0);
                    vm.ended.fill(0);
                }
                self.push(now + REPORT_INTERVAL, Event::Report);
            }
            Event::Restart => {
                for vm in &mut self.vms {
                    let in_flight = std::mem::take(&mut vm.in_flight);
                    *vm = Vm::new();
                    vm.in_flight = in_flight;
                }
                self.told.iter_mut().for_each(Vec::clear);
            }
            Event::Failure => self.fail(now),
            Event::Recovery => self.engines[FAILING].is_up = true,
        }
    }

    fn id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn begin(&mut self, now: u64) {
        let programs_per_second = self.play.load * CAPACITY / PROGRAM_TURNS;
        let next = exponential(&mut self.rng, 1_000.0 / programs_per_second);
        self.push(now + next.ceil() as u64, Event::Begin);
        let weights = (1..=self.play.first_parts).map(|rank| 1.0 / rank as f64);
        let mut draw = self.rng.random::<f64>() * weights.clone().sum::<f64>();
        let mut first = 0;
        for weight in weights {
            first += 1;
            draw -= weight;
            if draw <= 0.0 {
                break;
            }
        }
        let first_part = Part {
            id: first,
            tokens: FIRST_TOKENS + first % 5 * 1_000 - 2_000,
        };
        let own = Part {
            id: self.id(),
            tokens: OWN_TOKENS,
        };
        let line = Line {
            program: self.told.len() as u64,
            session: self.id(),
            prompt: vec![first_part, own],
            turns_left: self.rng.random_range(3..=9),
            is_sub_agent: false,
            vm: self.rng.random_range(0..self.play.vms),
            arrived: now,
            rng: ChaCha8Rng::seed_from_u64(self.rng.random()),
        };
        self.told.push(Vec::new());
        self.lines.push(line);
        self.push(now, Event::Turn(self.lines.len() - 1));
    }

    /// Gives free slots to waiting requests, and counts what they have to read.
    pub fn start(&mut self, at: usize, now: u64) {
        let trouble = trouble(now);
        let engine = &mut self.engines[at];
        while engine.running.len() < SLOTS as usize && !engine.waiting.is_empty() {
            let mut job = engine.waiting.remove(0);
            let prompt = &self.lines[job.line].prompt;
            let held = engine.cached_parts(prompt);
            let outcome = &mut self.outcome;
            for (index, part) in prompt.iter().enumerate() {
                outcome.prompt += part.tokens;
                if let Some(trouble) = trouble {
                    outcome.after[trouble][0] += part.tokens;
                }
                if index < held || index + 1 == prompt.len() {
                    continue;
                }
                let reads =
                    |job: &Job| job.prefill_left > 0.0 && self.lines[job.line].prompt[0] == *part;
                let cause = if index > 0 {
                    &mut outcome.history
                } else if engine.running.iter().any(reads) {
                    &mut outcome.under_way
                } else if engine.had.contains(&part.id) {
                    &mut outcome.evicted
                } else {
                    &mut outcome.spread
                };
                *cause += part.tokens;
                if let Some(trouble) = trouble {
                    outcome.after[trouble][1] += part.tokens;
                }
            }
            engine.had.push(prompt[0].id);
            engine.had.sort_unstable();
            engine.had.dedup();
            engine.remember(&prompt[..held], now);
            let missing: u64 = prompt[held..].iter().map(|part| part.tokens).sum();
            job.prefill_left = missing as f64;
            if missing == 0 {
                engine.remember(prompt, now);
            }
            engine.running.push(job);
        }
        engine.epoch += 1;
        let epoch = engine.epoch;
        if let Some(next) = engine.next_event() {
            self.push(next, Event::Step(at, epoch));
        }
    }

    fn step(&mut self, at: usize, now: u64) {
        let reading = self.engines[at].reading();
        let engine = &mut self.engines[at];
        engine.advance(now);
        if let Some(index) = reading
            && engine.running[index].prefill_left <= 0.0
        {
            let line = engine.running[index].line;
            engine.remember(&self.lines[line].prompt, now);
        }
        let ended = |job: &mut Job| job.prefill_left <= 0.0 && job.output_left <= 0.01;
        let ended: Vec<Job> = engine.running.extract_if(.., ended).collect();
        for job in ended {
            self.end(&job, at, now);
        }
        self.start(at, now);
    }

    fn end(&mut self, job: &Job, at: usize, now: u64) {
        self.leave(job, at);
        let line = &mut self.lines[job.line];
        self.outcome.turns += 1;
        self.outcome.turns_of_engine[at] += 1;
        self.outcome.times.push(now - line.arrived);
        if trouble(now) == Some(1) {
            self.outcome.times_after_failure.push(now - line.arrived);
        }
        if let Some(last) = line.prompt.last_mut() {
            last.tokens += OUTPUT_TOKENS;
        }
        self.engines[at].remember(&line.prompt, now);
        line.turns_left -= 1;
        let starts_agents =
            !line.is_sub_agent && line.prompt.len() == 3 && line.rng.random::<f64>() < 0.3;
        let seeds: [u64; 2] = line.rng.random();
        let line = line.clone();
        if starts_agents {
            for seed in seeds {
                let sub_agent = Line {
                    session: self.id(),
                    turns_left: 2,
                    is_sub_agent: true,
                    rng: ChaCha8Rng::seed_from_u64(seed),
                    ..line.clone()
                };
                self.lines.push(sub_agent);
                self.go_on(self.lines.len() - 1, now);
            }
        }
        if line.turns_left > 0 {
            self.go_on(job.line, now);
        }
    }

    fn go_on(&mut self, index: usize, now: u64) {
        let added = Part {
            id: self.id(),
            tokens: ADDED_TOKENS,
        };
        let line = &mut self.lines[index];
        let at = now + 300 + exponential(&mut line.rng, 1_200.0) as u64;
        line.prompt.push(added);
        line.arrived = at;
        self.push(at, Event::Turn(index));
    }

    fn leave(&mut self, job: &Job, at: usize) {
        let vm = &mut self.vms[job.vm];
        vm.in_flight[at] -= 1;
        if vm.sent[at] > 0 {
            vm.sent[at] -= 1;
        } else {
            vm.ended[at] += 1;
        }
    }

    fn fail(&mut self, now: u64) {
        let engine = &mut self.engines[FAILING];
        engine.is_up = false;
        engine.cache.clear();
        engine.had.clear();
        engine.epoch += 1;
        engine.updated = now;
        let mut lost = std::mem::take(&mut engine.running);
        lost.append(&mut engine.waiting);
        for job in lost {
            self.leave(&job, FAILING);
            self.push(now + 50, Event::Turn(job.line));
        }
    }
}
