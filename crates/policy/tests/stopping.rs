//! Plays VMs of one data centre that stop one after the other or at once behind a balancer.
//!
//! The balancer asks each VM once a second whether it is ready and takes it out after two misses;
//! where fewer than half are left it sends to all. Callers try again once on a new connection.

use std::ops::Range;

use policy::balancer;
use policy::stop::Activity;
use policy::stop::Stop;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::clock::Millis;

/// A step of the play, in milliseconds.
const STEP: u32 = 5;
/// How long the process that follows takes to be ready, in milliseconds.
const RESTART: u64 = 1_200;
/// The pause after a connection that failed, in milliseconds.
const PAUSE: u64 = 10;
/// The time of a request, in milliseconds; its answer may be held for longer.
const LIMIT: u64 = 4_000;
/// How long an answer may be held, in milliseconds.
const HELD: u64 = 1_500;
/// Attempts of a request.
const ATTEMPTS: u32 = 2;
const GRACE: Millis = Millis::new(8_000);
/// How long a play lasts, in milliseconds.
const LENGTH: u32 = 40_000;
/// Plays of a case.
const SEEDS: u64 = 40;

enum Phase {
    Up,
    Stopping(Stop),
    Down { back: u64 },
}

struct Vm {
    phase: Phase,
    /// When each request that it has under way ends.
    ends: Vec<u64>,
    misses: u32,
    /// When within a period of its asking the balancer asks it.
    asked: u64,
}

struct Request {
    at: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    asked: u32,
    /// Requests whose attempts all met a VM that stops or is gone.
    lost: u32,
    /// Requests that were taken and cut off.
    cut: u32,
    /// The longest that a process took to end, in milliseconds.
    longest: u64,
}

struct Play {
    vms: Vec<Vm>,
    /// When each VM is told to stop.
    stops: Vec<u64>,
    /// Requests a second.
    a_second: f64,
    /// How long a request takes, in milliseconds.
    work: Range<u64>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Play {
    fn new(vms: usize, gap: u64, a_second: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let vm = |random: &mut ChaCha8Rng| Vm {
            phase: Phase::Up,
            ends: Vec::new(),
            misses: 0,
            asked: random.random_range(0..balancer::PROBE_INTERVAL.as_u64()),
        };
        Self {
            vms: (0..vms).map(|_| vm(&mut random)).collect(),
            stops: (0..vms as u64).map(|at| 5_000 + at * gap).collect(),
            a_second,
            work: 300..1_300,
            random,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, until: u32) -> Outcome {
        let mut coming: Vec<Request> = Vec::new();
        for now in (0..until).step_by(usize::try_from(STEP).unwrap()) {
            let now = u64::from(now);
            self.advance(now);
            if self.random.random::<f64>() < self.a_second * f64::from(STEP) / 1_000.0 {
                self.outcome.asked += 1;
                coming.push(Request {
                    at: now,
                    attempts: 0,
                });
            }
            let (due, later): (Vec<_>, Vec<_>) =
                coming.into_iter().partition(|request| request.at <= now);
            coming = later;
            for request in due {
                coming.extend(self.ask(now, &request));
            }
        }
        self.outcome
    }

    /// Lets the balancer ask, requests end, and processes stop and start.
    fn advance(&mut self, now: u64) {
        let same_step = |one: u64, other: u64| one / u64::from(STEP) == other / u64::from(STEP);
        for (vm, stop) in self.vms.iter_mut().zip(&self.stops) {
            if same_step(now % balancer::PROBE_INTERVAL.as_u64(), vm.asked) {
                let ready = matches!(vm.phase, Phase::Up);
                vm.misses = if ready { 0 } else { vm.misses + 1 };
            }
            vm.ends.retain(|end| *end > now);
            if same_step(now, *stop) {
                vm.phase = Phase::Stopping(Stop::new(Millis::new(now), GRACE));
            }
            let activity = if vm.ends.is_empty() {
                Activity::Idle
            } else {
                Activity::Busy
            };
            match vm.phase {
                Phase::Stopping(stop) if stop.is_over(Millis::new(now), activity) => {
                    self.outcome.cut += u32::try_from(vm.ends.len()).unwrap();
                    let took = now - stop.begun().as_u64();
                    self.outcome.longest = self.outcome.longest.max(took);
                    vm.ends.clear();
                    vm.phase = Phase::Down {
                        back: now + RESTART,
                    };
                }
                Phase::Down { back } if back <= now => vm.phase = Phase::Up,
                Phase::Up | Phase::Stopping(_) | Phase::Down { .. } => {}
            }
        }
    }

    /// Sends a request; one that isn't served comes again.
    fn ask(&mut self, now: u64, request: &Request) -> Option<Request> {
        let misses = balancer::FAILURE_THRESHOLD;
        let rotation: Vec<usize> = (0..self.vms.len())
            .filter(|at| self.vms[*at].misses < misses)
            .collect();
        let at = if rotation.len() * 2 < self.vms.len() {
            self.random.random_range(0..self.vms.len())
        } else {
            rotation[self.random.random_range(0..rotation.len())]
        };
        let work = self.random.random_range(self.work.clone());
        let vm = &mut self.vms[at];
        let latest = Millis::new(now + LIMIT + HELD);
        let pause = match &vm.phase {
            Phase::Up => None,
            Phase::Stopping(stop) if stop.takes(Some(latest)) => None,
            Phase::Stopping(_) => Some(policy::stop::RETRY.as_u64()),
            Phase::Down { .. } => Some(PAUSE),
        };
        let Some(pause) = pause else {
            vm.ends.push(now + work);
            return None;
        };
        let attempts = request.attempts + 1;
        if attempts == ATTEMPTS {
            self.outcome.lost += 1;
            return None;
        }
        Some(Request {
            at: now + pause,
            attempts,
        })
    }
}

fn play(vms: usize, gap: u64, a_second: f64) -> Outcome {
    let mut all = Outcome::default();
    for seed in 0..SEEDS {
        let one = Play::new(vms, gap, a_second, seed).run(LENGTH);
        all.asked += one.asked;
        all.lost += one.lost;
        all.cut += one.cut;
        all.longest = all.longest.max(one.longest);
    }
    all
}

/// VMs of a data centre are told to stop while others of it still do, so that the balancer has too
/// few and sends to those that stop as well. What one of them takes is never cut off; what it
/// refuses comes again, and is lost where it meets another one that stops or is gone. The sooner a
/// process ends that takes nothing any more, the sooner the next one serves: of a hundred requests
/// around such a roll at most two are lost, and none where the stops are far enough apart.
#[rstest]
#[case::three_of_three(3, 1_300, 12.0, 50)]
#[case::four_of_four(4, 1_000, 12.0, 50)]
#[case::four_apart(4, 2_000, 50.0, u32::MAX)]
#[case::many(20, 700, 50.0, u32::MAX)]
fn a_roll_cuts_nothing_off_and_loses_little(
    #[case] vms: usize,
    #[case] gap: u64,
    #[case] a_second: f64,
    #[case] one_in: u32,
) {
    let outcome = play(vms, gap, a_second);
    assert_eq!(outcome.cut, 0, "{outcome:?}");
    assert!(outcome.lost <= outcome.asked / one_in, "{outcome:?}");
}

/// All VMs of a data centre are told to stop at the same moment. Most of what comes then can't be
/// served, but what is taken still ends whole.
#[test]
fn a_stop_of_all_cuts_nothing_off() {
    let outcome = play(3, 0, 12.0);
    assert_eq!(outcome.cut, 0, "{outcome:?}");
    assert!(outcome.longest < GRACE.as_u64(), "{outcome:?}");
}
