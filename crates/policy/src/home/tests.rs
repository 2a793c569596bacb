use wire::clock::Millis;

use super::Homes;
use super::choose;
use super::demand;
use super::places;
use crate::class::Class;
use crate::place::Call;
use crate::place::Candidate;
use crate::place::Lane;
use crate::place::Weights;
use crate::prefix::Demand;
use crate::prefix::Part;

const IDLE: Candidate = Candidate {
    slots: 12,
    reported: 0,
    sent: 0,
    ended: 0,
    in_flight: 0,
    claimed: 0,
    speed: 100.0,
    prefill: 22_000.0,
    cached: 0,
    share: 1.0,
    lane: Lane::Open,
    network_cost: 0.0,
};
const PROMPT: [Part; 4] = [part(1, 12_000), part(2, 2_000), part(3, 500), part(4, 300)];

const fn part(id: u64, tokens: u64) -> Part {
    Part { id, tokens }
}

fn homes_of(program: u64, first: u64, endpoints: &[u64]) -> Homes {
    Homes::of(program, endpoints, &places(first, endpoints, &demand()))
}

fn endpoints(count: u64) -> Vec<u64> {
    (0..count).map(|at| at * 7_919 + 3).collect()
}

fn place(candidates: &mut [Candidate], homes: &Homes, salt: u64) -> usize {
    homes.presume(&PROMPT, candidates);
    let call = Call {
        class: Class::Routine,
        prompt: 14_800,
        output: 250,
        salt,
    };
    choose(candidates, &call, &Weights::default(), homes)
        .expect("all may be used")
        .index
}

/// Guards against a prompt whose lengths are too large to be added up.
#[test]
fn a_prompt_of_any_length_is_placed() {
    let homes = homes_of(1, 1, &endpoints(8));
    let mut candidates = vec![IDLE; 8];
    let prompt = [part(1, u64::MAX), part(2, u64::MAX), part(3, 1)];
    homes.presume(&prompt, &mut candidates);
    let call = Call {
        class: Class::Routine,
        prompt: u64::MAX,
        output: u64::MAX,
        salt: 1,
    };
    let chosen = choose(&candidates, &call, &Weights::default(), &homes).expect("all may be used");
    assert_eq!(candidates[chosen.index].cached, u64::MAX);
}

/// An endpoint leaves. If the homes of all programs moved with it, all of them would prefill their
/// histories again; those that had theirs there go on at their second one.
#[test]
fn an_endpoint_that_leaves_hardly_moves_other_homes() {
    let all = endpoints(44);
    let rest: Vec<u64> = all[1..].to_vec();
    let mut moved = 0;
    for program in 0..1_600 {
        let first = program % 16;
        let before = homes_of(program, first, &all).indices;
        let [Some(home), Some(second), _] = before else {
            panic!("the pool has endpoints");
        };
        let after = homes_of(program, first, &rest).indices[0].map(|at| rest[at]);
        let expected = if home == 0 { second } else { home };
        moved += usize::from(after != Some(all[expected]));
    }
    assert!(moved <= 1_600 / 20, "{moved} of 1,600 homes moved");
}

/// Turns of a program arrive at VMs that have never seen it, with other salts.
#[test]
fn all_vms_choose_the_home_of_an_idle_pool() {
    let ids = endpoints(44);
    let mut used = Vec::new();
    for program in 0..100 {
        let homes = homes_of(program, 1, &ids);
        let home = homes.indices[0].expect("the pool has endpoints");
        used.push(home);
        assert_eq!(homes.rank(home), Some(1));
        for salt in 0..4 {
            assert_eq!(place(&mut [IDLE; 44], &homes, salt), home);
        }
    }
    used.sort_unstable();
    used.dedup();
    assert!((8..=11).contains(&used.len()), "{}", used.len());
}

/// The home is full. If turns waited there at any rate, a program would take longer than with its
/// history prefilled again; if they went anywhere, the next turns wouldn't find it either.
#[test]
fn turns_of_a_full_home_meet_at_the_second_one() {
    let ids = endpoints(44);
    let homes = homes_of(9, 1, &ids);
    let [Some(first), Some(second), _] = homes.indices else {
        panic!("the pool has endpoints");
    };
    let mut candidates = [IDLE; 44];
    candidates[first].reported = 60;
    for salt in 0..8 {
        assert_eq!(place(&mut candidates.clone(), &homes, salt), second);
    }
}

/// This VM sent the turn before to another endpoint, as the home was full. It knows that the home
/// lacks that turn, and doesn't pay for it again.
#[test]
fn what_the_vm_itself_knows_goes_first() {
    let ids = endpoints(44);
    let homes = homes_of(9, 1, &ids);
    let home = homes.indices[0].expect("the pool has endpoints");
    let elsewhere = (home + 1) % 44;
    let mut candidates = [IDLE; 44];
    candidates[elsewhere].cached = 14_500;
    homes.presume(&PROMPT, &mut candidates);
    assert_eq!(candidates[home].cached, 14_000);
    candidates[home].cached = 14_800;
    homes.presume(&PROMPT, &mut candidates);
    assert_eq!(candidates[home].cached, 14_800);
}

/// Nearly all programs begin with one part. In a quarter of the pool they would wait while the rest is
/// idle.
#[test]
fn a_part_of_most_programs_has_its_place_everywhere() {
    let ids = endpoints(44);
    let mut demand = demand();
    let places_of = |demand: &Demand, first| {
        let places = places(first, &ids, demand);
        places.iter().filter(|place| **place).count()
    };
    for turn in 0..5 {
        demand.note(1, Millis::new(turn));
    }
    assert_eq!(places_of(&demand, 1), 11, "five turns tell nothing");
    for turn in 5..30 {
        demand.note(turn % 3 / 2 + 1, Millis::new(turn));
    }
    assert_eq!([1, 2].map(|first| places_of(&demand, first)), [0, 11]);
}

/// A pool with fewer endpoints than homes.
#[test]
fn a_small_pool_has_fewer_homes() {
    let homes = homes_of(9, 1, &endpoints(2));
    assert_eq!(homes.indices.iter().flatten().count(), 2);
    assert_eq!(homes_of(9, 1, &[]), Homes::default());
    assert_eq!(choose(&[], &call(), &Weights::default(), &homes), None);
}

fn call() -> Call {
    Call {
        class: Class::Routine,
        prompt: 100,
        output: 10,
        salt: 1,
    }
}
