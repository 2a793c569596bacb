//! How older samples count less, for the figures that follow what happens now.

use wire::clock::Millis;

/// Yields the share of a sample's weight that is left at this age, where half of it goes in `half`.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "spans are far below 2^52")]
pub fn remaining_weight(age: Millis, half: Millis) -> f64 {
    (-(age.as_u64() as f64) / half.as_u64() as f64).exp2()
}

#[cfg(test)]
mod tests;
