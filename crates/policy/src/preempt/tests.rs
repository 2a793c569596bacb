use rstest::rstest;
use wire::clock::Millis;

use super::MAX_PREEMPTIONS;
use super::MIN_REMAINING;
use super::Resume;
use super::Running;
use super::choose;
use crate::class::Class;

const CALL: Running = Running {
    class: Class::Routine,
    resume: Resume::Possible,
    remaining: Millis::new(5_000),
    prefill_cost: Millis::new(100),
    attained: Millis::ZERO,
    preemptions: 0,
};

#[rstest]
#[case::urgent(Running { class: Class::Urgent, ..CALL })]
#[case::not_resumable(Running { resume: Resume::Impossible, ..CALL })]
#[case::often_enough(Running { preemptions: MAX_PREEMPTIONS, ..CALL })]
#[case::nearly_done(Running { remaining: MIN_REMAINING.since(Millis::new(1)), ..CALL })]
fn some_calls_are_never_displaced(#[case] call: Running) {
    assert_eq!(choose(&[call]), None);
}

#[test]
fn the_one_that_loses_least_goes() {
    let cheap = Running {
        prefill_cost: Millis::new(10),
        ..CALL
    };
    assert_eq!(choose(&[CALL, cheap, CALL]), Some(1));
}

#[test]
fn among_equals_the_most_served_program_goes() {
    let served = Running {
        attained: Millis::new(60_000),
        ..CALL
    };
    assert_eq!(choose(&[CALL, served]), Some(1));
}
