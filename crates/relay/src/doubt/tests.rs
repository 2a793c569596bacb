use rstest::rstest;
use wire::clock::Millis;

use super::Knowledge;
use super::Verdict;
use super::decide;
use super::max_wait;

/// Guards against final refusals that rest on what was known before the request arrived, and against waits for a
/// proof that isn't expected.
#[rstest]
#[case::proved_before_it_arrived(Some(0), 0, Verdict::Wait(Millis::new(800)))]
#[case::proved_as_it_arrived(Some(300), 300, Verdict::Wait(Millis::new(500)))]
#[case::proved_since(Some(299), 300, Verdict::Final)]
#[case::proof_soon_overdue(Some(1_100), 0, Verdict::Wait(Millis::new(100)))]
#[case::proof_overdue(Some(1_200), 0, Verdict::Open)]
#[case::waited_long_enough(Some(900), 800, Verdict::Open)]
#[case::proved_late(Some(10), 5_000, Verdict::Final)]
#[case::never_proved(None, 0, Verdict::Open)]
fn a_refusal_is_final_only_with_a_later_proof(
    #[case] age: Option<u64>,
    #[case] waited: u64,
    #[case] expected: Verdict,
) {
    let knowledge = Knowledge {
        age: age.map(Millis::new),
        max_age: Millis::new(1_200),
    };
    let verdict = decide(knowledge, Millis::new(waited), Millis::new(800));
    assert_eq!(verdict, expected);
}

/// Guards against waits that leave callers no time to ask another VM.
#[rstest]
#[case(Millis::new(900), Millis::new(300))]
#[case(Millis::new(30_000), Millis::new(1_000))]
fn a_wait_is_bounded(#[case] time_limit: Millis, #[case] expected: Millis) {
    assert_eq!(max_wait(time_limit), expected);
}
