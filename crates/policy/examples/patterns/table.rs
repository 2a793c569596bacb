//! Prints the table of results.

use crate::support::outcome::Outcome;

/// Prints the column headings. Latencies (`u` for urgent, `r` for routine) are in seconds, `other`
/// is the p99 of urgent programs without the flooding caller's, `again` is thousands of repeatedly
/// prefilled tokens per hundred programs, `worst` is the smallest ratio of a caller's share to its
/// fair share, `goodput` and `made` are tokens per second.
pub fn print_header() {
    println!(
        "{:<17} {:<20} {:>5} {:>5} {:>5} {:>5} {:>5} | {:>5} {:>5} {:>5} {:>5} | {:>6} {:>5} {:>7} {:>7}",
        "pattern",
        "policy",
        "u p50",
        "u p95",
        "u p99",
        "other",
        "lost%",
        "r p50",
        "r p95",
        "r p99",
        "lost%",
        "again",
        "worst",
        "goodput",
        "made",
    );
}

/// Prints a row of the table.
pub fn print_row(pattern: &str, policy: &str, outcome: &Outcome) {
    let seconds = |millis: u64| millis as f64 / 1000.0;
    println!(
        "{:<17} {:<20} {:>5.1} {:>5.1} {:>5.1} {:>5.1} {:>5.1} | {:>5.1} {:>5.1} {:>5.1} {:>5.1} | {:>6.0} {:>5.2} {:>7.0} {:>7.0}",
        pattern,
        policy,
        seconds(outcome.urgent.p50),
        seconds(outcome.urgent.p95),
        seconds(outcome.urgent.p99),
        seconds(outcome.other_urgent.p99),
        outcome.urgent_lost * 100.0,
        seconds(outcome.routine.p50),
        seconds(outcome.routine.p95),
        seconds(outcome.routine.p99),
        outcome.routine_lost * 100.0,
        outcome.recomputed,
        outcome.min_fairness,
        outcome.goodput,
        outcome.generated,
    );
}
