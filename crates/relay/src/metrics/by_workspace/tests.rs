use super::Counters;
use super::MAX_NAMED;

/// Thousands of workspaces are over their limits. Their counters must not grow the metrics without
/// bound.
#[test]
fn counters_are_bounded() {
    let mut counters = Counters::default();
    for number in 0..1_000 {
        counters.count(&format!("w-{number}"));
    }
    counters.count("w-0");
    let all: Vec<_> = counters.all().collect();
    assert_eq!(all.len(), MAX_NAMED + 1);
    assert!(all.contains(&("w-0", 2)));
    assert!(all.contains(&("others", 1_000 - MAX_NAMED as u64)));
}
