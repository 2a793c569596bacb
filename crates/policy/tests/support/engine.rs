//! Models an endpoint: slots, continuous batching, prefill, and a bounded prefix cache that evicts
//! the least recently used program. Calls without a slot wait at the endpoint; if it is told the
//! class of calls, the urgent ones go first.

use policy::class::Class;

use super::deployment::Endpoint;

/// How much slower each call generates in a full batch than alone.
const BATCH_SLOWDOWN: f64 = 0.5;
/// Factor on the generation rate of calls while a prompt is prefilled beside them.
const BESIDE_PREFILL_FACTOR: f64 = 0.7;
/// A phase with fewer tokens left than this is complete.
const EPSILON: f64 = 1e-6;

/// A call at an endpoint.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its program's index.
    pub program: usize,
    /// The VM that sent it.
    pub vm: usize,
    /// Its class, as the engine is told.
    pub class: Class,
    /// Tokens of the prompt, including what was generated before a preemption.
    pub prompt: u64,
    /// Tokens to generate.
    pub output: u64,
    /// When it was sent.
    pub sent: u64,
    /// When it got its slot.
    pub started: u64,
    /// Prompt tokens that remain to be prefilled.
    pub prefill_left: f64,
    /// Prompt tokens that the cache lacked when it got its slot.
    pub cache_miss: u64,
    /// Tokens that remain to be generated.
    pub output_left: f64,
}

/// Whether an endpoint works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// It works.
    Up,
    /// It fails each call at once, and loses its cache.
    Failing,
}

/// The state of an endpoint.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Its properties.
    pub spec: Endpoint,
    /// Calls that have a slot.
    pub running: Vec<Job>,
    /// Calls that wait for a slot.
    pub waiting: Vec<Job>,
    /// Programs and their cached tokens, least recently used first.
    pub cache: Vec<(usize, u64)>,
    /// How many times slower it is than its properties say.
    pub slowdown: f64,
    /// Whether it works.
    pub health: Health,
    /// Grows with each change; an event of an earlier epoch is void.
    pub epoch: u64,
    updated: u64,
}

impl Engine {
    /// Creates an idle endpoint.
    pub fn new(spec: Endpoint) -> Self {
        Self {
            spec,
            running: Vec::new(),
            waiting: Vec::new(),
            cache: Vec::new(),
            slowdown: 1.0,
            health: Health::Up,
            epoch: 0,
            updated: 0,
        }
    }

    /// Accepts a call.
    pub fn add(&mut self, job: Job, now: u64) {
        self.advance(now);
        let at = match job.class {
            Class::Urgent => self.waiting.iter().position(|j| j.class == Class::Routine),
            Class::Routine => None,
        };
        self.waiting.insert(at.unwrap_or(self.waiting.len()), job);
        self.start(now);
    }

    /// Advances to a time; returns the calls that ended.
    pub fn step(&mut self, now: u64) -> Vec<Job> {
        self.advance(now);
        let ended: Vec<Job> = self
            .running
            .extract_if(.., |job| {
                job.prefill_left <= EPSILON && job.output_left <= EPSILON
            })
            .collect();
        for job in &ended {
            self.cache_program(job.program, job.prompt + job.output);
        }
        self.start(now);
        ended
    }

    /// Stops a call and returns it; what it has generated is missing from `output_left`.
    pub fn cancel(&mut self, program: usize, now: u64) -> Option<Job> {
        self.advance(now);
        if let Some(at) = self.waiting.iter().position(|j| j.program == program) {
            return Some(self.waiting.remove(at));
        }
        let at = self.running.iter().position(|j| j.program == program)?;
        let job = self.running.remove(at);
        let generated = (job.output as f64 - job.output_left).max(0.0) as u64;
        if job.prefill_left <= EPSILON {
            self.cache_program(program, job.prompt + generated);
        }
        self.start(now);
        Some(job)
    }

    /// Returns when the next call completes a phase.
    pub fn next_event(&self) -> Option<u64> {
        let (prefill, generate) = self.rates();
        let spans = self.running.iter().map(|job| {
            if job.prefill_left > EPSILON {
                job.prefill_left / prefill
            } else {
                job.output_left / generate
            }
        });
        let least = spans.min_by(f64::total_cmp)?;
        Some(self.updated + (least * 1000.0).ceil().max(1.0) as u64)
    }

    /// Returns the current generation rate of one call, in tokens per second.
    pub fn speed(&self) -> f64 {
        self.rates().1
    }

    /// Returns the cached tokens of a program.
    pub fn cached_tokens(&self, program: usize) -> u64 {
        let found = self.cache.iter().find(|(cached, _)| *cached == program);
        found.map_or(0, |(_, tokens)| *tokens)
    }

    /// Makes the endpoint fail; returns the calls that fail with it.
    pub fn crash(&mut self, now: u64) -> Vec<Job> {
        self.advance(now);
        self.health = Health::Failing;
        self.cache.clear();
        self.epoch += 1;
        let mut failed = std::mem::take(&mut self.running);
        failed.append(&mut self.waiting);
        failed
    }

    /// Changes how many times slower the endpoint is.
    pub fn set_slowdown(&mut self, times: f64, now: u64) {
        self.advance(now);
        self.slowdown = times;
        self.epoch += 1;
    }

    fn start(&mut self, now: u64) {
        while self.running.len() < self.spec.slots as usize && !self.waiting.is_empty() {
            let mut job = self.waiting.remove(0);
            job.started = now;
            job.cache_miss = job.prompt.saturating_sub(self.cached_tokens(job.program));
            job.prefill_left = job.cache_miss as f64;
            self.running.push(job);
        }
        self.epoch += 1;
    }

    fn advance(&mut self, now: u64) {
        let seconds = now.saturating_sub(self.updated) as f64 / 1000.0;
        let (prefill, generate) = self.rates();
        for job in &mut self.running {
            if job.prefill_left > EPSILON {
                job.prefill_left = (job.prefill_left - prefill * seconds).max(0.0);
            } else {
                job.output_left = (job.output_left - generate * seconds).max(0.0);
            }
        }
        self.updated = now;
    }

    /// Returns the rates of one prefill and of one generating call.
    fn rates(&self) -> (f64, f64) {
        let prefills = self
            .running
            .iter()
            .filter(|job| job.prefill_left > EPSILON)
            .count();
        let prefill = self.spec.prefill / self.slowdown / (prefills as f64).max(1.0);
        let full = (f64::from(self.spec.slots) - 1.0).max(1.0);
        let batch = (self.running.len() as f64 - 1.0).max(0.0) / full;
        let beside = if prefills > 0 {
            BESIDE_PREFILL_FACTOR
        } else {
            1.0
        };
        let generate = self.spec.speed / self.slowdown / (1.0 + BATCH_SLOWDOWN * batch) * beside;
        (prefill, generate)
    }

    fn cache_program(&mut self, program: usize, tokens: u64) {
        self.cache.retain(|(cached, _)| *cached != program);
        self.cache.push((program, tokens));
        let mut sum: u64 = self.cache.iter().map(|(_, tokens)| tokens).sum();
        while sum > self.spec.cache && self.cache.len() > 1 {
            sum -= self.cache.remove(0).1;
        }
    }
}
