use std::time::Duration;
use std::time::Instant;

use super::Limit;
use super::RATE;
use super::Room;
use super::Verdict;
use super::WINDOW;

const PLACED: u16 = 1201;
const REFUSED: u16 = 1102;

/// One event floods. Its lines beyond the rate are dropped and counted; another event's pass, and its
/// own do again a second later.
#[test]
fn one_event_that_floods_takes_no_other_events_place() {
    let now = Instant::now();
    let mut limit = Limit::default();
    for at in 0..RATE + 7 {
        let wanted = if at < RATE {
            Verdict::Passes
        } else {
            Verdict::Dropped
        };
        assert_eq!(limit.judge(PLACED, Room::Free, now), wanted);
    }
    assert_eq!(limit.judge(REFUSED, Room::Free, now), Verdict::Passes);
    let later = now + WINDOW;
    assert_eq!(limit.judge(PLACED, Room::Free, later), Verdict::Passes);
    assert_eq!(
        limit.take(later).to_string(),
        "lines=7 full=0 events=E1201:7"
    );
    assert!(limit.take(later + WINDOW).is_empty());
}

/// The queue is full for some events, and a reader of the log wants to know which lines it lacks, in
/// one line a second at most.
#[test]
fn drops_are_told_by_event_and_once_a_second_at_most() {
    let now = Instant::now();
    let mut limit = Limit::default();
    for event in [PLACED, REFUSED, PLACED, 0] {
        assert_eq!(limit.judge(event, Room::Full, now), Verdict::Dropped);
    }
    let told = limit.take(now).to_string();
    assert_eq!(told, "lines=4 full=4 events=E0:1,E1102:1,E1201:2");
    limit.judge(PLACED, Room::Full, now);
    let soon = now + Duration::from_millis(900);
    assert!(limit.take(soon).is_empty());
    limit.hurry();
    assert_eq!(limit.take(soon).lines(), 1, "the end of a process");
}
