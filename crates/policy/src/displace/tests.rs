use rstest::rstest;
use wire::clock::Millis;

use super::MIN_LEFT;
use super::MOST;
use super::Resume;
use super::Running;
use super::choose;
use crate::class::Class;

const CALL: Running = Running {
    class: Class::Routine,
    resume: Resume::Possible,
    left: Millis::new(5_000),
    redo: Millis::new(100),
    attained: Millis::ZERO,
    displaced: 0,
};

#[rstest]
#[case::urgent(Running { class: Class::Urgent, ..CALL })]
#[case::not_resumable(Running { resume: Resume::Impossible, ..CALL })]
#[case::often_enough(Running { displaced: MOST, ..CALL })]
#[case::nearly_done(Running { left: MIN_LEFT.since(Millis::new(1)), ..CALL })]
fn some_calls_are_never_displaced(#[case] call: Running) {
    assert_eq!(choose(&[call]), None);
}

#[test]
fn the_one_that_loses_least_goes() {
    let cheap = Running {
        redo: Millis::new(10),
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
