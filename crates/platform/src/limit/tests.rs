use rstest::rstest;

use super::*;

const START: Millis = Millis::new(1_000_000);
const RATE: Rate = Rate {
    reads: 200,
    writes: 30,
};

fn drain(budget: &mut Budget, priority: Priority, now: Millis) -> u32 {
    let mut sent = 0;
    while budget.write(priority, now) == Verdict::Go {
        sent += 1;
    }
    sent
}

#[rstest]
#[case::commit(Priority::Commit, 27)]
#[case::change(Priority::Change, 23)]
#[case::background(Priority::Background, 13)]
fn a_burst_is_limited_by_its_priority(#[case] priority: Priority, #[case] expected: u32) {
    let mut budget = Budget::new(RATE, START);
    assert_eq!(drain(&mut budget, priority, START), expected);
}

// Background writes use up their part of the bucket. A commit at the same moment is sent at once,
// because background work has to leave half of the bucket.
#[test]
fn background_work_leaves_room_for_commits() {
    let mut budget = Budget::new(RATE, START);
    drain(&mut budget, Priority::Background, START);
    assert!(matches!(
        budget.write(Priority::Background, START),
        Verdict::Wait(_)
    ));
    assert_eq!(budget.write(Priority::Commit, START), Verdict::Go);
}

// Continuous commits take every free write. A lease renewal is still sent each second, because
// claims have a reserved bucket. Without it the VM would lose its shards.
#[test]
fn continuous_commits_do_not_delay_renewals() {
    let mut budget = Budget::new(RATE, START);
    let mut renewed = 0;
    for step in 0..10_000 {
        let now = START.plus(Millis::new(step));
        drain(&mut budget, Priority::Commit, now);
        if step % 1000 == 0 && budget.write(Priority::Claim, now) == Verdict::Go {
            renewed += 1;
        }
    }
    assert_eq!(renewed, 10);
}

#[test]
fn all_priorities_together_keep_to_the_rate() {
    let mut budget = Budget::new(RATE, START);
    let mut sent = 0;
    for step in 0..20_000 {
        let now = START.plus(Millis::new(step));
        for priority in [
            Priority::Background,
            Priority::Claim,
            Priority::Change,
            Priority::Commit,
        ] {
            sent += drain(&mut budget, priority, now);
        }
    }
    let burst = 27 + 8;
    assert!(sent <= 20 * 30 + burst, "{sent}");
    assert!(sent >= 20 * 30, "{sent}");
}

#[test]
fn a_write_fits_after_its_wait() {
    let mut budget = Budget::new(RATE, START);
    drain(&mut budget, Priority::Background, START);
    let Verdict::Wait(span) = budget.write(Priority::Background, START) else {
        panic!("the bucket is not used up")
    };
    let later = START.plus(span);
    assert_eq!(budget.write(Priority::Background, later), Verdict::Go);
}

#[test]
fn a_clock_that_steps_back_refills_nothing() {
    let mut budget = Budget::new(RATE, START);
    drain(&mut budget, Priority::Commit, START);
    let earlier = Millis::new(START.as_u64() - 5_000);
    assert!(matches!(
        budget.write(Priority::Commit, earlier),
        Verdict::Wait(_)
    ));
    assert!(matches!(
        budget.write(Priority::Commit, START),
        Verdict::Wait(_)
    ));
}

#[test]
fn the_smallest_rate_admits_each_priority() {
    let rate = Rate {
        reads: 1,
        writes: 1,
    };
    for priority in [
        Priority::Commit,
        Priority::Change,
        Priority::Claim,
        Priority::Background,
    ] {
        assert_eq!(Budget::new(rate, START).write(priority, START), Verdict::Go);
    }
}
