use super::parse;

/// The file beside the crate's sources.
const FILE: &str = include_str!("../../regressions.toml");

#[test]
fn each_kept_run_says_why_it_failed() {
    for run in parse(FILE).unwrap() {
        assert!(!run.faults.is_empty(), "{run:?}");
        assert!(run.cause.len() > 20, "{run:?}");
    }
}

#[test]
fn an_unknown_fault_is_named() {
    let text =
        "[[run]]\nseed = 1\nfor_s = 60\nvms = 6\nfaults = [\"earthquake\"]\ncause = \"none\"\n";
    assert!(parse(text).unwrap_err().to_string().contains("earthquake"));
}
