use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;

use super::Call;
use super::DrainRate;
use super::Load;
use super::MAX_FIRST_WAIT;
use super::MIN_RETRY_AFTER;
use super::Stage;
use super::WINDOW;
use super::decide;
use crate::class::Class;

const CALL: Call = Call {
    class: Class::Routine,
    stage: Stage::First,
    deadline: None,
    run: Millis::new(1_000),
};

const LOAD: Load = Load {
    waiting: 0,
    own: 0,
    room: 100,
    drain: Some(10.0),
};

fn code(load: &Load, call: &Call) -> Option<Code> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    decide(load, call, &mut rng).err().map(|refusal| {
        assert_eq!(refusal.ran, Ran::No);
        assert!(refusal.retry_after >= Some(MIN_RETRY_AFTER));
        refusal.code
    })
}

#[rstest]
#[case::idle(0, Stage::First, None)]
#[case::short_wait(19, Stage::First, None)]
#[case::long_wait(21, Stage::First, Some(Code::Overloaded))]
#[case::long_wait_later_call(21, Stage::Later, None)]
#[case::too_long_wait_later_call(700, Stage::Later, Some(Code::Overloaded))]
fn load_is_shed_at_the_first_call(
    #[case] waiting: usize,
    #[case] stage: Stage,
    #[case] expected: Option<Code>,
) {
    let load = Load { waiting, ..LOAD };
    assert_eq!(code(&load, &Call { stage, ..CALL }), expected);
}

#[rstest]
#[case::none_waiting(0, 100, None)]
#[case::half(50, 50, Some(Code::QueueFull))]
#[case::below_half(49, 51, None)]
#[case::new_caller_finds_capacity(0, 1, None)]
#[case::full(0, 0, Some(Code::QueueFull))]
fn a_caller_is_limited_to_half_of_the_capacity(
    #[case] own: usize,
    #[case] room: usize,
    #[case] expected: Option<Code>,
) {
    let load = Load { own, room, ..LOAD };
    assert_eq!(code(&load, &CALL), expected);
}

#[test]
fn an_unmeetable_deadline_is_refused_at_once() {
    let load = Load {
        waiting: 15,
        ..LOAD
    };
    let tight = Call {
        deadline: Some(Millis::new(2_000)),
        ..CALL
    };
    assert_eq!(code(&load, &tight), Some(Code::DeadlineUnmeetable));
    assert_eq!(code(&LOAD, &tight), None);
}

#[test]
fn callers_refused_together_retry_at_different_times() {
    let load = Load {
        waiting: 200,
        ..LOAD
    };
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut times: Vec<u64> = (0..100)
        .filter_map(|_| decide(&load, &CALL, &mut rng).err()?.retry_after)
        .map(Millis::as_u64)
        .collect();
    times.sort_unstable();
    let excess = 20_000 - MAX_FIRST_WAIT.as_u64();
    assert_eq!(times.len(), 100);
    assert!(times[0] >= excess && times[99] < 2 * excess);
    times.dedup();
    assert!(times.len() > 90);
}

#[test]
fn the_drain_rate_is_measured_while_calls_wait() {
    let mut drain = DrainRate::default();
    let start = 1_000;
    for tick in 0..=2 * WINDOW.as_u64() / 100 {
        drain.count(Millis::new(start + tick * 100), 5);
    }
    let rate = drain.rate().expect("two windows have ended");
    assert!((rate - 10.0).abs() < 0.6, "{rate}");
    let now = Millis::new(start).plus(WINDOW).plus(WINDOW);
    drain.count(now, 0);
    drain.roll(now.plus(WINDOW));
    assert!(
        drain.rate() >= Some(rate),
        "a window with few arrivals must not lower the rate"
    );
}

#[test]
fn a_standstill_lowers_the_drain_rate() {
    let mut drain = DrainRate::default();
    let start = Millis::new(1_000);
    for _ in 0..20 {
        drain.count(start, 5);
    }
    drain.roll(start.plus(WINDOW));
    let before = drain.rate();
    drain.roll(start.plus(WINDOW).plus(WINDOW));
    assert!(drain.rate() < before);
}
