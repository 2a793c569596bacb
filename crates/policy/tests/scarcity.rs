//! Plays bursts of programs against engines that can't serve all of them in time, and checks what
//! callers get. The seeds are fixed, so the results never vary.

use play::Order;
use play::Outcome;
use play::play;
use rstest::rstest;

#[path = "scarcity/play.rs"]
mod play;

/// Loads during a burst, as multiples of what the engines can do.
const LOADS: [f64; 4] = [0.8, 1.2, 1.5, 3.0];

fn outcomes(order: Order, seed: u64) -> [Outcome; 4] {
    LOADS.map(|load| play(load, order, seed))
}

/// Guards against engines that serve late programs while others become late: with standings, no kind
/// gets less than in the order of ranks alone, and less work is of no use.
#[rstest]
fn late_programs_yield_to_programs_in_time(#[values(1, 2, 3)] seed: u64) {
    let by_rank = outcomes(Order::Rank, seed);
    let by_standing = outcomes(Order::Standing, seed);
    for (before, after) in by_rank.iter().zip(&by_standing) {
        for rank in 0..2 {
            assert!(
                after.in_time[rank] >= before.in_time[rank],
                "{before:?} {after:?}"
            );
        }
        assert!(
            after.total_worth() >= before.total_worth(),
            "{before:?} {after:?}"
        );
        assert!(after.worst_workspace >= before.worst_workspace, "{after:?}");
        assert!(after.wasted <= before.wasted, "{before:?} {after:?}");
    }
}

/// Guards against engines that are worked to the full on programs that end too late: whatever the load, no
/// kind and no workspace gets less than if all programs begin, and hardly any work is of no use.
#[rstest]
fn programs_that_begin_end_in_time(#[values(1, 2, 3)] seed: u64) {
    let before = outcomes(Order::Rank, seed);
    let after = outcomes(Order::Opening, seed);
    for (before, after) in before.iter().zip(&after) {
        for rank in 0..2 {
            // One program in a hundred may be refused in vain.
            assert!(
                after.in_time[rank] >= before.in_time[rank] - 0.01,
                "{before:?} {after:?}"
            );
        }
        assert!(
            after.worst_workspace >= before.worst_workspace - 0.01,
            "{before:?} {after:?}"
        );
        assert!(after.wasted <= 0.05, "{after:?}");
    }
    // The engines can do a third of the programs of a burst.
    assert!(after[3].total_worth() >= 2.0 * before[3].total_worth());
    assert!(after[3].worst_workspace >= 1.0 / 3.0, "{after:?}");
}

/// Guards against standings that make programs late where the engines are enough.
#[test]
fn below_the_capacity_all_programs_end_in_time() {
    for order in [Order::Standing, Order::Opening] {
        let outcome = play(LOADS[0], order, 1);
        let in_time = outcome.in_time.iter();
        assert!(in_time.copied().all(|share| share >= 0.99), "{outcome:?}");
    }
}

/// Prints what each order brings callers.
#[test]
#[ignore = "a comparison to read"]
fn compare() {
    for order in Order::ALL {
        for (load, outcome) in LOADS.iter().zip(outcomes(order, 7)) {
            println!("{order:?} {load}: {outcome:?}");
        }
    }
}
