//! The saturating load of a deployment under a policy.

use crate::support::deployment::Deployment;
use crate::support::driver;
use crate::support::rules::Rules;
use crate::support::work;
use crate::support::work::Pattern;

/// The length of a trial, in milliseconds.
const SPAN: u64 = 200_000;
/// The settling part of it.
const WARM: u64 = 60_000;
/// A load is carried while the routine programs' p95 is under this many times that of an idle
/// fleet.
const STRETCH: u64 = 2;

/// Finds the highest load in programs a second that the policy carries, by bisection.
pub fn saturating(of: &Deployment, rules: Rules) -> f64 {
    let idle = routine_p95(of, rules, 0.5);
    let mut low = 0.5;
    let mut high = 24.0;
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

fn routine_p95(of: &Deployment, rules: Rules, rate: f64) -> u64 {
    let pattern = Pattern::Steady(1.0);
    let work = work::programs(of, pattern, rate, SPAN, 7);
    let outcome = driver::play(of, rules, pattern, &work, WARM, SPAN);
    if outcome.routine_lost > 0.01 {
        return u64::MAX;
    }
    outcome.routine.p95
}
