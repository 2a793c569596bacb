use rstest::rstest;
use wire::clock::Millis;

use super::Proof;
use super::Stamp;
use super::current_at;

const PROCESS: u64 = 7;
const NOW: Millis = Millis::new(10_000);

fn proof(process: u64, at: u64, age: Option<u64>) -> Proof {
    Proof {
        stamp: None,
        echo: Some(Stamp {
            process,
            at: Millis::new(at),
        }),
        age,
    }
}

/// The message was held up on its way. Counting its age from its arrival would make old knowledge
/// look recent.
#[test]
fn an_age_counts_from_the_stamp_that_came_back() {
    let current = current_at(&proof(PROCESS, 4_000, Some(300)), PROCESS, NOW);
    assert_eq!(current, Some(Millis::new(3_700)));
}

/// Knowledge that can't be placed in time must not count as recent.
#[rstest]
#[case::stamp_of_an_earlier_process(proof(8, 9_000, Some(10)))]
#[case::stamp_of_a_later_time(proof(PROCESS, 10_001, Some(10)))]
#[case::no_age(proof(PROCESS, 9_000, None))]
#[case::older_than_the_clock(proof(PROCESS, 9_000, Some(9_001)))]
#[case::no_stamp(Proof { age: Some(10), ..Proof::default() })]
fn other_proofs_show_nothing(#[case] proof: Proof) {
    assert_eq!(current_at(&proof, PROCESS, NOW), None);
}
