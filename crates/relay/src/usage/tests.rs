use adapter::config::Limit;
use policy::quota::Step;
use policy::quota::Verdict;
use wire::clock::Millis;

use super::Ledger;
use super::Use;
use crate::tally::Origin;

const WINDOW: Millis = Millis::new(5_000);
const START: Millis = Millis::new(100_000);
const WORKSPACE: u64 = 3;
/// Allows 60 requests in a window.
const LIMIT: Limit = Limit {
    milli_per_second: 10_000,
    burst: 10,
};
const VMS: u32 = 3;

fn ledger() -> Ledger {
    let mut ledger = Ledger::new(WINDOW, START);
    ledger.note(&Origin::Others, &[], WINDOW, START);
    ledger
}

fn told(admitted: u32) -> [Use; 1] {
    [Use {
        workspace: WORKSPACE,
        admitted,
        pending: 0,
    }]
}

/// Admits as many requests as the limit allows and returns their number.
fn fill(ledger: &mut Ledger, now: Millis) -> u32 {
    let mut admitted = 0;
    while ledger.decide(WORKSPACE, LIMIT, Step::Continues, VMS, now).0 == Verdict::Admit {
        ledger.add(WORKSPACE, None, now);
        admitted += 1;
    }
    admitted
}

#[test]
fn the_others_count() {
    let mut ledger = ledger();
    ledger.note(&Origin::Others, &told(45), WINDOW, START);
    assert_eq!(fill(&mut ledger, START), 15);
}

/// A hub tells the sum of all others, and each of them tells its own count, too. Adding both up would
/// refuse requests at half the limit.
#[test]
fn sums_and_single_counts_are_not_added_up() {
    let mut ledger = ledger();
    ledger.note(&Origin::Others, &told(20), WINDOW, START);
    ledger.note(&Origin::Vm("x".to_owned()), &told(15), WINDOW, START);
    assert_eq!(fill(&mut ledger, START), 40);
}

/// A VM that was killed tells nothing any more, but what it had admitted is still in the window.
#[test]
fn a_silent_vm_counts_for_the_window() {
    let mut ledger = ledger();
    ledger.note(&Origin::Vm("x".to_owned()), &told(50), WINDOW, START);
    let later = START.plus(WINDOW);
    ledger.note(&Origin::Vm("y".to_owned()), &[], WINDOW, later);
    assert_eq!(fill(&mut ledger, later), 10);
}

/// A VM that is cut off would have the whole limit for itself, and so would each other one.
#[test]
fn a_vm_that_hears_nobody_keeps_to_its_share() {
    let mut ledger = ledger();
    for _ in 0..6 {
        ledger.add(WORKSPACE, None, START);
    }
    ledger.note(&Origin::Others, &told(24), WINDOW, START);
    let cut = START.plus(Millis::new(2_000));
    // Six, and a third of the thirty that were left.
    assert_eq!(fill(&mut ledger, cut), 10);
}

/// After a restart, a VM that others remember for must not presume that the limit is used up.
#[test]
fn others_that_have_counted_for_long_make_presumptions_needless() {
    let mut started = Ledger::new(WINDOW, START);
    started.note(&Origin::Others, &[], Millis::new(100), START);
    assert!(fill(&mut started, START) < 20);
    let mut started = Ledger::new(WINDOW, START);
    started.note(&Origin::Others, &[], WINDOW, START);
    assert_eq!(fill(&mut started, START), 60);
}

/// Dozens of VMs admit a few requests each. If each kept so small a part of the limit to itself, the
/// sum would never be known.
#[test]
fn a_single_vm_tells_every_count() {
    let mut ledger = ledger();
    let large = Limit {
        milli_per_second: 1_000_000,
        burst: 0,
    };
    let _verdict = ledger.decide(WORKSPACE, large, Step::Opens(8), VMS, START);
    ledger.add(WORKSPACE, None, START);
    assert_eq!(ledger.uses(START, |_| false), told(1));
}

/// Thousands of workspaces are far from their limits. Telling the counts of all of them to other data
/// centres would cost more than their requests.
#[test]
fn small_sums_are_not_told() {
    let mut ledger = ledger();
    ledger.note(&Origin::Vm("x".to_owned()), &told(1), WINDOW, START);
    let large = Limit {
        milli_per_second: 1_000_000,
        burst: 0,
    };
    let _verdict = ledger.decide(WORKSPACE, large, Step::Opens(8), VMS, START);
    assert_eq!(ledger.uses(START, |_| true), []);
}

/// More workspaces are near their limits than a message has room for: the nearest ones come first.
#[test]
fn the_counts_nearest_to_their_limits_are_told() {
    let mut ledger = ledger();
    assert_eq!(fill(&mut ledger, START), 60);
    for other in 10..400 {
        let _verdict = ledger.decide(other, LIMIT, Step::Opens(8), VMS, START);
        ledger.add(other, None, START);
    }
    let uses = ledger.uses(START, |_| false);
    assert_eq!(uses.len(), super::MAX_TOLD);
    assert_eq!(uses[0], told(60)[0]);
}
