use rstest::rstest;
use wire::clock::Millis;

use super::Activity;
use super::Stop;

const BEGUN: Millis = Millis::new(1_000_000);

fn after(span_ms: u64) -> Millis {
    BEGUN.plus(Millis::new(span_ms))
}

// A process with eight seconds to end gets a request late. Taken, it runs at its endpoint and is
// cut off when the process ends; its caller sees a closed connection.
#[rstest]
#[case::at_once(0, Some(4_000), true)]
#[case::just_fits(3_600, Some(4_000), true)]
#[case::a_moment_too_long(3_601, Some(4_000), false)]
#[case::a_short_one_late(6_500, Some(1_000), true)]
#[case::may_outlast_it(7_200, Some(4_000), false)]
#[case::never_over(0, Some(u64::MAX), false)]
#[case::no_limit(0, None, false)]
fn a_stopping_process_takes(
    #[case] after_ms: u64,
    #[case] limit_ms: Option<u64>,
    #[case] expected: bool,
) {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    let until = limit_ms.map(|limit| after(after_ms).plus(Millis::new(limit)));
    assert_eq!(stop.takes(until), expected);
}

// A request still waits for an endpoint when a process with eight seconds to end has half a second left. Sent
// now it could be cut off, unless its caller's time is over first; before, an endpoint may finish it.
#[rstest]
#[case::in_time(7_099, None, false)]
#[case::at_the_last_call(7_100, None, true)]
#[case::ends_in_time(7_100, Some(7_600), false)]
#[case::ends_too_late(7_100, Some(7_601), true)]
fn a_stopping_process_gives_up(
    #[case] now_ms: u64,
    #[case] until_ms: Option<u64>,
    #[case] expected: bool,
) {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    assert_eq!(stop.gives_up(after(now_ms), until_ms.map(after)), expected);
}

// Whatever comes at whatever moment with whatever limit: what is taken is over before the process
// ends, and the process ends before it is killed.
#[test]
fn whatever_is_taken_ends_before_the_process_does() {
    for grace_ms in [0, 1, 100, 399, 400, 1_000, 1_600, 8_000, 120_000] {
        let stop = Stop::new(BEGUN, Millis::new(grace_ms));
        let killed = after(grace_ms);
        assert_eq!((stop.begun(), stop.killed()), (BEGUN, killed));
        assert!(stop.deadline() <= killed);
        assert!(grace_ms < 4 || stop.deadline() < killed, "{grace_ms}");
        let coarse = usize::try_from(grace_ms / 200 + 1).unwrap();
        for arrived in (0..grace_ms + 500).step_by(coarse).map(after) {
            for limit_ms in (0..grace_ms + 500).step_by(coarse).chain([u64::MAX]) {
                let until = arrived.plus(Millis::new(limit_ms));
                let fits = until <= stop.deadline();
                assert_eq!(stop.takes(Some(until)), fits);
                assert_eq!(
                    fits,
                    limit_ms <= stop.left(arrived).as_u64() && arrived <= stop.deadline()
                );
            }
            assert!(!stop.takes(None));
        }
    }
}

// Nothing is refused without need: as long as time is left, a request that fits into it is taken.
#[test]
fn what_fits_is_taken() {
    for grace_ms in [100, 1_000, 8_000, 120_000] {
        let stop = Stop::new(BEGUN, Millis::new(grace_ms));
        for arrived in (0..grace_ms).step_by(25).map(after) {
            let left = stop.left(arrived);
            let fits = arrived.plus(left);
            assert_eq!(stop.takes(Some(fits)), arrived <= stop.deadline());
            assert!(!stop.takes(Some(stop.deadline().plus(Millis::new(1)))));
        }
    }
}

// A short grace isn't all margin: three quarters of it stay for what runs.
#[rstest]
#[case(0, 0)]
#[case(100, 75)]
#[case(1_600, 1_200)]
#[case(8_000, 7_600)]
fn the_margin_leaves_time(#[case] grace_ms: u64, #[case] left_ms: u64) {
    let stop = Stop::new(BEGUN, Millis::new(grace_ms));
    assert_eq!(stop.left(BEGUN), Millis::new(left_ms));
}

// A request that came before the stop may last longer than the process, and no endpoint has it. It is
// given up while there is time to tell its caller, and not before most of the time is over.
#[rstest]
#[case(0, 0)]
#[case(100, 50)]
#[case(2_000, 1_100)]
#[case(8_000, 7_100)]
fn the_last_call_leaves_time_to_answer(#[case] grace_ms: u64, #[case] called_ms: u64) {
    let stop = Stop::new(BEGUN, Millis::new(grace_ms));
    assert_eq!(stop.unassigned_deadline(), after(called_ms));
}

// An answer is taken that is over at the last moment. The process lives on for its last bytes, and ends
// before it is killed.
#[test]
fn the_last_bytes_of_the_last_answer_go_out() {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    assert!(!stop.is_over(stop.deadline().plus(Millis::new(50)), Activity::Busy));
    assert!(stop.is_over(stop.deadline().plus(Millis::new(200)), Activity::Busy));
    assert!(stop.exit_at() < stop.killed());
}
