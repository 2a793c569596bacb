use rstest::rstest;
use wire::clock::Millis;
use wire::id;

use super::AGEING_BOUND;
use super::Entry;
use super::Limits;
use super::MAX_ROUTINE_WAIT;
use super::Queue;
use super::expiry;
use crate::class::Class;

const LIMITS: Limits = Limits {
    all: 10,
    reserved: 2,
};

fn caller(name: &str) -> id::Caller {
    id::Caller::parse(name).expect("the test's caller name is a valid id")
}

fn entry(item: u32, class: Class, name: &str) -> Entry<u32> {
    Entry {
        item,
        class,
        caller: caller(name),
        attained: Millis::ZERO,
        cost: Millis::new(1_000),
        arrived: Millis::new(u64::from(item)),
        expires: Millis::new(100_000),
    }
}

fn drain(queue: &mut Queue<u32>) -> Vec<u32> {
    std::iter::from_fn(|| queue.pop()).map(|e| e.item).collect()
}

fn filled(entries: Vec<Entry<u32>>) -> Queue<u32> {
    let mut queue = Queue::new(LIMITS);
    for entry in entries {
        queue.push(entry).expect("the calls fit into the queue");
    }
    queue
}

#[test]
fn urgent_calls_go_before_routine_calls() {
    let mut queue = filled(vec![
        entry(1, Class::Routine, "a"),
        entry(2, Class::Routine, "a"),
        entry(3, Class::Urgent, "a"),
    ]);
    assert_eq!(drain(&mut queue), [3, 1, 2]);
}

#[test]
fn a_program_with_less_service_goes_first() {
    let mut long = entry(1, Class::Routine, "a");
    long.attained = Millis::new(20_000);
    let mut queue = filled(vec![long, entry(2, Class::Routine, "a")]);
    assert_eq!(drain(&mut queue), [2, 1]);
}

#[test]
fn a_long_program_is_overtaken_only_within_the_ageing_bound() {
    let mut long = entry(0, Class::Routine, "a");
    long.attained = Millis::new(u64::MAX);
    let mut within = entry(1, Class::Routine, "a");
    within.arrived = AGEING_BOUND.since(Millis::new(1));
    let mut after = entry(2, Class::Routine, "a");
    after.arrived = AGEING_BOUND.plus(Millis::new(1));
    let mut queue = filled(vec![long, within, after]);
    assert_eq!(drain(&mut queue), [1, 0, 2]);
}

#[rstest]
#[case(Class::Urgent)]
#[case(Class::Routine)]
fn a_flood_from_one_caller_delays_another_by_one_call(#[case] class: Class) {
    let mut flood: Vec<_> = (0..6).map(|item| entry(item, class, "flood")).collect();
    flood.push(entry(6, class, "other"));
    flood.push(entry(7, class, "other"));
    let mut queue = filled(flood);
    let order = drain(&mut queue);
    let place = order.iter().position(|item| *item == 7);
    assert!(place <= Some(3), "{order:?}");
}

#[test]
fn a_caller_cannot_reset_its_share_by_letting_its_queue_run_empty() {
    let mut queue = filled(vec![
        entry(0, Class::Routine, "greedy"),
        entry(1, Class::Routine, "patient"),
        entry(2, Class::Routine, "patient"),
    ]);
    assert_eq!(queue.pop().map(|e| e.item), Some(0));
    queue
        .push(entry(3, Class::Routine, "greedy"))
        .expect("the call fits");
    assert_eq!(queue.pop().map(|e| e.item), Some(1));
}

#[test]
fn routine_calls_leave_the_reserved_capacity_free() {
    let mut queue = filled((0..8).map(|n| entry(n, Class::Routine, "a")).collect());
    assert!(queue.push(entry(8, Class::Routine, "b")).is_err());
    assert!(queue.push(entry(9, Class::Urgent, "b")).is_ok());
    assert!(queue.push(entry(10, Class::Urgent, "b")).is_ok());
    assert!(queue.push(entry(11, Class::Urgent, "b")).is_err());
}

#[test]
fn only_expired_calls_are_taken_out() {
    let mut soon = entry(1, Class::Routine, "a");
    soon.expires = Millis::new(50);
    let mut queue = filled(vec![soon, entry(2, Class::Urgent, "a")]);
    assert!(queue.take_expired(Millis::new(49)).is_empty());
    let expired: Vec<u32> = queue
        .take_expired(Millis::new(50))
        .iter()
        .map(|e| e.item)
        .collect();
    assert_eq!(expired, [1]);
    assert_eq!(drain(&mut queue), [2]);
}

#[test]
fn a_call_that_does_not_fit_does_not_block_others() {
    let mut queue = filled((0..6).map(|n| entry(n, Class::Routine, "a")).collect());
    let taken = queue.pop_where(|e| e.item == 4);
    assert_eq!(taken.map(|e| e.item), Some(4));
    assert_eq!(queue.pop_where(|_| false), None);
    assert_eq!(queue.len(), 5);
}

#[test]
fn a_flood_does_not_count_as_ahead_of_other_callers() {
    let mut queue = filled((0..6).map(|n| entry(n, Class::Routine, "flood")).collect());
    queue
        .push(entry(6, Class::Routine, "other"))
        .expect("the call fits");
    let ahead = |name: &str| queue.ahead_of(Class::Routine, &caller(name));
    assert_eq!((ahead("new"), ahead("other"), ahead("flood")), (2, 3, 7));
}

#[test]
fn removed_calls_are_returned() {
    let mut queue = filled((0..4).map(|n| entry(n, Class::Urgent, "a")).collect());
    assert_eq!(queue.remove(|item| item % 2 == 0).len(), 2);
    assert_eq!(drain(&mut queue), [1, 3]);
}

#[rstest]
#[case(None, MAX_ROUTINE_WAIT.plus(Millis::new(10)))]
#[case(Some(Millis::new(5_010)), Millis::new(4_010))]
#[case(Some(Millis::new(500)), Millis::ZERO)]
fn expiry_leaves_time_for_the_run(#[case] deadline: Option<Millis>, #[case] expected: Millis) {
    let run = Millis::new(1_000);
    assert_eq!(
        expiry(Millis::new(10), Class::Routine, deadline, run),
        expected
    );
}
