//! Exponential decay of sample weights, for metrics that follow recent behaviour.

use wire::clock::Millis;

/// Returns the share of a sample's weight that remains at this age.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
pub fn remaining_weight(age: Millis, half_life: Millis) -> f64 {
    (-(age.as_u64() as f64) / half_life.as_u64() as f64).exp2()
}

#[cfg(test)]
mod tests;
