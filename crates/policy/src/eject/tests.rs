use rstest::rstest;
use wire::clock::Millis;

use super::Change;
use super::Detector;
use super::FIRST_EJECTION;
use super::Kind;
use super::Sample;
use super::State;
use super::max_ejected;
use super::sweep;
use crate::slow_start;

const NOW: Millis = Millis::new(1_000_000);

fn pool(paces: &[f64]) -> Vec<Detector> {
    let detector = |pace: &f64| {
        let mut detector = Detector::new(Millis::ZERO);
        for _ in 0..10 {
            detector.note(Sample::Done { pace: *pace });
        }
        detector
    };
    paces.iter().map(detector).collect()
}

fn fail(detector: &mut Detector, times: u32) {
    for _ in 0..times {
        detector.note(Sample::Failed);
    }
}

fn ejected(changes: &[Change]) -> Vec<usize> {
    changes.iter().map(|change| change.index).collect()
}

#[test]
fn different_speeds_are_no_fault() {
    let mut pool = pool(&[10.0, 15.0, 20.0, 25.0, 30.0]);
    assert_eq!(sweep(&mut pool, NOW), []);
}

#[test]
fn a_slow_endpoint_is_ejected() {
    let mut pool = pool(&[10.0, 10.0, 100.0, 10.0, 10.0]);
    assert_eq!(ejected(&sweep(&mut pool, NOW)), [2]);
    assert!(pool[2].share(NOW) <= 0.0);
}

#[rstest]
#[case(2, &[])]
#[case(3, &[1])]
fn failures_in_a_row_eject(#[case] failures: u32, #[case] expected: &[usize]) {
    let mut pool = pool(&[10.0; 4]);
    fail(&mut pool[1], failures);
    assert_eq!(ejected(&sweep(&mut pool, NOW)), expected);
}

#[test]
fn the_worst_are_ejected_first_and_most_stay_in_use() {
    let mut pool = pool(&[10.0; 10]);
    for (index, detector) in pool.iter_mut().enumerate() {
        let failures = u32::try_from(index).expect("ten endpoints fit into u32");
        fail(detector, 10 + failures);
    }
    assert_eq!(ejected(&sweep(&mut pool, NOW)), [9, 8, 7]);
    assert_eq!(sweep(&mut pool, NOW.plus(Millis::new(1))), []);
}

#[test]
fn a_restored_endpoint_has_a_growing_share() {
    let mut pool = pool(&[10.0; 4]);
    fail(&mut pool[0], 3);
    sweep(&mut pool, NOW);
    let restored_at = NOW.plus(FIRST_EJECTION);
    let kind = Kind::Back;
    assert_eq!(sweep(&mut pool, restored_at), [Change { index: 0, kind }]);
    assert!(pool[0].share(restored_at) < 0.2);
    assert!(pool[0].share(restored_at.plus(slow_start::DURATION)) >= 1.0);
}

#[test]
fn a_second_ejection_lasts_longer() {
    let mut pool = pool(&[10.0; 4]);
    fail(&mut pool[0], 3);
    sweep(&mut pool, NOW);
    let restored_at = NOW.plus(FIRST_EJECTION);
    sweep(&mut pool, restored_at);
    fail(&mut pool[0], 3);
    sweep(&mut pool, restored_at);
    let until = restored_at.plus(FIRST_EJECTION).plus(FIRST_EJECTION);
    assert_eq!(pool[0].state(), State::Ejected { until });
}

#[rstest]
#[case(0, 0)]
#[case(1, 0)]
#[case(2, 1)]
#[case(3, 1)]
#[case(12, 3)]
#[case(600, 180)]
fn some_endpoints_always_stay_in_use(#[case] endpoints: usize, #[case] expected: usize) {
    assert_eq!(max_ejected(endpoints), expected);
}
