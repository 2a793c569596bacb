use wire::clock::Millis;

use super::SLOTS;
use super::Slots;
use super::span;

fn slots(newest: u64, counts: &[(u64, u32)]) -> Slots {
    let mut slots = Slots::default();
    slots.advance(newest);
    for (number, count) in counts {
        slots.add(*number, *count);
    }
    slots
}

#[test]
fn all_slots_but_the_newest_span_the_window() {
    let window = Millis::new(5_000);
    assert!(span(window).as_u64() * (SLOTS as u64 - 1) >= window.as_u64());
}

#[test]
fn a_slot_is_forgotten_after_the_window() {
    let mut slots = slots(100, &[(100, 3), (99, 2)]);
    slots.advance(99 + SLOTS as u64);
    assert_eq!(slots.sum(), 3);
    slots.advance(100 + SLOTS as u64);
    assert_eq!(slots.sum(), 0);
    slots.advance(1_000_000);
    assert!(slots.is_empty());
}

/// A count that another VM tells again must not be added again.
#[test]
fn the_same_events_count_once() {
    let mut slots = slots(100, &[(98, 3)]);
    assert_eq!(slots.raise(98, 3), 0);
    assert_eq!(slots.raise(98, 5), 2);
    assert_eq!(slots.raise(98, 4), 0);
    assert_eq!(slots.sum(), 5);
}

#[test]
fn what_is_older_than_the_window_or_not_begun_is_not_counted() {
    let mut slots = slots(100, &[(75, 1), (101, 1)]);
    assert_eq!(slots.raise(75, 1), 0);
    assert_eq!(slots.raise(101, 1), 0);
    assert!(slots.is_empty());
}

#[test]
fn slots_keep_their_counts_under_other_numbers() {
    let mut slots = slots(100, &[(100, 1), (98, 2), (76, 3)]);
    slots.renumber(1_007);
    let counts = [1_107, 1_105, 1_083].map(|number| slots.count(number));
    assert_eq!(counts, [1, 2, 3]);
    assert_eq!(slots.sum(), 6);
}
