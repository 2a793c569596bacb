//! Expects how many requests the programs of a workspace that have begun at a VM are still to make.

use wire::clock::Millis;

/// How long after its last request a program counts as under way. Longer than its pauses.
const MAX_PAUSE: Millis = Millis::new(2_000);
/// How long after its last request a program is remembered as begun.
const MEMORY: Millis = Millis::new(10_000);
/// Requests that a program is expected to make as long as none has ended.
const INITIAL_REQUESTS: f64 = 8.0;
/// The weight of a program that has ended in the mean.
const MEAN_WEIGHT: f64 = 0.125;
/// The most programs of a workspace that a VM remembers.
const MAX_PROGRAMS: usize = 1_024;

/// The programs of a workspace at a VM.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Sorted by id.
    begun: Vec<Program>,
    mean: f64,
}

#[derive(Clone, Copy, Debug)]
struct Program {
    id: u64,
    requests: u32,
    last_at: Millis,
}

impl Default for Programs {
    fn default() -> Self {
        Self {
            begun: Vec::new(),
            mean: INITIAL_REQUESTS,
        }
    }
}

impl Programs {
    fn find(&self, id: u64) -> Result<usize, usize> {
        self.begun.binary_search_by_key(&id, |program| program.id)
    }

    /// Returns whether a program has begun.
    #[must_use]
    pub fn has_begun(&self, id: u64) -> bool {
        self.find(id).is_ok()
    }

    /// Records a request of a program.
    pub fn note(&mut self, id: u64, now: Millis) {
        self.forget(now);
        match self.find(id) {
            Ok(index) => {
                let program = &mut self.begun[index];
                program.requests += 1;
                program.last_at = now;
            }
            Err(index) if self.begun.len() < MAX_PROGRAMS => {
                let program = Program {
                    id,
                    requests: 1,
                    last_at: now,
                };
                self.begun.insert(index, program);
            }
            Err(_) => {}
        }
    }

    /// Forgets programs that have made no request for long, and learns from them how many a program
    /// makes.
    fn forget(&mut self, now: Millis) {
        let is_over = |program: &mut Program| now.since(program.last_at) > MEMORY;
        for program in self.begun.extract_if(.., is_over) {
            self.mean += (f64::from(program.requests) - self.mean) * MEAN_WEIGHT;
        }
    }

    /// Returns how many requests a program makes altogether.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a mean of counts"
    )]
    pub fn expected(&self) -> u32 {
        self.mean.ceil() as u32
    }

    /// Returns how many requests the programs under way are still expected to make.
    #[must_use]
    pub fn pending(&self, now: Millis) -> u32 {
        let expected = self.expected();
        let under_way = self.begun.iter();
        let under_way = under_way.filter(|program| now.since(program.last_at) <= MAX_PAUSE);
        under_way
            .map(|program| expected.saturating_sub(program.requests))
            .sum()
    }
}

#[cfg(test)]
mod tests;
