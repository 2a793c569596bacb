use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::clock::Millis;
use wire::code::Ran;

use super::Budget;
use super::Failure;
use super::MAX_TOKENS;
use super::MAX_TRIES;
use super::Repeat;
use super::TOKENS_PER_SUCCESS;
use super::URGENT_RESERVE;
use super::Verdict;
use crate::class::Class;

const NOW: Millis = Millis::new(1_000);
const FAILURE: Failure = Failure {
    class: Class::Routine,
    repeat: Repeat::Safe,
    ran: Ran::Unknown,
    tries: 1,
};

fn retries(budget: &mut Budget, failure: Failure, calls: u32) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut granted = 0.0;
    for _ in 0..calls {
        if matches!(
            budget.decide(&failure, NOW, &mut rng),
            Verdict::Again { .. }
        ) {
            granted += 1.0;
        }
    }
    granted
}

#[test]
fn retries_stay_a_share_of_successes() {
    let mut budget = Budget::new(NOW);
    retries(&mut budget, FAILURE, 100);
    for _ in 0..100 {
        budget.succeed();
    }
    let expected = 100.0 * TOKENS_PER_SUCCESS;
    let granted = retries(&mut budget, FAILURE, 100);
    assert!((granted - expected).abs() <= 1.0, "{granted}");
}

#[test]
fn urgent_calls_use_tokens_reserved_from_routine_calls() {
    let mut budget = Budget::new(NOW);
    let urgent = Failure {
        class: Class::Urgent,
        ..FAILURE
    };
    let routine = retries(&mut budget, FAILURE, 100);
    assert!((routine - (MAX_TOKENS - URGENT_RESERVE)).abs() < 1e-9);
    let rest = retries(&mut budget, urgent, 100);
    assert!((rest - URGENT_RESERVE).abs() < 1e-9);
}

#[rstest]
#[case(Repeat::Once, Ran::Unknown, 1, 0.0)]
#[case(Repeat::Once, Ran::Yes, 1, 0.0)]
#[case(Repeat::Once, Ran::No, 1, 1.0)]
#[case(Repeat::Safe, Ran::Unknown, MAX_TRIES - 1, 1.0)]
#[case(Repeat::Safe, Ran::Unknown, MAX_TRIES, 0.0)]
fn only_repeatable_calls_are_retried(
    #[case] repeat: Repeat,
    #[case] ran: Ran,
    #[case] tries: u32,
    #[case] expected: f64,
) {
    let failure = Failure {
        repeat,
        ran,
        tries,
        ..FAILURE
    };
    let granted = retries(&mut Budget::new(NOW), failure, 1);
    assert!((granted - expected).abs() < 1e-9);
}
