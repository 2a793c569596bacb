//! Engines that keep a bounded memory, and that stop all other streams while they read a prompt.

use policy::prefix::Part;

pub const SLOTS: u32 = 12;
/// Prompt tokens that an engine reads in the time in which it generates one token.
pub const PREFILL_RATIO: f64 = 220.0;
/// How much longer each token takes in a full batch than alone.
pub const FULL_BATCH: f64 = 1.5;
/// Tokens of parts that an engine keeps beside running requests.
pub const MEMORY: u64 = 150_000;

#[derive(Clone, Debug)]
pub struct Job {
    pub line: usize,
    pub vm: usize,
    pub prefill_left: f64,
    pub output_left: f64,
}

#[derive(Clone, Debug, Default)]
pub struct Engine {
    pub speed: f64,
    pub running: Vec<Job>,
    pub waiting: Vec<Job>,
    /// Parts by id, with their last use.
    pub cache: Vec<(Part, u64)>,
    /// First parts that it ever had.
    pub had: Vec<u64>,
    pub updated: u64,
    pub epoch: u64,
    pub is_up: bool,
}

impl Engine {
    pub fn cached_parts(&self, prompt: &[Part]) -> usize {
        let holds = |part: &&Part| self.find(part.id).is_ok();
        prompt.iter().take_while(holds).count()
    }

    fn find(&self, id: u64) -> Result<usize, usize> {
        self.cache.binary_search_by_key(&id, |(part, _)| part.id)
    }

    pub fn remember(&mut self, prompt: &[Part], now: u64) {
        for part in prompt {
            match self.find(part.id) {
                Ok(at) => self.cache[at] = (*part, now),
                Err(at) => self.cache.insert(at, (*part, now)),
            }
        }
        let mut sum: u64 = self.cache.iter().map(|(part, _)| part.tokens).sum();
        while sum > MEMORY {
            let oldest = (0..self.cache.len()).min_by_key(|at| self.cache[*at].1);
            sum -= self.cache.remove(oldest.expect("it isn't empty")).0.tokens;
        }
    }

    /// Returns the tokens a second of the prompt that is being read, or of each stream if none is.
    fn rate(&self) -> f64 {
        if self.reading().is_some() {
            return self.speed * PREFILL_RATIO;
        }
        let others = self.running.len().saturating_sub(1) as f64;
        self.speed / (1.0 + (FULL_BATCH - 1.0) * others / f64::from(SLOTS - 1))
    }

    pub fn reading(&self) -> Option<usize> {
        self.running.iter().position(|job| job.prefill_left > 0.0)
    }

    pub fn advance(&mut self, now: u64) {
        let done = self.rate() * (now - self.updated) as f64 / 1000.0;
        self.updated = now;
        if let Some(at) = self.reading() {
            let job = &mut self.running[at];
            job.prefill_left = (job.prefill_left - done).max(0.0);
            return;
        }
        for job in &mut self.running {
            job.output_left -= done;
        }
    }

    pub fn next_event(&self) -> Option<u64> {
        let left = if let Some(at) = self.reading() {
            self.running[at].prefill_left
        } else {
            let left = self.running.iter().map(|job| job.output_left);
            left.min_by(f64::total_cmp)?
        };
        Some(self.updated + ((left / self.rate()) * 1000.0).ceil().max(1.0) as u64)
    }
}
