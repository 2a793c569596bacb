use rstest::rstest;
use wire::clock::Millis;

use super::DURATION;
use super::INITIAL_SHARE;
use super::share;

#[rstest]
#[case(Millis::ZERO, INITIAL_SHARE)]
#[case(Millis::new(DURATION.as_u64() / 2), f64::midpoint(1.0, INITIAL_SHARE))]
#[case(DURATION, 1.0)]
fn the_share_grows_linearly(#[case] elapsed: Millis, #[case] expected: f64) {
    let since = Millis::new(5_000);
    let share = share(since, since.plus(elapsed));
    assert!((share - expected).abs() < 1e-9, "{share}");
}
