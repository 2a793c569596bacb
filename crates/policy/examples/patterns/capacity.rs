//! The saturating load of a deployment under a policy.

use crate::support::deployment::Deployment;
use crate::support::driver;
use crate::support::rules::Rules;
use crate::support::work;
use crate::support::work::Pattern;

/// The length of a trial, in milliseconds.
const SPAN: u64 = 900_000;
/// The settling part of it.
const WARM: u64 = 300_000;
/// Programs a second that are more than any of the fleets can do.
const FLOOD: f64 = 12.0;
/// A load is carried while the routine programs' p95 is under this many times that of an idle
/// fleet.
const STRETCH: u64 = 3;

/// Finds the highest load in programs a second that the policy carries, by bisection.
pub fn saturating(of: &Deployment, rules: Rules) -> f64 {
    let idle = routine_p95(of, rules, 0.5);
    let mut low = 0.5;
    let mut high = 12.0;
    while high - low > 0.1 {
        let middle = f64::midpoint(low, high);
        if routine_p95(of, rules, middle) <= STRETCH * idle {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Finds the load in programs a second at which the endpoints can do no more: what they finish
/// under a flood, over the mean program.
pub fn limit(of: &Deployment, rules: Rules) -> f64 {
    let pattern = Pattern::Steady(1.0);
    let work = work::programs(of, pattern, FLOOD, SPAN, 7);
    let outcome = driver::play(of, rules, pattern, &work, WARM, SPAN);
    let output: u64 = work.iter().map(work::Program::output).sum();
    outcome.goodput / (output as f64 / work.len() as f64)
}

fn routine_p95(of: &Deployment, rules: Rules, rate: f64) -> u64 {
    let pattern = Pattern::Steady(1.0);
    let work = work::programs(of, pattern, rate, SPAN, 7);
    let outcome = driver::play(of, rules, pattern, &work, WARM, SPAN);
    if outcome.routine_lost > 0.01 {
        return u64::MAX;
    }
    outcome.routine.p95
}
