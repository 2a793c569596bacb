//! Tests of choices beside runners that may be silent.

use std::time::Duration;

use adapter::runner::Entry;
use adapter::runner::State;
use rstest::rstest;
use wire::clock::Millis;

use super::NOW;
use super::entry;
use super::fleet;
use super::request;
use super::vm;
use crate::fleet::Fleet;
use crate::fleet::Request;
use crate::fleet::silence::Told;
use crate::fleet::told::short_hash;

/// A fleet of runners that this VM reached long ago.
fn reached(count: usize) -> Fleet {
    let mut fleet = fleet(count);
    for number in 0..count {
        let runner = fleet.runner(&format!("i-{number}"));
        runner.expect("it is known").note_reachable(Millis::new(1));
    }
    fleet
}

/// The same in data centres of their own.
fn spread(count: usize) -> Fleet {
    let mut fleet = reached(count);
    for number in 0..count {
        let entry = Entry {
            centre: format!("centre-{number}"),
            ..entry(State::Ready)
        };
        fleet.set(&format!("i-{number}"), entry, 0);
    }
    fleet
}

fn told(fleet: &mut Fleet, id: &str, silent: bool, age: u64) -> Told {
    let runner = fleet.runner(id).expect("the runner is known");
    Told {
        runner: short_hash(runner.id_hash),
        age,
        silent,
    }
}

fn hear(fleet: &mut Fleet, id: &str, silent: bool, age: u64) {
    let told = told(fleet, id, silent, age);
    fleet.note_silences(&vm("front-b"), &[told], NOW);
}

/// Returns the runners chosen for some requests, and those passed over.
fn chosen(fleet: &Fleet, now: Millis) -> (Vec<String>, Vec<String>) {
    let choices = (0..30).map(|salt| {
        let request = Request {
            salt,
            now,
            ..request(&[])
        };
        fleet.choose(&request).expect("no request is refused")
    });
    let (mut ids, mut passed_over) = (Vec::new(), Vec::new());
    for choice in choices {
        ids.push(choice.id);
        passed_over.extend(choice.passed_over);
    }
    passed_over.sort();
    passed_over.dedup();
    (ids, passed_over)
}

/// Guards against requests that are lost at entries with wrong addresses while other runners answer, and
/// against those that no runner gets before the first one was reached.
#[test]
fn a_runner_that_was_never_reached_is_checked_before_it_is_used() {
    let mut fleet = fleet(3);
    let quiet = chosen(&fleet, NOW);
    assert!(quiet.0.iter().any(|id| id == "i-1") && quiet.1.is_empty());
    for id in ["i-0", "i-2"] {
        let runner = fleet.runner(id).expect("it is known");
        runner.note_reachable(NOW);
    }
    let (ids, passed_over) = chosen(&fleet, NOW);
    assert!(!ids.iter().any(|id| id == "i-1"));
    assert_eq!(passed_over, ["i-1"]);
    assert!(fleet.begin_check("i-1", NOW).is_some());
    let runner = fleet.runner("i-1").expect("it is known");
    runner.note_reachable(NOW.plus(Millis::new(4)));
    assert_eq!(chosen(&fleet, NOW.plus(Millis::new(5))), quiet);
}

/// Another VM found a runner silent. Requests go to others until a check has reached it, and the check is
/// asked for by the request that would have gone there.
#[test]
fn a_runner_that_others_found_silent_is_checked_before_it_is_used() {
    let mut fleet = spread(3);
    let quiet = chosen(&fleet, NOW);
    assert!(quiet.0.iter().any(|id| id == "i-1") && quiet.1.is_empty());
    hear(&mut fleet, "i-1", true, 300);
    let (ids, passed_over) = chosen(&fleet, NOW);
    assert!(!ids.iter().any(|id| id == "i-1"));
    assert_eq!(passed_over, ["i-1"]);
    assert!(fleet.begin_check("i-1", NOW).is_some());
    assert!(fleet.begin_check("i-1", NOW).is_none(), "once");
    fleet
        .runner("i-1")
        .expect("the runner is known")
        .note_reachable(NOW.plus(Millis::new(4)));
    assert_eq!(chosen(&fleet, NOW.plus(Millis::new(5))), quiet);
}

/// Guards against requests that are refused for a suspicion: a VM that is cut off alone reports all.
#[test]
fn if_all_runners_are_suspected_they_are_used_as_ever() {
    let mut fleet = spread(3);
    let quiet = chosen(&fleet, NOW);
    for number in 0..3 {
        hear(&mut fleet, &format!("i-{number}"), true, 300);
    }
    assert_eq!(chosen(&fleet, NOW), quiet);
}

/// A connection to one runner takes long. The others of its data centre may be cut off with it, unless one
/// of them has answered since.
#[rstest]
#[case::none_answers(None, &["i-3"])]
#[case::another_answers(Some("i-2"), &["i-1", "i-2", "i-3"])]
fn beside_a_slow_attempt_a_data_centre_is_passed_over(
    #[case] answering: Option<&str>,
    #[case] expected: &[&str],
) {
    let mut fleet = reached(4);
    let remote = Entry {
        centre: "b".to_owned(),
        ..entry(State::Ready)
    };
    fleet.set("i-3", remote, 0);
    let since = NOW.since(Millis::new(30));
    if let Some(id) = answering {
        fleet.runner(id).expect("it is known").note_answer(NOW);
    }
    assert!(fleet.note_slow("i-0", since, NOW).is_some());
    assert!(fleet.note_slow("i-0", since, NOW).is_none(), "under way");
    let (mut ids, _) = chosen(&fleet, NOW);
    ids.retain(|id| !expected.contains(&id.as_str()));
    assert_eq!(ids, Vec::<String>::new());
    let over = since.plus(Millis::new(250));
    assert!(chosen(&fleet, over).0.iter().any(|id| id == "i-1"));
}

/// Guards against a request that gives up its only runner after the first wait, and against any first wait
/// before connections were measured.
#[test]
fn only_a_request_that_can_go_elsewhere_has_a_first_wait() {
    let first_wait = |fleet: &Fleet| fleet.choose(&request(&[])).and_then(|one| one.first_wait);
    let mut fleet = fleet(2);
    assert_eq!(first_wait(&fleet), None);
    fleet.note_connected("i-0", Duration::from_millis(4));
    assert_eq!(first_wait(&fleet), Some(Duration::from_millis(32)));
    fleet.remove("i-1");
    assert_eq!(first_wait(&fleet), None);
}

/// Guards against messages that say anything in quiet times, or the same for ever.
#[test]
fn only_news_are_told() {
    let mut fleet = spread(3);
    let runner = fleet.runner("i-0").expect("the runner is known");
    runner.note_answer(NOW);
    assert_eq!(fleet.silences(NOW, |_| true), []);
    fleet.note_silent("i-1", NOW, NOW.plus(Millis::new(250)));
    let expected = told(&mut fleet, "i-1", true, 250);
    assert_eq!(
        fleet.silences(NOW.plus(Millis::new(250)), |_| false),
        [expected]
    );
    hear(&mut fleet, "i-2", true, 100);
    assert_eq!(fleet.silences(NOW, |_| false).len(), 1);
    assert_eq!(fleet.silences(NOW, |_| true).len(), 2, "passed on");
    let later = NOW.plus(Millis::new(1_000));
    assert_eq!(fleet.silences(later, |_| true), []);
}
