mod choices;
mod silences;

use adapter::config::Engine;
use adapter::runner::Entry;
use adapter::runner::Load;
use adapter::runner::State;
use policy::prefix::Part;
use rstest::rstest;
use wire::clock::Millis;

use super::Change;
use super::Fleet;
use super::Home;
use super::REMOTE_COST_AT_MOST_ONCE_MS;
use super::Request;
use super::Software;
use crate::tally::Origin;
use crate::tally::Tally;

const NOW: Millis = Millis::new(50_000);
const ENGINE: Engine = Engine {
    slots: 16,
    memory_tokens: 400_000,
    event_tokens: 20,
};
const PROMPT: [Part; 2] = [
    Part {
        id: 1,
        tokens: 12_000,
    },
    Part {
        id: 2,
        tokens: 1_000,
    },
];

fn entry(state: State) -> Entry {
    Entry {
        service: "models".to_owned(),
        address: ([127, 0, 0, 1], 8080).into(),
        centre: "a".to_owned(),
        slots: 16,
        state,
        cold: Millis::ZERO,
        build: "v1".to_owned(),
        born: Some(1),
    }
}

fn vm(name: &str) -> Origin {
    Origin::Vm(name.to_owned())
}

fn tally(runner: &str, under_way: u32, held_off: u32) -> Tally {
    Tally {
        runner: runner.to_owned(),
        under_way,
        held_off,
    }
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::default();
    for number in 0..count {
        let id = format!("i-{number}");
        fleet.set(&id, entry(State::Ready), ENGINE.memory_tokens);
    }
    fleet
}

fn request(excluded: &[String]) -> Request<'_> {
    Request {
        service: "models",
        engine: Some(ENGINE),
        prompt: &PROMPT,
        prompt_tokens: 13_000,
        home: Home::None,
        output_tokens: 250,
        salt: 7,
        software: Software::Any,
        excluded,
        centre: "a",
        vm: "front-a-1",
        remote_cost_ms: REMOTE_COST_AT_MOST_ONCE_MS,
        now: NOW,
    }
}

/// Long prompts, most of which some runner has read before. Without the preference for that runner,
/// a turn would read 13,000 tokens again, which stalls all other streams of its runner for some 60
/// ms.
#[test]
fn turn_goes_to_the_runner_with_its_prompt_cached() {
    let mut fleet = fleet(6);
    fleet.runner("i-4").unwrap().note_prompt(&PROMPT, NOW);
    let chosen = fleet.choose(&request(&[])).unwrap();
    assert_eq!((chosen.id.as_str(), chosen.cached), ("i-4", 13_000));
}

/// Other VMs have filled the runner that has the prompt cached. Waiting for a slot there takes
/// longer than reading the prompt elsewhere.
#[test]
fn requests_of_other_vms_count_like_own_ones() {
    let mut fleet = fleet(6);
    fleet.runner("i-4").unwrap().note_prompt(&PROMPT, NOW);
    fleet.note_tallies(&vm("front-b"), &[tally("i-4", 40, 0)], NOW);
    assert_ne!(fleet.choose(&request(&[])).unwrap().id, "i-4");
    let later = Request {
        now: NOW.plus(Millis::new(2_000)),
        ..request(&[])
    };
    assert_eq!(
        fleet.choose(&later).unwrap().id,
        "i-4",
        "an old report no longer counts"
    );
}

#[rstest]
#[case::draining(|fleet: &mut Fleet| {
    assert_eq!(fleet.set("i-0", entry(State::Draining), 0), Change::Draining);
})]
#[case::unreachable(|fleet: &mut Fleet| assert!(fleet.note_unreachable("i-0", NOW).is_some()))]
#[case::address_taken(|fleet: &mut Fleet| fleet.runner("i-0").unwrap().note_address_taken(NOW))]
#[case::removed(|fleet: &mut Fleet| assert_eq!(fleet.remove("i-0"), Change::Removed))]
fn ineligible_runner_gets_no_requests(#[case] change: fn(&mut Fleet)) {
    let mut fleet = fleet(1);
    assert!(fleet.choose(&request(&[])).is_some());
    change(&mut fleet);
    assert!(fleet.choose(&request(&[])).is_none());
}

/// A partition hides a runner and then ends. Requests must not be spent on finding that out: the
/// runner is used again once a probe has connected.
#[test]
fn unreachable_runner_is_used_again_after_a_connection() {
    let mut fleet = fleet(1);
    assert!(fleet.note_unreachable("i-0", NOW).is_some());
    assert!(
        fleet.note_unreachable("i-0", NOW).is_none(),
        "it was unreachable already"
    );
    assert_eq!(fleet.unreachable().len(), 1);
    assert!(fleet.runner("i-0").unwrap().note_reachable(NOW));
    assert!(!fleet.runner("i-0").unwrap().note_reachable(NOW));
    assert!(
        fleet.choose(&request(&[])).is_none(),
        "it is still held off"
    );
    assert!(fleet.unreachable().is_empty());
    // A second break in a row holds the runner off for twice the first span.
    let later = Request {
        now: NOW.plus(Millis::new(500)),
        ..request(&[])
    };
    assert!(fleet.choose(&later).is_some());
}

/// The key-value service was unavailable and the runners' entries lapsed meanwhile. A running
/// runner is back in the list within two seconds; a runner that isn't back by then is gone.
#[test]
fn entry_that_lapsed_in_an_outage_is_used_for_a_while() {
    let mut fleet = fleet(2);
    fleet.note_missing(&["i-0".to_owned()], NOW);
    assert!(
        fleet
            .remove_missing(NOW.plus(Millis::new(1_000)))
            .is_empty()
    );
    assert_eq!(fleet.remove_missing(NOW.plus(Millis::new(1_900))), ["i-1"]);
    fleet.note_missing(&[], NOW);
    fleet.set("i-0", entry(State::Ready), 0);
    assert!(
        fleet
            .remove_missing(NOW.plus(Millis::new(9_000)))
            .is_empty()
    );
}

/// A runner restarts under its id. Its cache is empty, so no request is sent there for the sake of
/// the cache. Requests in flight still count until they end.
#[test]
fn restarted_runner_has_an_empty_cache() {
    let mut fleet = fleet(2);
    let runner = fleet.runner("i-0").unwrap();
    runner.note_prompt(&PROMPT, NOW);
    runner.own_requests = 2;
    let restarted = Entry {
        build: "v1".to_owned(),
        born: Some(2),
        ..entry(State::Ready)
    };
    assert_eq!(
        fleet.set("i-0", restarted, ENGINE.memory_tokens),
        Change::Appeared
    );
    assert_eq!(
        fleet.choose(&request(&["i-1".to_owned()])).unwrap().cached,
        0
    );
    assert_eq!(fleet.tallies(NOW, |_| false), [tally("i-0", 2, 0)]);
}

/// Guards against VMs that go on with a runner's earlier build because another one, which reads the entries
/// for them, doesn't pass the change on.
#[test]
fn a_changed_build_is_passed_on() {
    let mut fleet = fleet(1);
    let changed = Entry {
        build: "v2".to_owned(),
        ..entry(State::Ready)
    };
    assert_eq!(fleet.set("i-0", changed, 0), Change::Appeared);
}

/// Guards against a stream that is placed by the build of an entry that any process may have written.
#[rstest]
#[case::any(Software::Any, true)]
#[case::known(Software::Known, false)]
#[case::build(Software::Build("v1"), false)]
fn an_entry_without_a_start_proves_no_build(#[case] software: Software<'_>, #[case] runs: bool) {
    let mut fleet = Fleet::default();
    let unknown = Entry {
        born: None,
        ..entry(State::Ready)
    };
    fleet.set("i-0", unknown, 0);
    let request = Request {
        software,
        ..request(&[])
    };
    assert_eq!(fleet.choose(&request).is_some(), runs);
}

#[test]
fn request_is_not_sent_again_to_a_runner_that_refused_it() {
    let fleet = fleet(2);
    let chosen = fleet.choose(&request(&["i-0".to_owned()])).unwrap();
    assert_eq!((chosen.id.as_str(), chosen.candidates), ("i-1", 1));
}

/// Another VM that can't be reached has filled a runner. The load that the runner itself just
/// reported keeps this VM from sending requests there as well.
#[test]
fn load_just_reported_by_a_runner_counts() {
    let mut fleet = fleet(2);
    let runner = fleet.runner("i-0").unwrap();
    runner.note_prompt(&PROMPT, NOW);
    let load = Load {
        running: 16,
        waiting: 30,
        slots: 16,
        slowdown_percent: None,
    };
    runner.note_load(load, NOW);
    assert_eq!(fleet.choose(&request(&[])).unwrap().id, "i-1");
    let later = Request {
        now: NOW.plus(Millis::new(500)),
        ..request(&[])
    };
    assert_eq!(fleet.choose(&later).unwrap().id, "i-0");
}

/// Guards against an endpoint whose figures are too large to be added up: it must look full, or large, and
/// not take the requests of all others or end them.
#[test]
fn the_largest_figures_of_a_runner_are_added_up() {
    let mut fleet = fleet(2);
    let runner = fleet.runner("i-0").unwrap();
    runner.note_prompt(&PROMPT, NOW);
    let load = Load {
        running: u32::MAX,
        waiting: 16,
        slots: 16,
        slowdown_percent: None,
    };
    runner.note_load(load, NOW);
    assert_eq!(fleet.choose(&request(&[])).unwrap().id, "i-1");
    for id in ["i-0", "i-1"] {
        let largest = Entry {
            slots: u32::MAX,
            ..entry(State::Ready)
        };
        fleet.set(id, largest, ENGINE.memory_tokens);
        fleet.runner(id).unwrap().note_full(NOW);
        fleet.runner(id).unwrap().own_requests = 1;
    }
    fleet.note_tallies(&vm("front-b"), &[tally("i-0", u32::MAX, u32::MAX)], NOW);
    assert!(fleet.choose(&request(&[])).is_some());
    let room = fleet.room("models", "front-a-1", "a", Millis::ZERO, NOW);
    assert_eq!((room.slots, room.occupied), (u32::MAX, u32::MAX));
    assert_eq!(fleet.tallies(NOW, |_| true)[0].under_way, u32::MAX);
    assert!(fleet.load(NOW).occupied >= u64::from(u32::MAX));
}

/// A call that may run at most once is sent to another data centre, which is cut off before the
/// answer comes. Its caller learns that the outcome is unknown, and its program ends. A runner
/// nearby would have answered.
#[test]
fn at_most_once_call_stays_in_its_data_centre_while_a_runner_is_free() {
    let mut fleet = Fleet::default();
    for (id, centre) in [("i-0", "b"), ("i-1", "a"), ("i-2", "b")] {
        let entry = Entry {
            centre: centre.to_owned(),
            ..entry(State::Ready)
        };
        fleet.set(id, entry, 0);
    }
    let request = Request {
        engine: None,
        prompt: &[],
        prompt_tokens: 0,
        output_tokens: 1,
        ..request(&[])
    };
    for salt in 0..16 {
        let chosen = fleet
            .choose(&Request { salt, ..request })
            .expect("three runners are known");
        assert_eq!(chosen.id, "i-1");
    }
    fleet
        .runner("i-1")
        .expect("the runner is known")
        .own_requests = 40;
    let chosen = fleet.choose(&request).expect("three runners are known");
    assert_ne!(chosen.id, "i-1");
}

/// One runner of a data centre doesn't answer. The other runners there without a recent answer are
/// probed, so that no request has to find out. Those of other data centres and those that just
/// answered aren't.
#[test]
fn quiet_runners_beside_an_unreachable_one_are_probed() {
    let mut fleet = fleet(4);
    let remote = Entry {
        centre: "b".to_owned(),
        ..entry(State::Ready)
    };
    fleet.set("i-3", remote, ENGINE.memory_tokens);
    fleet
        .runner("i-1")
        .expect("the runner is known")
        .note_answer(NOW);
    let unreachable = fleet
        .note_unreachable("i-0", NOW)
        .expect("it was reachable");
    let quiet = fleet.probe_quiet(&unreachable.centre, NOW.plus(Millis::new(100)));
    let ids: Vec<&str> = quiet.iter().map(|target| target.id.as_str()).collect();
    assert_eq!(ids, ["i-2"]);
}

/// A runner's entry is read before the first configuration, so the memory of its engine is unknown.
/// Once it is known, turns go back to the runner that has their prompt cached.
#[test]
fn runner_read_before_the_configuration_is_known_to_cache_prompts() {
    let mut fleet = Fleet::default();
    fleet.set("i-0", entry(State::Ready), 0);
    fleet.set_memory(|_| ENGINE.memory_tokens);
    let runner = fleet.runner("i-0").expect("the runner is known");
    runner.note_prompt(&PROMPT, NOW);
    let chosen = fleet.choose(&request(&[])).expect("the runner is known");
    assert_eq!(chosen.cached, 13_000);
}

/// A flapping runner accepts connections while it is down. Each VM would lose some requests there
/// each time, and calls that may run once are lost together with their programs. Two VMs that hold
/// it off suffice for a third one to avoid it; a single VM may just have a broken path.
#[test]
fn runner_held_off_by_two_other_vms_is_avoided() {
    let mut fleet = fleet(2);
    fleet.note_tallies(&vm("front-b"), &[tally("i-0", 0, 1)], NOW);
    let count_chosen = |fleet: &Fleet| {
        let choices = (0..16).filter_map(|salt| {
            fleet.choose(&Request {
                salt,
                ..request(&[])
            })
        });
        choices.filter(|chosen| chosen.id == "i-0").count()
    };
    assert!(count_chosen(&fleet) > 0);
    fleet.note_tallies(&vm("front-c"), &[tally("i-0", 0, 1)], NOW);
    assert_eq!(count_chosen(&fleet), 0);
    fleet.remove("i-1");
    assert_eq!(count_chosen(&fleet), 16, "it is the only one left");
}

/// Requests to a runner break one after the other. It is held off longer each time until it answers
/// one, and other VMs learn of the hold-off.
#[test]
fn hold_off_grows_with_each_broken_request() {
    let mut fleet = fleet(1);
    let mut now = NOW;
    for span_ms in [250, 500, 1_000, 1_000] {
        fleet.note_unreachable("i-0", now);
        fleet
            .runner("i-0")
            .expect("the runner is known")
            .note_reachable(now);
        assert_eq!(fleet.tallies(now, |_| false), [tally("i-0", 0, 1)]);
        now = now.plus(Millis::new(span_ms));
        let just_before = now.since(Millis::new(1));
        let is_used = |now| {
            fleet
                .choose(&Request {
                    now,
                    ..request(&[])
                })
                .is_some()
        };
        assert!(!is_used(just_before));
        assert!(is_used(now));
    }
    fleet
        .runner("i-0")
        .expect("the runner is known")
        .note_answer(now);
    fleet.note_unreachable("i-0", now);
    fleet
        .runner("i-0")
        .expect("the runner is known")
        .note_reachable(now);
    now = now.plus(Millis::new(250));
    assert!(
        fleet
            .choose(&Request {
                now,
                ..request(&[])
            })
            .is_some()
    );
}

/// A runner answers with errors of its own at once, and so looks idle to every next request. It
/// gets nothing while there is another runner. If all runners fail, as for a request that fails
/// everywhere, they are still used, and callers see the runners' errors.
#[test]
fn failing_runner_is_avoided_while_there_are_others() {
    let mut fleet = fleet(2);
    let count_chosen = |fleet: &Fleet, now| {
        let choices = (0..16).filter_map(|salt| {
            let request = request(&[]);
            fleet.choose(&Request {
                salt,
                now,
                ..request
            })
        });
        choices.filter(|chosen| chosen.id == "i-0").count()
    };
    let mut now = NOW;
    for span_ms in [250, 500, 1_000, 1_000] {
        fail(&mut fleet, "i-0", now);
        now = now.plus(Millis::new(span_ms));
        assert_eq!(count_chosen(&fleet, now.since(Millis::new(1))), 0);
        assert!(count_chosen(&fleet, now) > 0);
    }
    fail(&mut fleet, "i-0", now);
    fail(&mut fleet, "i-1", now);
    assert!(
        count_chosen(&fleet, now) > 0,
        "all of them fail, so they are used"
    );
    let runner = fleet.runner("i-0").expect("the runner is known");
    runner.note_success(100, Millis::new(500), now);
    fail(&mut fleet, "i-0", now);
    now = now.plus(Millis::new(250));
    assert!(
        count_chosen(&fleet, now) > 0,
        "a success resets the hold-off"
    );
}

fn fail(fleet: &mut Fleet, id: &str, now: Millis) {
    let runner = fleet.runner(id).expect("the runner is known");
    runner.note_failed(now);
}

/// A runner is replaced during a burst. Its engines are three times slower than others that the
/// system has served. If it were presumed fast until it is measured, the new runner would get every
/// turn of the burst, until it had several times as many as the others.
#[test]
fn runner_that_appears_in_a_burst_gets_its_share() {
    let mut fleet = fleet(6);
    for number in 0..6 {
        let runner = fleet
            .runner(&format!("i-{number}"))
            .expect("the runner is known");
        for _ in 0..8 {
            runner.note_success(100, Millis::new(500), NOW);
        }
    }
    fleet.set("i-new", entry(State::Ready), ENGINE.memory_tokens);
    for salt in 0..42 {
        let burst = Request {
            prompt: &[],
            salt,
            ..request(&[])
        };
        let chosen = fleet.choose(&burst).expect("seven runners are known");
        fleet
            .runner(&chosen.id)
            .expect("the runner is known")
            .own_requests += 1;
    }
    let new = fleet
        .runner("i-new")
        .expect("the runner is known")
        .own_requests;
    assert!((3..=12).contains(&new), "{new} of 42 at one of seven");
}

/// Thousands of runners are busy. If a hub told each leaf the figures of all, they would be more
/// bytes than the requests; if it left out some that a leaf uses, the leaf would take them for idle.
#[test]
fn a_leaf_is_told_of_the_runners_that_it_uses() {
    let mut fleet = fleet(1_000);
    for number in 0..1_000 {
        fleet.runner(&format!("i-{number}")).unwrap().own_requests = 1;
    }
    let told = fleet.tallies_for("front-a-1", "a", NOW, |_| false);
    assert_eq!(told.len(), super::MAX_TOLD);
    assert!(told.is_sorted_by(|a, b| a.runner < b.runner));
    let mut excluded = Vec::new();
    // Those that the leaf uses, also when a third of them turns its request away.
    for _ in 0..policy::subset::MAX_USED / 3 {
        let chosen = fleet.choose(&request(&excluded)).unwrap().id;
        assert!(told.iter().any(|tally| tally.runner == chosen), "{chosen}");
        excluded.push(chosen);
    }
}
