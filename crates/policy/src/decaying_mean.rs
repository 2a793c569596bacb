//! How fast endpoints are, as learnt from the calls that they ended.
//!
//! Answers pools whose endpoints nobody described: engines of other hardware, of different speeds
//! within a pool, that appear while others are busy. Without it a compiled-in presumption decides:
//! where it is faster than the pool is, every endpoint that nobody has measured looks best, and a
//! burst goes to the newest one until it holds several times its slots, in which most endpoints
//! idle. So what isn't measured yet counts as the pool's middle one.

use wire::clock::Millis;

use crate::decay;

/// In this time a sample loses half of its weight: long beside a call (some tenths of a second), so
/// that the figure is made of some tens of calls, and short beside the times for which an endpoint
/// turns slow.
const HALF: Millis = Millis::new(5_000);
/// How many samples the pool's middle figure weighs as against an endpoint's own. One call tells
/// little: its prompt may have been read while others waited.
const POOL: f64 = 1.0;

/// A mean in which older samples weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    sum: f64,
    weight: f64,
    at: Millis,
}

impl Mean {
    /// Takes a sample in.
    pub fn add(&mut self, value: f64, now: Millis) {
        *self = self.decayed_to(now);
        self.sum += value;
        self.weight += 1.0;
    }

    /// Yields the mean as it weighs at a later time.
    #[must_use]
    pub fn decayed_to(&self, now: Millis) -> Self {
        let left = decay::remaining_weight(now.since(self.at), HALF);
        Self {
            sum: self.sum * left,
            weight: self.weight * left,
            at: now,
        }
    }

    /// Yields the value and how many samples it is worth; `None` where nothing was measured.
    #[must_use]
    pub fn value(&self) -> Option<(f64, f64)> {
        (self.weight > 0.0).then(|| (self.sum / self.weight, self.weight))
    }

    /// Yields the value, drawn towards the pool's middle one where few samples made it.
    #[must_use]
    pub fn shrunk_towards(&self, middle: f64) -> f64 {
        (self.sum + middle * POOL) / (self.weight + POOL)
    }
}

/// Yields the middle one of what a pool's endpoints showed, or `first` where none has shown
/// anything; figures made of little count no less, as the middle one bears some that are far off.
#[must_use]
pub fn median(figures: impl Iterator<Item = Mean>, first: f64) -> f64 {
    let mut known: Vec<f64> = figures
        .filter_map(|figure| Some(figure.value()?.0))
        .collect();
    if known.is_empty() {
        return first;
    }
    known.sort_by(f64::total_cmp);
    known[known.len() / 2]
}

#[cfg(test)]
mod tests;
