use rstest::rstest;
use wire::clock::Millis;

use super::remaining_weight;

#[rstest]
#[case::fresh(0, 1.0)]
#[case::one_half_life(5_000, 0.5)]
#[case::two_half_lives(10_000, 0.25)]
fn the_weight_halves_with_each_half_life(#[case] age: u64, #[case] expected: f64) {
    let weight = remaining_weight(Millis::new(age), Millis::new(5_000));
    assert!((weight - expected).abs() < 1e-12, "{weight}");
}
