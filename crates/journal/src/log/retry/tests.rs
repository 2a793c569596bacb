use rstest::rstest;

use super::*;

#[rstest]
#[case(1, 20, 40)]
#[case(2, 40, 80)]
#[case(6, 500, 1_000)]
#[case(u32::MAX, 500, 1_000)]
fn waits_double_up_to_a_second(#[case] tries: u32, #[case] least: u64, #[case] most: u64) {
    let waits: Vec<u64> = (0..100).map(|seed| backoff(tries, seed).as_u64()).collect();
    assert!(waits.iter().all(|wait| (least..=most).contains(wait)));
    assert!(waits.iter().any(|wait| *wait != waits[0]));
}
