//! Finds the load that a deployment can carry under a set of rules.

use crate::support::deployment::Deployment;
use crate::support::driver;
use crate::support::rules::Rules;
use crate::support::work;
use crate::support::work::Pattern;

/// Duration of a trial, in milliseconds.
const SPAN: u64 = 900_000;
/// Part of it until the load has settled, in milliseconds.
const WARM: u64 = 300_000;
/// Programs per second, more than any of the fleets can process.
const FLOOD_RATE: f64 = 12.0;
/// A load is carried while the routine programs' p95 is at most this many times that of an idle
/// fleet.
const MAX_SLOWDOWN: u64 = 3;

/// Returns the highest load in programs per second that the rules carry, found by bisection.
pub fn carried_load(deployment: &Deployment, rules: Rules) -> f64 {
    let idle = routine_p95(deployment, rules, 0.5);
    let mut low = 0.5;
    let mut high = 12.0;
    while high - low > 0.1 {
        let middle = f64::midpoint(low, high);
        if routine_p95(deployment, rules, middle) <= MAX_SLOWDOWN * idle {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Returns the load in programs per second at which the endpoints are saturated: the tokens per
/// second that they finish under a flood, divided by the tokens of a mean program.
pub fn saturating_load(deployment: &Deployment, rules: Rules) -> f64 {
    let pattern = Pattern::Steady(1.0);
    let programs = work::programs(deployment, pattern, FLOOD_RATE, SPAN, 7);
    let outcome = driver::simulate(deployment, rules, pattern, &programs, WARM, SPAN);
    let output: u64 = programs.iter().map(work::Program::output).sum();
    outcome.goodput / (output as f64 / programs.len() as f64)
}

fn routine_p95(deployment: &Deployment, rules: Rules, rate: f64) -> u64 {
    let pattern = Pattern::Steady(1.0);
    let programs = work::programs(deployment, pattern, rate, SPAN, 7);
    let outcome = driver::simulate(deployment, rules, pattern, &programs, WARM, SPAN);
    if outcome.routine_lost > 0.01 {
        return u64::MAX;
    }
    outcome.routine.p95
}
