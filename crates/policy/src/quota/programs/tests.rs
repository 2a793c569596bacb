use wire::clock::Millis;

use super::Programs;

const START: Millis = Millis::new(50_000);

#[test]
fn programs_under_way_are_expected_to_go_on() {
    let mut programs = Programs::default();
    for _ in 0..3 {
        programs.note(1, START);
    }
    programs.note(2, START);
    assert!(programs.has_begun(1) && !programs.has_begun(3));
    // Eight each are expected.
    assert_eq!(programs.pending(START), 5 + 7);
}

/// A program that has ended, or was given up, must not keep others from beginning.
#[test]
fn a_program_that_pauses_for_long_has_ended() {
    let mut programs = Programs::default();
    programs.note(1, START);
    let later = START.plus(Millis::new(2_001));
    assert_eq!(programs.pending(later), 0);
    assert!(programs.has_begun(1));
}

#[test]
fn the_length_of_programs_is_learnt() {
    let mut programs = Programs::default();
    let mut now = START;
    for id in 0..60 {
        for _ in 0..20 {
            programs.note(id, now);
        }
        now = now.plus(Millis::new(11_000));
    }
    programs.note(99, now);
    assert_eq!(programs.expected(), 20);
}
