//! Plays patterns of load under this crate's decisions and under simpler ones, for the sizes and
//! weights of both deployments, and prints what callers got. Fixed seeds: the same figures at each
//! run.
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

/// Milliseconds of a run, the first of which aren't counted.
const SPAN: u64 = 900_000;
/// Milliseconds until the load has settled: several times a mean program's length.
const WARM: u64 = 300_000;
/// The seed of the work.
const SEED: u64 = 1;

/// Threads that play runs side by side.
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

const ADMITTED: [Pattern; 4] = [
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
    /// Programs a second that count as load 1.
    rate: f64,
}

/// Plays both deployments, or the one that the first argument names; a second argument is a seed
/// in place of [`SEED`].
fn main() {
    let only = std::env::args().nth(1);
    let seed = std::env::args().nth(2);
    let seed = seed.map_or(SEED, |text| text.parse().expect("the seed is a number"));
    for of in [deployment::unlike_runners(), deployment::long_programs()] {
        if only.as_ref().is_none_or(|name| name == of.name) {
            deployment_table(&of, seed);
        }
    }
}

fn deployment_table(of: &Deployment, seed: u64) {
    let rules = [Rules::FifoLeast, Rules::Sticky, Rules::Ours];
    let saturating = parallel::map(&rules, THREADS, |rules| capacity::saturating(of, *rules));
    println!(
        "\n{}: {} runners, {} VMs",
        of.name,
        of.endpoints.len(),
        of.vms
    );
    for (rules, rate) in rules.iter().zip(&saturating) {
        println!("carried: {rate:.2} programs/s by {}", rules.name());
    }
    println!(
        "\npatterns, load 1 = {:.2} programs/s, what fifo + least outstanding carries:",
        saturating[0]
    );
    let runs = PATTERNS
        .iter()
        .flat_map(|pattern| with_all(*pattern, saturating[0]));
    table(of, seed, &runs.collect::<Vec<_>>());
    let most = capacity::limit(of, Rules::Ours);
    println!("\nloads, load 1 = {most:.2} programs/s, what the endpoints can do by ours:");
    let loads = LOADS
        .iter()
        .flat_map(|load| with_all(Pattern::Steady(*load), most));
    let mut runs: Vec<Run> = loads.collect();
    runs.push(Run {
        pattern: Pattern::UrgentAlone,
        rules: Rules::Ours,
        rate: most,
    });
    table(of, seed, &runs);
    println!("\nways to let programs in, load 1 = {most:.2} programs/s:");
    let ways = ADMITTED.iter().flat_map(|pattern| {
        Rules::ADMISSION.into_iter().map(|rules| Run {
            pattern: *pattern,
            rules,
            rate: most,
        })
    });
    table(of, seed, &ways.collect::<Vec<_>>());
}

fn with_all(pattern: Pattern, rate: f64) -> impl Iterator<Item = Run> {
    Rules::ALL.into_iter().map(move |rules| Run {
        pattern,
        rules,
        rate,
    })
}

fn table(of: &Deployment, seed: u64, runs: &[Run]) {
    table::head();
    let outcomes = parallel::map(runs, THREADS, |run| {
        let work = work::programs(of, run.pattern, run.rate, SPAN, seed);
        driver::play(of, run.rules, run.pattern, &work, WARM, SPAN)
    });
    for (run, outcome) in runs.iter().zip(&outcomes) {
        table::line(&run.pattern.name(), run.rules.name(), outcome);
    }
}
