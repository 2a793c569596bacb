//! Simulates VMs of one data centre that stop one after the other, or all at once, behind a
//! balancer.
//!
//! The balancer probes each VM's readiness once a second and removes it from the rotation after two
//! failed probes; if fewer than half remain in the rotation, it sends to all VMs. Callers retry
//! once on a new connection.

use std::ops::Range;

use policy::balancer;
use policy::stop::Activity;
use policy::stop::Stop;
use rand::RngExt;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use wire::clock::Millis;

/// Step of the simulation, in milliseconds.
const STEP: u32 = 5;
/// Time until the next process is ready, in milliseconds.
const RESTART_TIME: u64 = 1_200;
/// Pause after a failed connection, in milliseconds.
const RETRY_PAUSE: u64 = 10;
/// Time limit of a request, in milliseconds; its answer may be held back for longer.
const REQUEST_LIMIT: u64 = 4_000;
/// How long an answer may be held back, in milliseconds.
const MAX_HOLD: u64 = 1_500;
/// Attempts of a request, including the first.
const MAX_ATTEMPTS: u32 = 2;
const GRACE: Millis = Millis::new(8_000);
/// Duration of a simulation, in milliseconds.
const DURATION: u32 = 40_000;
/// Number of simulations per test case.
const SEEDS: u64 = 40;

enum Phase {
    Up,
    Stopping(Stop),
    Down { ready_at: u64 },
}

struct Vm {
    phase: Phase,
    /// End of each request that it has in progress.
    request_ends: Vec<u64>,
    failed_probes: u32,
    /// When the balancer probes it, as an offset within the probe interval.
    probe_offset: u64,
}

struct Request {
    at: u64,
    attempts: u32,
}

#[derive(Debug, Default)]
struct Outcome {
    requests: u32,
    /// Requests whose attempts all reached a VM that was stopping or down.
    lost: u32,
    /// Requests that were accepted and cut off.
    cut_off: u32,
    /// Longest time that a process took to stop, in milliseconds.
    longest_stop: u64,
}

struct Simulation {
    vms: Vec<Vm>,
    /// When each VM is told to stop.
    stops: Vec<u64>,
    /// Requests per second.
    requests_per_second: f64,
    /// Duration of a request, in milliseconds.
    duration: Range<u64>,
    random: ChaCha8Rng,
    outcome: Outcome,
}

impl Simulation {
    fn new(vms: usize, gap: u64, requests_per_second: f64, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let vm = |random: &mut ChaCha8Rng| Vm {
            phase: Phase::Up,
            request_ends: Vec::new(),
            failed_probes: 0,
            probe_offset: random.random_range(0..balancer::PROBE_INTERVAL.as_u64()),
        };
        Self {
            vms: (0..vms).map(|_| vm(&mut random)).collect(),
            stops: (0..vms as u64).map(|at| 5_000 + at * gap).collect(),
            requests_per_second,
            duration: 300..1_300,
            random,
            outcome: Outcome::default(),
        }
    }

    fn run(mut self, until: u32) -> Outcome {
        let mut pending: Vec<Request> = Vec::new();
        for now in (0..until).step_by(usize::try_from(STEP).unwrap()) {
            let now = u64::from(now);
            self.advance(now);
            if self.random.random::<f64>() < self.requests_per_second * f64::from(STEP) / 1_000.0 {
                self.outcome.requests += 1;
                pending.push(Request {
                    at: now,
                    attempts: 0,
                });
            }
            let (due, later): (Vec<_>, Vec<_>) =
                pending.into_iter().partition(|request| request.at <= now);
            pending = later;
            for request in due {
                pending.extend(self.send(now, &request));
            }
        }
        self.outcome
    }

    /// Advances to a time: the balancer probes, requests end, and processes stop and start.
    fn advance(&mut self, now: u64) {
        let same_step = |one: u64, other: u64| one / u64::from(STEP) == other / u64::from(STEP);
        for (vm, stop) in self.vms.iter_mut().zip(&self.stops) {
            if same_step(now % balancer::PROBE_INTERVAL.as_u64(), vm.probe_offset) {
                let ready = matches!(vm.phase, Phase::Up);
                vm.failed_probes = if ready { 0 } else { vm.failed_probes + 1 };
            }
            vm.request_ends.retain(|end| *end > now);
            if same_step(now, *stop) {
                vm.phase = Phase::Stopping(Stop::new(Millis::new(now), GRACE));
            }
            let activity = if vm.request_ends.is_empty() {
                Activity::Idle
            } else {
                Activity::Busy
            };
            match vm.phase {
                Phase::Stopping(stop) if stop.is_over(Millis::new(now), activity) => {
                    self.outcome.cut_off += u32::try_from(vm.request_ends.len()).unwrap();
                    let took = now - stop.begun().as_u64();
                    self.outcome.longest_stop = self.outcome.longest_stop.max(took);
                    vm.request_ends.clear();
                    vm.phase = Phase::Down {
                        ready_at: now + RESTART_TIME,
                    };
                }
                Phase::Down { ready_at } if ready_at <= now => vm.phase = Phase::Up,
                Phase::Up | Phase::Stopping(_) | Phase::Down { .. } => {}
            }
        }
    }

    /// Sends a request; returns it for the next attempt if it wasn't served and has one left.
    fn send(&mut self, now: u64, request: &Request) -> Option<Request> {
        let failed_probes = balancer::FAILURE_THRESHOLD;
        let rotation: Vec<usize> = (0..self.vms.len())
            .filter(|at| self.vms[*at].failed_probes < failed_probes)
            .collect();
        let at = if rotation.len() * 2 < self.vms.len() {
            self.random.random_range(0..self.vms.len())
        } else {
            rotation[self.random.random_range(0..rotation.len())]
        };
        let duration = self.random.random_range(self.duration.clone());
        let vm = &mut self.vms[at];
        let latest = Millis::new(now + REQUEST_LIMIT + MAX_HOLD);
        let pause = match &vm.phase {
            Phase::Up => None,
            Phase::Stopping(stop) if stop.takes(Some(latest)) => None,
            Phase::Stopping(_) => Some(policy::stop::RETRY.as_u64()),
            Phase::Down { .. } => Some(RETRY_PAUSE),
        };
        let Some(pause) = pause else {
            vm.request_ends.push(now + duration);
            return None;
        };
        let attempts = request.attempts + 1;
        if attempts == MAX_ATTEMPTS {
            self.outcome.lost += 1;
            return None;
        }
        Some(Request {
            at: now + pause,
            attempts,
        })
    }
}

fn simulate(vms: usize, gap: u64, requests_per_second: f64) -> Outcome {
    let mut total = Outcome::default();
    for seed in 0..SEEDS {
        let outcome = Simulation::new(vms, gap, requests_per_second, seed).run(DURATION);
        total.requests += outcome.requests;
        total.lost += outcome.lost;
        total.cut_off += outcome.cut_off;
        total.longest_stop = total.longest_stop.max(outcome.longest_stop);
    }
    total
}

/// VMs of a data centre are told to stop while others of it are still stopping. So the balancer has
/// too few ready VMs and also sends to those that are stopping. A request that such a VM accepts is
/// never cut off. A request that it refuses is retried, and lost if the retry reaches another VM
/// that is stopping or down. The sooner a process that accepts nothing more exits, the sooner the
/// next one serves: of a hundred requests around such a rolling restart at most two are lost, and
/// none if the stops are far enough apart.
#[rstest]
#[case::three_of_three(3, 1_300, 12.0, 50)]
#[case::four_of_four(4, 1_000, 12.0, 50)]
#[case::four_apart(4, 2_000, 50.0, u32::MAX)]
#[case::many(20, 700, 50.0, u32::MAX)]
fn a_rolling_restart_cuts_nothing_off_and_loses_little(
    #[case] vms: usize,
    #[case] gap: u64,
    #[case] requests_per_second: f64,
    #[case] one_lost_in: u32,
) {
    let outcome = simulate(vms, gap, requests_per_second);
    assert_eq!(outcome.cut_off, 0, "{outcome:?}");
    assert!(
        outcome.lost <= outcome.requests / one_lost_in,
        "{outcome:?}"
    );
}

/// All VMs of a data centre are told to stop at the same moment. Most requests that arrive then
/// can't be served, but the accepted ones still complete.
#[test]
fn stopping_all_vms_cuts_nothing_off() {
    let outcome = simulate(3, 0, 12.0);
    assert_eq!(outcome.cut_off, 0, "{outcome:?}");
    assert!(outcome.longest_stop < GRACE.as_u64(), "{outcome:?}");
}
