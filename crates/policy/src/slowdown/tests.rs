use rstest::rstest;
use wire::clock::Millis;

use super::LASTING;
use super::MAX_AGE;
use super::Reading;

const AT: Millis = Millis::new(50_000);

fn reading(percent: u32) -> Reading {
    Reading { percent, at: AT }
}

fn factor(percent: u32, usual_ms: f64, age: Millis) -> f64 {
    reading(percent).expected_factor(usual_ms, AT.plus(age))
}

/// Guards against a slowdown that is held against an endpoint for longer than it lasts.
#[test]
fn a_slowdown_counts_less_the_older_and_the_longer_the_call() {
    let fresh = factor(250, 1.0, Millis::ZERO);
    assert!((2.4..=2.5).contains(&fresh), "{fresh}");
    let call = factor(250, 350.0, Millis::ZERO);
    assert!((1.6..2.2).contains(&call), "{call}");
    let older = factor(250, 350.0, LASTING);
    assert!(
        ((older - 1.0) / (call - 1.0) - 0.37).abs() < 0.01,
        "{older}"
    );
    assert!(factor(250, 10_000.0, Millis::ZERO) < 1.1);
    assert!((factor(250, 1.0, MAX_AGE) - 1.0).abs() < f64::EPSILON);
}

/// Guards against endpoints that are as fast as usual and compared by anything but their pace.
#[rstest]
fn a_usual_reading_changes_nothing(#[values(1, 350, 5_000)] span: u64) {
    let usual = reading(100);
    assert!((usual.expected_factor(350.0, AT) - 1.0).abs() < f64::EPSILON);
    assert_eq!(usual.usual_span(Millis::new(span)), Millis::new(span));
}

/// Guards against endpoints that look slow, or fast, for long after a slowdown.
#[rstest]
fn what_a_slowdown_took_is_not_held_against_the_pace(#[values(50, 250, 400)] percent: u32) {
    let call = Millis::new(10);
    let took = Millis::new(10 * u64::from(percent) / 100);
    let usual = reading(percent).usual_span(took);
    assert!(usual.as_u64().abs_diff(call.as_u64()) <= 2, "{usual:?}");
    assert_eq!(reading(percent).usual_span(Millis::ZERO), Millis::new(1));
}

/// Guards against figures of no use that would make an endpoint infinitely slow or fast.
#[rstest]
fn any_figure_gives_a_finite_factor(#[values(0, 1, 100_000, u32::MAX)] percent: u32) {
    let factor = factor(percent, 0.0, Millis::ZERO);
    assert!(factor.is_finite() && factor > 0.0, "{factor}");
}
