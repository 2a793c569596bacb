//! Measures the cost of decisions, in nanoseconds and allocations: of a placement by the number of
//! endpoints, and of taking a call out of the queue by the number of waiting calls.
//!
//! Uses a plain timing loop, so that it can also print the slope between the points. The best of
//! several rounds counts, because other work on the machine only adds time.

use std::hint::black_box;
use std::time::Instant;

use policy::admit;
use policy::class::Class;
use policy::eject;
use policy::home;
use policy::opening;
use policy::place;
use policy::prefix;
use policy::queue;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use wire::clock::Millis;
use wire::id;

const ENDPOINTS: [u32; 3] = [15, 150, 600];
const WAITING: [u32; 3] = [10, 1_000, 10_000];
/// Number of callers among which the waiting calls are distributed.
const CALLERS: u32 = 40;
/// Number of workspaces of a large deployment, for the cost of many callers.
const MANY_CALLERS: u32 = 3_700;
/// Number of workspaces that a VM counts programs of.
const WORKSPACES: [u64; 2] = [10, 256];
const ROUNDS: u32 = 20;
const ITERATIONS: u32 = 500;

fn main() {
    println!(
        "{:<34} {:>7} {:>10} {:>12}",
        "decision", "size", "ns", "allocations"
    );
    let points = ENDPOINTS.map(|count| (count, placement(count)));
    slope("place::choose, ns per endpoint", points[0], points[2]);
    let points = ENDPOINTS.map(|count| (count, placement_at_home(count)));
    slope("home::choose, ns per endpoint", points[0], points[2]);
    let points = ENDPOINTS.map(|count| (count, sweep(count)));
    slope("eject::sweep, ns per endpoint", points[0], points[2]);
    for callers in [CALLERS, MANY_CALLERS] {
        let points = WAITING.map(|count| (count, push_and_pop(count, callers)));
        slope("push and pop, ns per waiting call", points[0], points[2]);
    }
    let points = WAITING.map(|count| (count, take_expired(count)));
    slope("take_expired, ns per waiting call", points[0], points[2]);
    for count in WAITING {
        admission(count);
    }
    for count in WORKSPACES {
        begin(count);
    }
}

fn begin(workspaces: u64) {
    let mut opening = opening::Opening::default();
    let room = opening::Room {
        occupied: 90,
        slots: 100,
        turn: Millis::new(300),
    };
    let mut asked = 0;
    let name = "opening::decide, by workspaces";
    report(
        name,
        u32::try_from(workspaces).expect("a few hundred"),
        || {
            asked += 1;
            let program = opening::Program {
                workspace: Some(asked % workspaces),
                rank: 1,
                finish_within: None,
            };
            black_box(opening.decide(&program, room, [0.5; 2], Millis::new(asked)));
        },
    );
}

fn placement(count: u32) -> f64 {
    let candidates: Vec<place::Candidate> = (0..count).map(candidate).collect();
    let weights = place::Weights::default();
    let mut salt = 0;
    report("place::choose", count, || {
        salt += 1;
        let call = place::Call {
            class: Class::Routine,
            prompt: 20_000,
            output: 200,
            salt,
        };
        black_box(place::choose(black_box(&candidates), &call, &weights));
    })
}

/// Measures the whole decision for a turn of a program that has homes.
fn placement_at_home(count: u32) -> f64 {
    let candidates: Vec<place::Candidate> = (0..count).map(candidate).collect();
    let endpoints: Vec<u64> = (0..u64::from(count)).map(|at| at * 7_919 + 3).collect();
    let demand = home::demand();
    let prompt = [12_000, 7_800, 200].map(|tokens| prefix::Part { id: tokens, tokens });
    let mut salt = 0;
    report("home::choose", count, || {
        salt += 1;
        let mut candidates = candidates.clone();
        let call = place::Call {
            class: Class::Routine,
            prompt: 20_000,
            output: 200,
            salt,
        };
        let places = home::places(1, black_box(&endpoints), &demand);
        let homes = home::Homes::of(salt, &endpoints, &places);
        homes.presume(&prompt, &mut candidates);
        let weights = place::Weights::default();
        black_box(home::choose(&candidates, &call, &weights, &homes));
    })
}

fn candidate(index: u32) -> place::Candidate {
    place::Candidate {
        slots: 16,
        reported: index * 7 % 20,
        sent: index % 3,
        ended: index % 2,
        in_flight: 0,
        claimed: 0,
        speed: 30.0 + f64::from(index % 3) * 30.0,
        prefill: 10_000.0,
        cached: if index % 50 == 7 { 18_000 } else { 0 },
        share: 1.0,
        lane: place::Lane::Open,
        network_cost: 0.0,
    }
}

fn sweep(count: u32) -> f64 {
    let mut detectors = vec![eject::Detector::new(Millis::ZERO); count as usize];
    for (index, detector) in detectors.iter_mut().enumerate() {
        let pace = if index % 3 == 0 { 20.0 } else { 10.0 };
        for _ in 0..10 {
            detector.note(eject::Sample::Done { pace });
        }
    }
    report("eject::sweep", count, || {
        black_box(eject::sweep(&mut detectors, Millis::new(1_000_000)));
    })
}

fn push_and_pop(count: u32, callers: u32) -> f64 {
    let mut queue = filled(count, callers);
    let name = format!("queue push and pop, {callers} callers");
    report(&name, count, || {
        let entry = queue.pop().expect("the queue is never empty");
        queue
            .push(entry)
            .expect("the popped call left its capacity free");
    })
}

fn take_expired(count: u32) -> f64 {
    let mut queue = filled(count, CALLERS);
    let mut expired = entry(0, CALLERS);
    expired.expires = Millis::new(1);
    report("queue::take_expired, one expired", count, || {
        queue
            .push(expired.clone())
            .expect("the queue has capacity for one more call");
        black_box(queue.take_expired(Millis::new(1)));
    })
}

fn admission(count: u32) {
    let queue = filled(count, CALLERS);
    let mut drain = admit::DrainRate::default();
    drain.count(Millis::new(1), 1);
    drain.roll(Millis::new(10_000));
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let caller = entry(1, CALLERS).caller;
    let call = admit::Call {
        class: Class::Routine,
        stage: admit::Stage::First,
        deadline: None,
        run: Millis::new(3_000),
    };
    report("admit::decide, refused", count, || {
        let load = admit::Load::of(&queue, &drain, Class::Routine, &caller);
        let _ = black_box(admit::decide(&load, &call, &mut rng));
    });
}

fn filled(count: u32, callers: u32) -> queue::Queue<u32> {
    let limits = queue::Limits {
        all: 20_000,
        reserved: 1_000,
    };
    let mut queue = queue::Queue::new(limits);
    for item in 0..count {
        queue
            .push(entry(item, callers))
            .expect("the queue has capacity for all calls");
    }
    queue
}

fn entry(item: u32, callers: u32) -> queue::Entry<u32> {
    queue::Entry {
        item,
        class: Class::Routine,
        caller: id::Caller::parse(&format!("caller-{}", item % callers))
            .expect("the caller name is a valid id"),
        attained: Millis::new(u64::from(item * 37 % 60_000)),
        cost: Millis::new(3_000),
        arrived: Millis::new(u64::from(item)),
        expires: Millis::new(u64::MAX),
    }
}

/// Measures a decision and prints its row; returns the nanoseconds.
fn report(name: &str, size: u32, mut decide: impl FnMut()) -> f64 {
    let mut best = f64::INFINITY;
    for _ in 0..ROUNDS {
        let start = Instant::now();
        for _ in 0..ITERATIONS {
            decide();
        }
        let each = start.elapsed().as_secs_f64() * 1e9 / f64::from(ITERATIONS);
        best = best.min(each);
    }
    let counted = allocation_counter::measure(&mut decide);
    println!(
        "{name:<34} {size:>7} {best:>10.0} {:>12}",
        counted.count_total
    );
    best
}

fn slope(name: &str, first: (u32, f64), last: (u32, f64)) {
    let slope = (last.1 - first.1) / f64::from(last.0 - first.0);
    println!("{name:<34} {slope:>18.2}");
}
