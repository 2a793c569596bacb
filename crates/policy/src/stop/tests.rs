use rstest::rstest;
use wire::clock::Millis;

use super::Activity;
use super::Stop;

const BEGUN: Millis = Millis::new(1_000_000);

fn after(span_ms: u64) -> Millis {
    BEGUN.plus(Millis::new(span_ms))
}

// A process with 8 s left to exit receives a request late. If the process accepted it, the request
// would run at its endpoint and be cut off when the process exits; its caller would see a closed
// connection.
#[rstest]
#[case::at_once(0, Some(4_000), true)]
#[case::just_fits(3_600, Some(4_000), true)]
#[case::slightly_too_long(3_601, Some(4_000), false)]
#[case::short_and_late(6_500, Some(1_000), true)]
#[case::may_outlast_the_process(7_200, Some(4_000), false)]
#[case::never_ends(0, Some(u64::MAX), false)]
#[case::no_limit(0, None, false)]
fn a_stopping_process_accepts_requests_that_end_in_time(
    #[case] after_ms: u64,
    #[case] limit_ms: Option<u64>,
    #[case] expected: bool,
) {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    let until = limit_ms.map(|limit| after(after_ms).plus(Millis::new(limit)));
    assert_eq!(stop.takes(until), expected);
}

// A request still waits for an endpoint when a process with a grace period of 8 s has about half a
// second left. Sent now, it could be cut off, unless its deadline is earlier; before that, an
// endpoint may finish it.
#[rstest]
#[case::in_time(7_099, None, false)]
#[case::at_the_unassigned_deadline(7_100, None, true)]
#[case::ends_in_time(7_100, Some(7_600), false)]
#[case::ends_too_late(7_100, Some(7_601), true)]
fn a_stopping_process_abandons_unassigned_requests(
    #[case] now_ms: u64,
    #[case] until_ms: Option<u64>,
    #[case] expected: bool,
) {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    assert_eq!(stop.gives_up(after(now_ms), until_ms.map(after)), expected);
}

// For any arrival time and any time limit, an accepted request ends before the process exits, and
// the process exits before it is killed.
#[test]
fn accepted_requests_end_before_the_process_exits() {
    for grace_ms in [0, 1, 100, 399, 400, 1_000, 1_600, 8_000, 120_000] {
        let stop = Stop::new(BEGUN, Millis::new(grace_ms));
        let killed = after(grace_ms);
        assert_eq!((stop.begun(), stop.killed()), (BEGUN, killed));
        assert!(stop.deadline() <= killed);
        assert!(grace_ms < 4 || stop.deadline() < killed, "{grace_ms}");
        let stride = usize::try_from(grace_ms / 200 + 1).unwrap();
        for arrived in (0..grace_ms + 500).step_by(stride).map(after) {
            for limit_ms in (0..grace_ms + 500).step_by(stride).chain([u64::MAX]) {
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

// No request is refused without need: while time is left, a request that fits into it is accepted.
#[test]
fn requests_that_fit_are_accepted() {
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

// The margin doesn't use up a short grace period: three quarters of it remain for running requests.
#[rstest]
#[case(0, 0)]
#[case(100, 75)]
#[case(1_600, 1_200)]
#[case(8_000, 7_600)]
fn the_margin_is_a_fraction_of_a_short_grace_period(#[case] grace_ms: u64, #[case] left_ms: u64) {
    let stop = Stop::new(BEGUN, Millis::new(grace_ms));
    assert_eq!(stop.left(BEGUN), Millis::new(left_ms));
}

// A request that arrived before the stop may outlast the process, and isn't at an endpoint. It is
// abandoned while there is time to answer its caller, and not before most of the time is over.
#[rstest]
#[case(0, 0)]
#[case(100, 50)]
#[case(2_000, 1_100)]
#[case(8_000, 7_100)]
fn abandoning_leaves_time_to_answer(#[case] grace_ms: u64, #[case] abandoned_ms: u64) {
    let stop = Stop::new(BEGUN, Millis::new(grace_ms));
    assert_eq!(stop.unassigned_deadline(), after(abandoned_ms));
}

// The answer to an accepted request ends at the last moment. The process keeps running until the
// answer's last bytes are sent, and exits before it is killed.
#[test]
fn the_last_bytes_of_the_last_answer_are_sent() {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    assert!(!stop.is_over(stop.deadline().plus(Millis::new(50)), Activity::Busy));
    assert!(stop.is_over(stop.deadline().plus(Millis::new(200)), Activity::Busy));
    assert!(stop.exit_at() < stop.killed());
}

// A process with 8 s to exit was paused, and its listener closes late. What it accepts then is
// answered, unless the process would be killed meanwhile.
#[rstest]
#[case::in_time(7_600, 7_700)]
#[case::idle(2_300, 7_700)]
#[case::late(7_750, 7_850)]
#[case::just_before_the_kill(7_950, 7_900)]
#[case::after_the_kill(9_000, 7_900)]
fn a_late_listener_leaves_time_to_answer(#[case] closed_ms: u64, #[case] exit_ms: u64) {
    let stop = Stop::new(BEGUN, Millis::new(8_000));
    assert_eq!(stop.exit_after(after(closed_ms)), after(exit_ms));
}
