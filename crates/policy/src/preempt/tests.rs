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
#[case::preempted_too_often(Running { preemptions: MAX_PREEMPTIONS, ..CALL })]
#[case::nearly_finished(Running { remaining: MIN_REMAINING.since(Millis::new(1)), ..CALL })]
fn ineligible_calls_are_never_preempted(#[case] call: Running) {
    assert_eq!(choose(&[call]), None);
}

#[test]
fn the_call_with_the_cheapest_resumption_is_preempted() {
    let cheap = Running {
        prefill_cost: Millis::new(10),
        ..CALL
    };
    assert_eq!(choose(&[CALL, cheap, CALL]), Some(1));
}

#[test]
fn among_equals_the_program_with_the_most_service_is_preempted() {
    let served = Running {
        attained: Millis::new(60_000),
        ..CALL
    };
    assert_eq!(choose(&[CALL, served]), Some(1));
}
