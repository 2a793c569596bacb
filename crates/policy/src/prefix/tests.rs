use wire::clock::Millis;

use super::Cache;
use super::Demand;
use super::Part;
use crate::class::Class;
use crate::place::Call;
use crate::place::Candidate;
use crate::place::Lane;
use crate::place::Weights;
use crate::place::choose;

fn part(id: u64, tokens: u64) -> Part {
    Part { id, tokens }
}

#[test]
fn parts_count_up_to_the_first_gap() {
    let mut cache = Cache::new(100_000);
    cache.note(&[part(1, 1000), part(3, 10)], Millis::new(1));
    assert_eq!(
        cache.cached(&[part(1, 1000), part(2, 50), part(3, 10)]),
        1000
    );
    assert_eq!(cache.cached(&[part(2, 50), part(1, 1000)]), 0);
}

#[test]
fn the_least_recently_used_part_is_evicted_first() {
    let mut cache = Cache::new(2000);
    cache.note(&[part(1, 400)], Millis::new(1));
    cache.note(&[part(2, 400)], Millis::new(2));
    cache.note(&[part(1, 400)], Millis::new(3));
    cache.note(&[part(3, 400)], Millis::new(4));
    assert_eq!(cache.cached(&[part(2, 400)]), 0);
    assert_eq!(cache.cached(&[part(1, 400)]), 400);
    assert_eq!(cache.cached(&[part(3, 400)]), 400);
}

/// Guards against a prompt whose lengths are too large to be added up: the memory that it is presumed to
/// take must not look small.
#[test]
fn parts_of_any_length_are_added_up() {
    let prompt = [part(1, u64::MAX), part(2, u64::MAX), part(3, 1)];
    let mut cache = Cache::new(2000);
    cache.note(&prompt, Millis::new(1));
    assert_eq!(cache.cached(&prompt), 0);
    cache.note(&[part(4, 1)], Millis::new(2));
    assert_eq!(cache.cached(&[part(4, 1)]), 1);
}

/// Simulates many VMs that place the first turns of programs with shared long first parts on an
/// idle fleet, each knowing only what it has sent itself. Returns how often, in `turns` turns, an
/// endpoint prefilled a part that another endpoint had already prefilled.
fn repeated_prefills(
    vms: usize,
    endpoints: usize,
    parts: u64,
    turns: usize,
    use_presumption: bool,
) -> usize {
    let ids: Vec<u64> = (0..endpoints as u64).map(|at| at * 7_919 + 3).collect();
    let mut held = vec![Vec::new(); endpoints];
    let mut known = vec![vec![Vec::new(); endpoints]; vms];
    let mut prefills = 0;
    for turn in 0..turns {
        let vm = turn * 31 % vms;
        let part = (turn as u64 * 13) % parts + 1;
        let presumed = super::presumed_holders(part, &ids, 5);
        let candidate = |at: usize| Candidate {
            slots: 16,
            reported: 0,
            sent: 0,
            ended: 0,
            in_flight: 0,
            claimed: 0,
            speed: 700.0,
            prefill: 160_000.0,
            cached: if known[vm][at].contains(&part) || (use_presumption && presumed[at]) {
                12_600
            } else {
                0
            },
            share: 1.0,
            lane: Lane::Open,
            network_cost: 0.0,
        };
        let candidates: Vec<Candidate> = (0..endpoints).map(candidate).collect();
        let call = Call {
            class: Class::Routine,
            prompt: 14_280,
            output: 300,
            salt: turn as u64 * 0x9E37_79B9,
        };
        let chosen = choose(&candidates, &call, &Weights::default()).expect("all are idle");
        if !held[chosen.index].contains(&part) {
            held[chosen.index].push(part);
            prefills += 1;
        }
        known[vm][chosen.index].push(part);
    }
    prefills - usize::try_from(parts).expect("the number of parts fits into usize")
}

/// Without presumed holders, each of 79 VMs sends a shared part to endpoints of its own choice,
/// until all endpoints have prefilled it. Callers wait 77 ms for each prefill, and all other calls
/// at that endpoint are slowed.
#[test]
fn many_vms_send_a_shared_part_to_few_endpoints() {
    let before = repeated_prefills(79, 45, 24, 4_000, false);
    let after = repeated_prefills(79, 45, 24, 4_000, true);
    assert!(before > 800, "{before}");
    assert!(after <= 24 * 4, "{after}");
}

#[test]
fn a_small_pool_has_no_presumed_holders() {
    assert_eq!(super::presumed_holders(7, &[1, 2, 3], 3), [false; 3]);
    let presumed = super::presumed_holders(7, &(0..45).collect::<Vec<u64>>(), 5);
    assert_eq!(presumed.iter().filter(|is_holder| **is_holder).count(), 5);
}

/// One first part accounts for most of the work, and each VM sees few of the turns. A VM presumes
/// the popular part at as many endpoints as its work needs, and a rare part at few.
#[test]
fn a_popular_part_has_more_presumed_holders() {
    let mut demand = Demand::default();
    for at in 0..100 {
        let first = if at % 10 < 7 { 1 } else { 2 + at };
        demand.note(first, Millis::new(100 * at));
    }
    let popular = demand.holders(1, 48);
    assert!(
        popular >= 34,
        "70% of the work needs 34 of 48, not {popular}"
    );
    assert_eq!(demand.holders(99, 48), 3, "never seen");
    assert!(demand.holders(1, 2) <= 2);
    let few = super::presumed_holders(1, &(0..48).collect::<Vec<u64>>(), 5);
    let more = super::presumed_holders(1, &(0..48).collect::<Vec<u64>>(), 9);
    assert!(few.iter().zip(&more).all(|(few, more)| !few || *more));
}

/// There are more first parts than are tracked, each requested twice at once, so that none of them
/// is rare. A VM that tracked them all would store and search as many as there are programs.
#[test]
fn the_number_of_tracked_parts_is_bounded() {
    let mut demand = Demand::default();
    let now = Millis::new(1_000);
    for first in 0..2_000 {
        demand.note(first, now);
        demand.note(first, now);
        assert!(demand.counts.len() <= super::MAX_TRACKED);
    }
    assert_eq!(demand.counts.len(), super::MAX_TRACKED);
}

/// All tracked parts were popular and no longer are. A part that becomes popular now is tracked.
#[test]
fn a_new_part_replaces_a_part_that_is_no_longer_popular() {
    let mut demand = Demand::default();
    for first in 0..2 * super::MAX_TRACKED as u64 {
        demand.note(first, Millis::new(1_000));
        demand.note(first, Millis::new(1_000));
    }
    for at in 0..100 {
        demand.note(9_999, Millis::new(60_000 + at));
    }
    assert!(demand.holders(9_999, 48) > 40);
    assert_eq!(demand.holders(0, 48), 3);
}

/// Parts are recorded at different times. Each counts by the decayed weight of its turns, the same
/// as when all weights are computed afresh at the time of the last turn.
#[test]
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss,
    reason = "the figures are small"
)]
fn a_part_counts_by_the_decayed_weight_of_its_turns() {
    let notes: Vec<(u64, u64)> = (0..300).map(|at| (at * at % 5, at * 137)).collect();
    let mut demand = Demand::default();
    for (first, at) in &notes {
        demand.note(*first, Millis::new(*at));
    }
    let last = notes[notes.len() - 1].1;
    let weight = |at: u64| (-((last - at) as f64) / 10_000.0).exp2();
    let total: f64 = notes.iter().map(|(_, at)| weight(*at)).sum();
    for part in 0..5 {
        let own = notes.iter().filter(|(first, _)| *first == part);
        let share = own.map(|(_, at)| weight(*at)).sum::<f64>() / total;
        let wanted = (share * 600.0 * 2.0).ceil() as usize;
        assert_eq!(demand.holders(part, 600), wanted.clamp(3, 600), "{part}");
    }
}
