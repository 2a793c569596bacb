use std::time::Duration;

use rstest::rstest;
use tokio::time::Instant;

use super::Stop;

/// Three of four VMs of a data centre stop one after the other, so that the balancer sends to all
/// of them. One takes a turn seven seconds after its SIGTERM; the turn runs at its runner, and is
/// cut off when the process ends half a second later. Its caller sees a closed connection.
#[rstest]
#[case::just_stopped(0, 4_000, true)]
#[case::before_the_balancer_has_noticed(2_400, 30_000, true)]
#[case::ends_before_the_process(3_500, 4_000, true)]
#[case::may_outlast_the_process(3_700, 4_000, false)]
#[case::a_short_one_late(6_500, 1_000, true)]
#[case::cut_seven_seconds_after(7_200, 4_000, false)]
fn a_stopping_process_takes(#[case] after_ms: u64, #[case] needs_ms: u64, #[case] expected: bool) {
    let begun = Instant::now();
    let stop = Stop::new(begun, Duration::from_secs(8));
    let arrived = begun + Duration::from_millis(after_ms);
    let until = arrived + Duration::from_millis(needs_ms);
    assert_eq!(stop.takes(arrived, until), expected);
}

/// Whatever comes at any moment after the first seconds: what is taken has its answer before the
/// process ends, so no answer is cut off.
#[test]
fn what_is_taken_late_ends_before_the_process() {
    let begun = Instant::now();
    for grace_ms in [1_000, 4_000, 8_000, 30_000] {
        let stop = Stop::new(begun, Duration::from_millis(grace_ms));
        for after_ms in (2_500..grace_ms).step_by(50) {
            for needs_ms in (50..6_000).step_by(50) {
                let arrived = begun + Duration::from_millis(after_ms);
                let until = arrived + Duration::from_millis(needs_ms);
                let ends = begun + Duration::from_millis(grace_ms);
                assert!(!stop.takes(arrived, until) || until < ends);
            }
        }
    }
}
