use rstest::rstest;
use wire::clock::Millis;

use super::Intake;
use super::RAMP;
use super::START;
use super::WINDOW;
use super::most_taken_over;
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

#[test]
fn a_neighbour_takes_over_a_part_of_a_batch_in_each_window() {
    let now = Millis::new(10_000);
    let mut intake = Intake::default();
    let mut taken = 0;
    while intake.has_room(16, now) {
        intake.count(now);
        taken += 1;
    }
    assert_eq!(taken, most_taken_over(16));
    assert!(intake.has_room(16, now.plus(WINDOW)));
}

#[rstest]
#[case(1, 1)]
#[case(8, 2)]
#[case(16, 4)]
fn the_part_is_a_quarter(#[case] slots: u32, #[case] expected: u32) {
    assert_eq!(most_taken_over(slots), expected);
}
