use clap::ValueEnum;
use wire::clock::Millis;

use crate::fault::Fault;
use crate::fault::Kind;

use super::QUIET_END_MS;
use super::Size;
use super::Step;
use super::WIPE_GAP_MS;
use super::generate;

const SIZE: Size = Size {
    callers: 6,
    disks: 3,
    centres: 3,
    runners: 6,
};
const SPAN: Millis = Millis::new(120_000);

fn generated(seed: u64, kinds: &[Kind]) -> Vec<Step> {
    generate(seed, SPAN, kinds, SIZE)
}

#[test]
fn a_seed_always_generates_the_same_schedule() {
    let kinds = Kind::value_variants();
    assert_eq!(generated(7, kinds), generated(7, kinds));
    assert_ne!(generated(7, kinds), generated(8, kinds));
}

#[test]
fn each_kind_is_generated_and_leaves_the_end_quiet() {
    for kind in Kind::value_variants() {
        let steps = generated(3, &[*kind]);
        assert!(!steps.is_empty(), "{kind:?}");
        let end = Millis::new(SPAN.as_u64() - QUIET_END_MS + 2_500);
        assert!(steps.iter().all(|step| step.at < end), "{kind:?}");
    }
}

/// If a second disk were lost before the first one is restored, that would be more than the system
/// has to tolerate, and the run would report failures that are none.
#[test]
fn no_two_disks_are_lost_near_each_other() {
    for seed in 0..200 {
        let steps = generated(seed, Kind::value_variants());
        let wipes = steps
            .iter()
            .filter(|step| matches!(step.fault, Fault::Wipe(_)));
        let wipes: Vec<Millis> = wipes.map(|step| step.at).collect();
        for pair in wipes.windows(2) {
            assert!(pair[1].since(pair[0]).as_u64() >= WIPE_GAP_MS);
        }
    }
}

/// All VMs of a data centre are asked to stop before the first one has ended.
#[test]
fn stops_of_a_data_centre_overlap() {
    let steps = generated(1, &[Kind::Overlap]);
    let overlapping = steps.windows(2).filter(|pair| {
        let centres = pair.iter().map(|step| match step.fault {
            Fault::Stop(vm) => vm % SIZE.centres,
            _ => usize::MAX,
        });
        let centres: Vec<usize> = centres.collect();
        centres[0] == centres[1] && pair[1].at.since(pair[0].at) < Millis::new(2_500)
    });
    assert!(overlapping.count() > 3);
}
