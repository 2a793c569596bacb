use adapter::config::Engine;
use adapter::runner::Entry;
use adapter::runner::Load;
use adapter::runner::State;
use policy::prefix::Part;
use rstest::rstest;
use wire::clock::Millis;

use super::Change;
use super::Fleet;
use super::PlacementRequest;
use super::REMOTE_COST_AT_MOST_ONCE_MS;
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
    for at in 0..count {
        let id = format!("i-{at}");
        fleet.set(&id, entry(State::Ready), ENGINE.memory_tokens);
    }
    fleet
}

fn request(excluded: &[String]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "models",
        engine: Some(ENGINE),
        prompt: &PROMPT,
        prompt_tokens: 13_000,
        output_tokens: 250,
        salt: 7,
        excluded,
        centre: "a",
        remote_cost_ms: REMOTE_COST_AT_MOST_ONCE_MS,
        now: NOW,
    }
}

/// The load: long prompts of which nearly all was read somewhere before. Without the preference a
/// turn reads 13,000 tokens again, some 60 ms in which every other stream there stands still.
#[test]
fn a_turn_goes_where_its_prompt_was_read() {
    let mut fleet = fleet(6);
    fleet.runner("i-4").unwrap().note_prompt(&PROMPT, NOW);
    let chosen = fleet.choose(&request(&[])).unwrap();
    assert_eq!((chosen.id.as_str(), chosen.cached), ("i-4", 13_000));
}

/// The load: other VMs have filled the runner that has the prompt. Waiting for a slot there takes
/// longer than reading the prompt elsewhere.
#[test]
fn others_requests_count_as_much_as_own() {
    let mut fleet = fleet(6);
    fleet.runner("i-4").unwrap().note_prompt(&PROMPT, NOW);
    fleet.note_tallies(&vm("front-b"), &[tally("i-4", 40, 0)], NOW);
    assert_ne!(fleet.choose(&request(&[])).unwrap().id, "i-4");
    let later = PlacementRequest {
        now: NOW.plus(Millis::new(2_000)),
        ..request(&[])
    };
    assert_eq!(
        fleet.choose(&later).unwrap().id,
        "i-4",
        "an old count holds no longer"
    );
}

#[rstest]
#[case::leaving(|fleet: &mut Fleet| {
    assert_eq!(fleet.set("i-0", entry(State::Draining), 0), Change::Draining);
})]
#[case::unreachable(|fleet: &mut Fleet| assert!(fleet.note_unreachable("i-0", NOW).is_some()))]
#[case::elsewhere(|fleet: &mut Fleet| fleet.runner("i-0").unwrap().note_address_taken(NOW))]
#[case::gone(|fleet: &mut Fleet| assert_eq!(fleet.remove("i-0"), Change::Removed))]
fn a_runner_that_takes_nothing_gets_nothing(#[case] play: fn(&mut Fleet)) {
    let mut fleet = fleet(1);
    assert!(fleet.choose(&request(&[])).is_some());
    play(&mut fleet);
    assert!(fleet.choose(&request(&[])).is_none());
}

/// A partition hides a runner, and goes away. Requests must not be spent on finding that out: the
/// runner is used again once a connection was made beside the traffic.
#[test]
fn an_unreachable_runner_is_used_again_after_a_connection() {
    let mut fleet = fleet(1);
    assert!(fleet.note_unreachable("i-0", NOW).is_some());
    assert!(
        fleet.note_unreachable("i-0", NOW).is_none(),
        "it is news only once"
    );
    assert_eq!(fleet.unreachable().len(), 1);
    assert!(fleet.runner("i-0").unwrap().note_reachable(NOW));
    assert!(!fleet.runner("i-0").unwrap().note_reachable(NOW));
    assert!(fleet.choose(&request(&[])).is_none(), "held off");
    assert!(fleet.unreachable().is_empty());
    // Two broken one after the other hold it off for twice the first span.
    let later = PlacementRequest {
        now: NOW.plus(Millis::new(500)),
        ..request(&[])
    };
    assert!(fleet.choose(&later).is_some());
}

/// The key-value service was away and its entries lapsed meanwhile. A runner that lives is back in
/// the list within two seconds; one that isn't is gone.
#[test]
fn an_entry_that_lapsed_in_an_outage_holds_for_a_while() {
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

/// A runner starts again under its id. It holds nothing of before, so nothing is sent there for
/// the sake of its cache; requests under way still count until they end.
#[test]
fn a_runner_that_starts_anew_holds_nothing() {
    let mut fleet = fleet(2);
    let runner = fleet.runner("i-0").unwrap();
    runner.note_prompt(&PROMPT, NOW);
    runner.own_requests = 2;
    let restarted = Entry {
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

#[test]
fn a_request_goes_to_none_that_turned_it_away() {
    let fleet = fleet(2);
    let chosen = fleet.choose(&request(&["i-0".to_owned()])).unwrap();
    assert_eq!((chosen.id.as_str(), chosen.candidates), ("i-1", 1));
}

/// Another VM that can't be heard has filled a runner. What the runner said of itself a moment ago
/// keeps this VM from sending there as well.
#[test]
fn what_a_runner_just_said_of_its_load_counts() {
    let mut fleet = fleet(2);
    let runner = fleet.runner("i-0").unwrap();
    runner.note_prompt(&PROMPT, NOW);
    let load = Load {
        running: 16,
        waiting: 30,
        slots: 16,
    };
    runner.note_load(load, NOW);
    assert_eq!(fleet.choose(&request(&[])).unwrap().id, "i-1");
    let later = PlacementRequest {
        now: NOW.plus(Millis::new(500)),
        ..request(&[])
    };
    assert_eq!(fleet.choose(&later).unwrap().id, "i-0");
}

/// A call that may run at most once is sent to another data centre, which is cut off before the
/// answer comes. Its caller learns that the outcome is unknown, and its program ends. A runner
/// nearby would have answered.
#[test]
fn a_call_that_may_run_once_stays_near_while_a_runner_is_free_there() {
    let mut fleet = Fleet::default();
    for (id, centre) in [("i-0", "b"), ("i-1", "a"), ("i-2", "b")] {
        let entry = Entry {
            centre: centre.to_owned(),
            ..entry(State::Ready)
        };
        fleet.set(id, entry, 0);
    }
    let request = PlacementRequest {
        engine: None,
        prompt: &[],
        prompt_tokens: 0,
        output_tokens: 1,
        ..request(&[])
    };
    for salt in 0..16 {
        let chosen = fleet
            .choose(&PlacementRequest { salt, ..request })
            .expect("three are there");
        assert_eq!(chosen.id, "i-1");
    }
    fleet.runner("i-1").expect("it is there").own_requests = 40;
    let chosen = fleet.choose(&request).expect("three are there");
    assert_ne!(chosen.id, "i-1");
}

/// One runner of a data centre doesn't answer. Those around it that haven't answered lately are
/// tried beside the traffic, so that no request has to find out; those of other data centres and
/// those that just answered aren't.
#[test]
fn runners_around_an_unreachable_one_are_tried() {
    let mut fleet = fleet(4);
    let far = Entry {
        centre: "b".to_owned(),
        ..entry(State::Ready)
    };
    fleet.set("i-3", far, ENGINE.memory_tokens);
    fleet.runner("i-1").expect("it is there").note_answer(NOW);
    let lost = fleet
        .note_unreachable("i-0", NOW)
        .expect("it was reachable");
    let around = fleet.quiet_runners(&lost.centre, NOW.plus(Millis::new(100)));
    let ids: Vec<&str> = around.iter().map(|target| target.id.as_str()).collect();
    assert_eq!(ids, ["i-2"]);
}

/// A runner's entry is read before the first configuration, so its memory isn't known. Once it is,
/// turns go back to the runner that holds their prompt.
#[test]
fn a_runner_read_before_the_configuration_is_known_to_hold_prompts() {
    let mut fleet = Fleet::default();
    fleet.set("i-0", entry(State::Ready), 0);
    fleet.set_memory(|_| ENGINE.memory_tokens);
    let runner = fleet.runner("i-0").expect("it is there");
    runner.note_prompt(&PROMPT, NOW);
    let chosen = fleet.choose(&request(&[])).expect("it is there");
    assert_eq!(chosen.cached, 13_000);
}

/// A runner goes down and up by turns, and accepts connections while it is down. Each VM would lose
/// some requests there each time, and calls that may run once are lost with their programs. Two VMs
/// that hold it off are believed; one alone may have a broken way.
#[test]
fn a_runner_that_others_hold_off_gets_nothing_while_there_are_others() {
    let mut fleet = fleet(2);
    fleet.note_tallies(&vm("front-b"), &[tally("i-0", 0, 1)], NOW);
    let chosen = |fleet: &Fleet| {
        let ids = (0..16).filter_map(|salt| {
            fleet.choose(&PlacementRequest {
                salt,
                ..request(&[])
            })
        });
        ids.filter(|chosen| chosen.id == "i-0").count()
    };
    assert!(chosen(&fleet) > 0);
    fleet.note_tallies(&vm("front-c"), &[tally("i-0", 0, 1)], NOW);
    assert_eq!(chosen(&fleet), 0);
    fleet.remove("i-1");
    assert_eq!(chosen(&fleet), 16, "it is the last one");
}

/// Requests to a runner break one after the other. It is held off longer each time, until one is
/// answered, and other VMs are told.
#[test]
fn a_runner_whose_requests_break_is_held_off_longer_each_time() {
    let mut fleet = fleet(1);
    let mut now = NOW;
    for span in [250, 500, 1_000, 1_000] {
        fleet.note_unreachable("i-0", now);
        fleet
            .runner("i-0")
            .expect("it is there")
            .note_reachable(now);
        assert_eq!(fleet.tallies(now, |_| false), [tally("i-0", 0, 1)]);
        now = now.plus(Millis::new(span));
        let early = now.since(Millis::new(1));
        let asked = |now| {
            fleet
                .choose(&PlacementRequest {
                    now,
                    ..request(&[])
                })
                .is_some()
        };
        assert!(!asked(early));
        assert!(asked(now));
    }
    fleet.runner("i-0").expect("it is there").note_answer(now);
    fleet.note_unreachable("i-0", now);
    fleet
        .runner("i-0")
        .expect("it is there")
        .note_reachable(now);
    now = now.plus(Millis::new(250));
    assert!(
        fleet
            .choose(&PlacementRequest {
                now,
                ..request(&[])
            })
            .is_some()
    );
}

/// A runner answers with failures of its own, at once, and is idle for every next request. It gets
/// nothing while another one is there; where all fail, as for a request that fails everywhere, they
/// are used all the same, and callers see what the runners say.
#[test]
fn a_runner_that_fails_gets_nothing_while_there_are_others() {
    let mut fleet = fleet(2);
    let chosen = |fleet: &Fleet, now| {
        let ids = (0..16).filter_map(|salt| {
            let request = request(&[]);
            fleet.choose(&PlacementRequest {
                salt,
                now,
                ..request
            })
        });
        ids.filter(|chosen| chosen.id == "i-0").count()
    };
    let mut now = NOW;
    for span in [250, 500, 1_000, 1_000] {
        fail(&mut fleet, "i-0", now);
        now = now.plus(Millis::new(span));
        assert_eq!(chosen(&fleet, now.since(Millis::new(1))), 0);
        assert!(chosen(&fleet, now) > 0);
    }
    fail(&mut fleet, "i-0", now);
    fail(&mut fleet, "i-1", now);
    assert!(chosen(&fleet, now) > 0, "all of them fail");
    let runner = fleet.runner("i-0").expect("it is there");
    runner.note_success(100, Millis::new(500), now);
    fail(&mut fleet, "i-0", now);
    now = now.plus(Millis::new(250));
    assert!(chosen(&fleet, now) > 0, "a success forgives the failures");
}

fn fail(fleet: &mut Fleet, id: &str, now: Millis) {
    let runner = fleet.runner(id).expect("it is there");
    runner.note_failed(now);
}

/// The load: a burst in which a runner is replaced. Its engines are three times slower than others
/// that the system has served. Taken for a fast one until it is measured, the new runner would get
/// every turn of the burst, until it held several times what the others do.
#[test]
fn a_runner_that_appears_in_a_burst_gets_its_share() {
    let mut fleet = fleet(6);
    for at in 0..6 {
        let runner = fleet.runner(&format!("i-{at}")).expect("it is there");
        for _ in 0..8 {
            runner.note_success(100, Millis::new(500), NOW);
        }
    }
    fleet.set("i-new", entry(State::Ready), ENGINE.memory_tokens);
    for salt in 0..42 {
        let burst = PlacementRequest {
            prompt: &[],
            salt,
            ..request(&[])
        };
        let chosen = fleet.choose(&burst).expect("there are runners");
        fleet.runner(&chosen.id).expect("it is there").own_requests += 1;
    }
    let new = fleet.runner("i-new").expect("it is there").own_requests;
    assert!((3..=12).contains(&new), "{new} of 42 at one of seven");
}
