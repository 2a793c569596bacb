//! Tests of choices beside machines that are slow, and of the homes of programs.

use adapter::header;
use adapter::header::Call;
use adapter::runner::Load;
use adapter::settings::Supply;
use hyper::HeaderMap;
use policy::class::Class;
use policy::place;
use policy::place::Candidate;
use policy::place::Weights;
use policy::prefix;
use rstest::rstest;
use wire::clock::Millis;

use super::NOW;
use super::PROMPT;
use super::fleet;
use super::request;
use crate::fleet::Fleet;
use crate::fleet::Home;
use crate::fleet::Placement;
use crate::fleet::Request;

fn tell(fleet: &mut Fleet, id: &str, slowdown_percent: Option<u32>, now: Millis) {
    let load = Load {
        running: 0,
        waiting: 0,
        slots: 16,
        slowdown_percent,
    };
    let runner = fleet.runner(id).expect("the runner is known");
    runner.note_load(load, now);
}

fn choices(fleet: &Fleet, now: Millis) -> Vec<(String, f64)> {
    let choose = |salt| {
        let request = Request {
            salt,
            now,
            ..request(&[])
        };
        let chosen = fleet.choose(&request).expect("a runner is eligible");
        (chosen.id, chosen.cost_ms)
    };
    (0..30).map(choose).collect()
}

/// Guards against requests that wait out a slowdown at a runner while others are idle, and against a
/// runner that is avoided for long after it.
#[test]
fn a_runner_is_avoided_while_its_machine_is_slow() {
    let mut fleet = fleet(4);
    tell(&mut fleet, "i-1", Some(250), NOW);
    let chosen = |now| choices(&fleet, now).into_iter();
    let is_slow = |(id, _): &(String, f64)| id == "i-1";
    assert_eq!(chosen(NOW).filter(is_slow).count(), 0);
    let later = NOW.plus(Millis::new(2_000));
    assert!(chosen(later).filter(is_slow).count() > 0);
    tell(&mut fleet, "i-1", Some(100), NOW.plus(Millis::new(100)));
    let ended = choices(&fleet, NOW.plus(Millis::new(101)));
    assert!(ended.iter().any(is_slow), "a newer reading counts");
}

/// Guards against other choices among runners that don't share their machines, or are as fast as usual.
#[rstest]
#[case(None)]
#[case(Some(100))]
fn without_a_slowdown_choices_are_the_same(#[case] figure: Option<u32>) {
    let paced = || {
        let mut fleet = fleet(6);
        for number in 0..6 {
            let runner = fleet.runner(&format!("i-{number}"));
            let runner = runner.expect("the runner is known");
            runner.note_success(100, Millis::new(400 + 70 * number), NOW);
        }
        fleet
    };
    let expected = choices(&paced(), NOW);
    let mut fleet = paced();
    for number in 0..6 {
        tell(&mut fleet, &format!("i-{number}"), figure, NOW);
    }
    assert_eq!(choices(&fleet, NOW), expected);
}

/// Turns of a program arrive at VMs that know nothing of each other's prompts. Each VM would send
/// them to another runner, which reads the whole history again.
#[test]
fn turns_of_a_program_meet_at_its_home_whatever_vm_they_arrive_at() {
    let (mut first, second) = (fleet(12), fleet(12));
    for program in 0..20 {
        let home = |salt| Request {
            home: Home::Of(program),
            salt,
            ..request(&[])
        };
        let chosen = first.choose(&home(1)).unwrap();
        assert_eq!(chosen.placement, Placement::Home(1));
        let next = second.choose(&home(2)).unwrap();
        assert_eq!(
            (next.id, next.placement),
            (chosen.id.clone(), chosen.placement)
        );
        first.note_unreachable(&chosen.id, NOW);
        assert_ne!(first.choose(&home(3)).unwrap().id, chosen.id);
        first = fleet(12);
    }
}

/// Where endpoints are ample, a request has no home, and the salt alone decides between equal
/// runners.
#[test]
fn without_a_home_choices_are_those_of_the_salt() {
    let call = Call {
        program: Some("p1".to_owned()),
        ..header::call(&HeaderMap::new())
    };
    assert_eq!(Home::of(Supply::Ample, &call), Home::None);
    assert_ne!(Home::of(Supply::Scarce, &call), Home::None);
    let unnamed = header::call(&HeaderMap::new());
    assert_eq!(Home::of(Supply::Scarce, &unnamed), Home::None);
    let fleet = fleet(12);
    let hashes: Vec<u64> = fleet
        .runners()
        .iter()
        .map(|runner| runner.id_hash)
        .collect();
    let presumed = prefix::presumed_holders(PROMPT[0].id, &hashes, prefix::MIN_HOLDERS);
    let weights = Weights::default();
    for salt in 0..100 {
        let request = Request {
            salt,
            ..request(&[])
        };
        let pace = 3.0;
        let runners = fleet.runners().iter().zip(&presumed);
        let candidates: Vec<Candidate> = runners
            .map(|(runner, presumed)| Candidate {
                cached: if *presumed { PROMPT[0].tokens } else { 0 },
                ..runner.candidate(&request, pace)
            })
            .collect();
        let call = place::Call {
            class: Class::Routine,
            prompt: request.prompt_tokens,
            output: request.output_tokens,
            salt,
        };
        let expected = place::choose(&candidates, &call, &weights).unwrap();
        let chosen = fleet.choose(&request).unwrap();
        assert_eq!(chosen.id, fleet.runners()[expected.index].id);
        assert_eq!(chosen.placement, Placement::Unassigned);
    }
}
