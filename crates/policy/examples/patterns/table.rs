//! The table.

use crate::support::outcome::Outcome;

/// Prints the table's head.
pub fn head() {
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

/// Prints a line: seconds, shares, thousands of tokens a hundred programs, tokens a second.
pub fn line(pattern: &str, policy: &str, of: &Outcome) {
    let seconds = |millis: u64| millis as f64 / 1000.0;
    println!(
        "{:<17} {:<20} {:>5.1} {:>5.1} {:>5.1} {:>5.1} {:>5.1} | {:>5.1} {:>5.1} {:>5.1} {:>5.1} | {:>6.0} {:>5.2} {:>7.0} {:>7.0}",
        pattern,
        policy,
        seconds(of.urgent.p50),
        seconds(of.urgent.p95),
        seconds(of.urgent.p99),
        seconds(of.others.p99),
        of.urgent_lost * 100.0,
        seconds(of.routine.p50),
        seconds(of.routine.p95),
        seconds(of.routine.p99),
        of.routine_lost * 100.0,
        of.again,
        of.worst,
        of.goodput,
        of.generated,
    );
}
