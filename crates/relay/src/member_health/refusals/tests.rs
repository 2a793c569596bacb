use wire::clock::Millis;

use super::Ended;
use super::Reason;
use super::Refusals;

fn at(ms: u64) -> Millis {
    Millis::new(50_000 + ms)
}

/// Guards against a log that tells of refused turns, each by itself, and of nothing else for seconds.
#[test]
fn turns_that_are_refused_for_a_while_are_logged_once_and_at_their_end() {
    let mut refusals = Refusals::default();
    let logged = (0..=4_000).step_by(400).filter(|ms| {
        assert_eq!(refusals.end(at(*ms)), None);
        refusals.note(Reason::Unlogged, at(*ms))
    });
    assert_eq!(logged.collect::<Vec<u64>>(), [2_000]);
    assert_eq!(refusals.end(at(5_499)), None);
    let ended = Ended {
        turns: 11,
        span: Millis::new(4_000),
    };
    assert_eq!(refusals.end(at(5_500)), Some(ended));
    assert_eq!(refusals.end(at(5_500)), None);
}

/// Guards against lines for each change of the list, which refuses some turns for a moment.
#[test]
fn turns_that_are_refused_for_a_moment_are_not_logged() {
    let mut refusals = Refusals::default();
    for ms in [0, 900, 1_900, 3_400, 4_400] {
        assert!(!refusals.note(Reason::Unlogged, at(ms)));
    }
    assert_eq!(refusals.end(at(10_000)), None);
}

/// Guards against two lines about the same loss of members.
#[test]
fn refusals_that_another_line_explains_are_not_logged() {
    let mut refusals = Refusals::default();
    for ms in (0..5_000).step_by(200) {
        assert!(!refusals.note(Reason::Logged, at(ms)));
    }
    assert_eq!(refusals.end(at(10_000)), None);
}
