//! Decaying means that track the speed of endpoints, learnt from their completed calls.
//!
//! They serve pools whose endpoints have no configured speed: engines on other hardware, with
//! different speeds within one pool, that appear while others are busy. With a compiled-in default
//! that is faster than the pool, every endpoint without measurements looks best: a burst goes to
//! the newest one until it holds several times its slots, while most endpoints are idle. So an
//! endpoint without measurements counts as the median of its pool.

use wire::clock::Millis;

use crate::decay;

/// Half-life of a sample's weight. Long compared with a call (some tenths of a second), so that the
/// mean covers some tens of calls, and short compared with the periods during which an endpoint is
/// slow.
const HALF_LIFE: Millis = Millis::new(5_000);
/// Weight of the pool's median against an endpoint's own samples, in samples. A single call says
/// little: its prompt may have been prefilled while other calls waited.
const PRIOR_WEIGHT: f64 = 1.0;

/// A mean in which older samples weigh less.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    sum: f64,
    weight: f64,
    updated: Millis,
}

impl Mean {
    /// Adds a sample.
    pub fn add(&mut self, value: f64, now: Millis) {
        *self = self.decayed_to(now);
        self.sum += value;
        self.weight += 1.0;
    }

    /// Returns the mean with its weight decayed to a later time.
    #[must_use]
    pub fn decayed_to(&self, now: Millis) -> Self {
        let factor = decay::remaining_weight(now.since(self.updated), HALF_LIFE);
        Self {
            sum: self.sum * factor,
            weight: self.weight * factor,
            updated: now,
        }
    }

    /// Returns the mean and its weight in samples, or `None` without samples.
    #[must_use]
    pub fn value(&self) -> Option<(f64, f64)> {
        (self.weight > 0.0).then(|| (self.sum / self.weight, self.weight))
    }

    /// Returns the mean, shrunk towards `prior` (the pool's median) if it is based on few samples.
    #[must_use]
    pub fn shrunk_towards(&self, prior: f64) -> f64 {
        (self.sum + prior * PRIOR_WEIGHT) / (self.weight + PRIOR_WEIGHT)
    }
}

/// Returns the median of the means of a pool's endpoints, or `default` if none has a sample.
///
/// Means of few samples count as much as others, because the median tolerates some outliers.
#[must_use]
pub fn median(means: impl Iterator<Item = Mean>, default: f64) -> f64 {
    let mut values: Vec<f64> = means.filter_map(|mean| Some(mean.value()?.0)).collect();
    if values.is_empty() {
        return default;
    }
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

#[cfg(test)]
mod tests;
