use rstest::rstest;
use wire::clock::Millis;

use super::Standing;
use super::of_rank;

const NEEDED: Millis = Millis::new(300);

#[rstest]
#[case(None, Standing::InTime)]
#[case(Some(600), Standing::InTime)]
#[case(Some(599), Standing::AtRisk)]
#[case(Some(299), Standing::Late)]
#[case(Some(0), Standing::Late)]
fn the_standing_follows_from_what_is_left(#[case] left: Option<u64>, #[case] expected: Standing) {
    assert_eq!(Standing::of(left.map(Millis::new), NEEDED), expected);
}

#[test]
fn a_program_without_a_known_pace_is_late_only_once_its_time_is_over() {
    let standing = |left| Standing::of(Some(Millis::new(left)), Millis::ZERO);
    assert_eq!(standing(1), Standing::InTime);
    assert_eq!(standing(0), Standing::Late);
}

/// Guards against a span that is too long to be multiplied: a program without the time for it is late.
#[test]
fn a_turn_of_any_length_has_a_standing() {
    let longest = Millis::new(u64::MAX);
    let standing = |left| Standing::of(Some(Millis::new(left)), longest);
    assert_eq!(standing(300), Standing::Late);
    assert_eq!(standing(u64::MAX), Standing::InTime);
}

/// Guards against late work of one rank that waits behind all others.
#[test]
fn late_turns_yield_to_the_next_rank_at_most() {
    let (in_time, late) = (Standing::InTime, Standing::Late);
    assert!(late.priority(0) > in_time.priority(1));
    assert!(late.priority(0) < in_time.priority(2));
    assert!(late.priority(0) < late.priority(1));
    assert!(in_time.priority(0) < Standing::AtRisk.priority(1));
    assert_eq!(late.priority(u8::MAX), 9);
}

#[test]
fn a_program_with_time_to_spare_keeps_the_priority_of_its_rank() {
    for rank in 0..=9 {
        assert_eq!(Standing::InTime.priority(rank), of_rank(rank));
    }
    assert_eq!([0, 1, 2, 3, 9].map(of_rank), [1, 3, 5, 7, 7]);
}
