use rstest::rstest;
use wire::clock::Millis;

use super::RAMP;
use super::START;
use super::ramp;

#[rstest]
#[case(Millis::ZERO, START)]
#[case(Millis::new(RAMP.as_u64() / 2), f64::midpoint(1.0, START))]
#[case(RAMP, 1.0)]
fn the_share_grows_evenly(#[case] span: Millis, #[case] expected: f64) {
    let since = Millis::new(5_000);
    let share = ramp(since, since.plus(span));
    assert!((share - expected).abs() < 1e-9, "{share}");
}
