//! Simulates load patterns under this crate's decisions and under simpler rules, with the sizes and
//! weights of both deployments, and prints the results for callers. The seeds are fixed, so each
//! run prints the same figures.
#![allow(
    clippy::cast_precision_loss,
    reason = "times and counts of a run stay far below 2^52"
)]

#[path = "../../tests/support/mod.rs"]
mod support;

mod capacity;
mod parallel;
mod table;

use support::deployment;
use support::deployment::Deployment;
use support::driver;
use support::rules::Rules;
use support::work;
use support::work::Pattern;

/// Duration of a run in milliseconds, including [`WARM_UP`], which isn't counted.
const SPAN: u64 = 900_000;
/// Milliseconds until the load has settled: several times the duration of a mean program.
const WARM_UP: u64 = 300_000;
/// Seed of the generated programs.
const SEED: u64 = 1;

/// Number of threads that simulate runs in parallel.
const THREADS: usize = 6;

const PATTERNS: [Pattern; 9] = [
    Pattern::Steady(0.3),
    Pattern::Steady(0.9),
    Pattern::Burst,
    Pattern::FewCallers,
    Pattern::HotPrograms,
    Pattern::SlowEndpoint,
    Pattern::FailingEndpoint,
    Pattern::LongAmongShort,
    Pattern::UrgentFlood,
];

const ADMISSION_PATTERNS: [Pattern; 4] = [
    Pattern::Steady(0.9),
    Pattern::Steady(1.2),
    Pattern::Steady(2.0),
    Pattern::Burst,
];

const LOADS: [f64; 7] = [0.5, 0.7, 0.9, 1.0, 1.2, 1.5, 2.0];

/// One line of the table.
struct Run {
    pattern: Pattern,
    rules: Rules,
    /// Programs per second that count as a load of 1.
    rate: f64,
}

/// Simulates both deployments, or the one that the first argument names. The second argument is a
/// seed to use instead of [`SEED`].
fn main() {
    let only = std::env::args().nth(1);
    let seed = std::env::args().nth(2);
    let seed = seed.map_or(SEED, |text| text.parse().expect("the seed is a number"));
    for deployment in [deployment::mixed_runners(), deployment::long_programs()] {
        if only.as_ref().is_none_or(|name| name == deployment.name) {
            deployment_table(&deployment, seed);
        }
    }
}

fn deployment_table(deployment: &Deployment, seed: u64) {
    let rules = [Rules::FifoLeast, Rules::Sticky, Rules::Ours];
    let carried = parallel::map(&rules, THREADS, |rules| {
        capacity::carried_load(deployment, *rules)
    });
    println!(
        "\n{}: {} runners, {} VMs",
        deployment.name,
        deployment.endpoints.len(),
        deployment.vms
    );
    for (rules, rate) in rules.iter().zip(&carried) {
        println!("carried: {rate:.2} programs/s by {}", rules.name());
    }
    println!(
        "\npatterns; a load of 1 is {:.2} programs/s, the highest load that fifo + least outstanding carries:",
        carried[0]
    );
    let runs = PATTERNS
        .iter()
        .flat_map(|pattern| with_all_rules(*pattern, carried[0]));
    table(deployment, seed, &runs.collect::<Vec<_>>());
    let limit = capacity::saturating_load(deployment, Rules::Ours);
    println!(
        "\nloads; a load of 1 is {limit:.2} programs/s, which saturates the endpoints under ours:"
    );
    let loads = LOADS
        .iter()
        .flat_map(|load| with_all_rules(Pattern::Steady(*load), limit));
    let mut runs: Vec<Run> = loads.collect();
    runs.push(Run {
        pattern: Pattern::UrgentAlone,
        rules: Rules::Ours,
        rate: limit,
    });
    table(deployment, seed, &runs);
    println!("\nadmission rules; a load of 1 is {limit:.2} programs/s:");
    let admission_runs = ADMISSION_PATTERNS.iter().flat_map(|pattern| {
        Rules::ADMISSION.into_iter().map(|rules| Run {
            pattern: *pattern,
            rules,
            rate: limit,
        })
    });
    table(deployment, seed, &admission_runs.collect::<Vec<_>>());
}

fn with_all_rules(pattern: Pattern, rate: f64) -> impl Iterator<Item = Run> {
    Rules::ALL.into_iter().map(move |rules| Run {
        pattern,
        rules,
        rate,
    })
}

fn table(deployment: &Deployment, seed: u64, runs: &[Run]) {
    table::print_header();
    let outcomes = parallel::map(runs, THREADS, |run| {
        let programs = work::programs(deployment, run.pattern, run.rate, SPAN, seed);
        driver::simulate(deployment, run.rules, run.pattern, &programs, WARM_UP, SPAN)
    });
    for (run, outcome) in runs.iter().zip(&outcomes) {
        table::print_row(&run.pattern.name(), run.rules.name(), outcome);
    }
}
