use std::path::PathBuf;

use wire::clock::Millis;

use crate::plan::Plan;
use crate::schedule;
use crate::schedule::Size;

use super::parse;

/// The file of regressions in the crate's folder.
const FILE: &str = include_str!("../../regressions.toml");

#[test]
fn each_run_says_why_it_failed() {
    for run in parse(FILE).unwrap() {
        assert!(!run.faults.is_empty(), "{run:?}");
        assert!(run.cause.len() > 20, "{run:?}");
    }
}

#[test]
fn a_shortened_run_has_the_first_faults_of_the_whole_run() {
    for run in parse(FILE).unwrap() {
        let plan = |most: u64| run.plan(PathBuf::new(), PathBuf::new(), Millis::new(most));
        assert_eq!(plan(u64::MAX).span, Millis::new(run.for_s * 1_000));
        let size = Size {
            callers: run.vms,
            disks: 3,
            centres: 3,
            runners: run.runners,
        };
        let (short, whole) = (plan(22_000), plan(u64::MAX));
        let generated = |plan: &Plan| schedule::generate(plan.seed, plan.span, &plan.kinds, size);
        let (short, whole) = (generated(&short), generated(&whole));
        assert!(!short.is_empty(), "{run:?}");
        assert!(short.iter().all(|step| whole.contains(step)), "{run:?}");
    }
}

#[test]
fn an_unknown_fault_is_named() {
    let text =
        "[[run]]\nseed = 1\nfor_s = 60\nvms = 6\nfaults = [\"earthquake\"]\ncause = \"none\"\n";
    assert!(parse(text).unwrap_err().to_string().contains("earthquake"));
}
