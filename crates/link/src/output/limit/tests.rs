use std::time::Duration;
use std::time::Instant;

use super::Limit;
use super::MAX_LINES_PER_WINDOW;
use super::Room;
use super::Verdict;
use super::WINDOW;

const PLACED: u16 = 1201;
const REFUSED: u16 = 1102;

/// One event floods. Its lines beyond the rate are dropped and counted. Lines of another event are
/// written, as are its own lines in the next window, a second later.
#[test]
fn a_flood_of_one_event_drops_no_lines_of_others() {
    let now = Instant::now();
    let mut limit = Limit::default();
    for at in 0..MAX_LINES_PER_WINDOW + 7 {
        let expected = if at < MAX_LINES_PER_WINDOW {
            Verdict::Written
        } else {
            Verdict::Dropped
        };
        assert_eq!(limit.decide(PLACED, Room::Free, now), expected);
    }
    assert_eq!(limit.decide(REFUSED, Room::Free, now), Verdict::Written);
    let later = now + WINDOW;
    assert_eq!(limit.decide(PLACED, Room::Free, later), Verdict::Written);
    assert_eq!(
        limit.take_report(later).to_string(),
        "lines=7 full=0 events=E1201:7"
    );
    assert!(limit.take_report(later + WINDOW).is_empty());
}

/// Lines of several events are dropped because the queue is full. The report counts them by event,
/// and is written at most once a second.
#[test]
fn drops_are_reported_by_event_at_most_once_a_second() {
    let now = Instant::now();
    let mut limit = Limit::default();
    for event in [PLACED, REFUSED, PLACED, 0] {
        assert_eq!(limit.decide(event, Room::Full, now), Verdict::Dropped);
    }
    let report = limit.take_report(now).to_string();
    assert_eq!(report, "lines=4 full=4 events=E0:1,E1102:1,E1201:2");
    limit.decide(PLACED, Room::Full, now);
    let soon = now + Duration::from_millis(900);
    assert!(limit.take_report(soon).is_empty());
    limit.allow_report();
    assert_eq!(
        limit.take_report(soon).lines(),
        1,
        "a report is allowed when the process exits"
    );
}
