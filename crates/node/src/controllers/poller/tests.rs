use rstest::rstest;
use settings::label;

use super::sweep::GRACE;
use super::sweep::Sweep;
use super::*;

const START: Millis = Millis::new(1_000_000);

fn endpoint(name: &str) -> Endpoint {
    Endpoint {
        name: id::Endpoint::parse(name).unwrap(),
        kind: Kind::Runner,
        address: "127.0.0.1:1".to_owned(),
        centre: id::Centre::parse("c").unwrap(),
        serves: Vec::new(),
        fences: false,
        slots: 1,
        repeatable: Vec::new(),
        labels: label::Set::default(),
    }
}

fn vms(count: usize) -> Vec<Vm> {
    let vm = |n| Vm {
        vm: id::Vm::parse(&format!("vm{n}")).unwrap(),
        centre: id::Centre::parse("c").unwrap(),
        size: 1,
        up: true,
        stopping: false,
        since: Millis::ZERO,
    };
    (0..count).map(vm).collect()
}

fn report(running: u32) -> Report {
    Report {
        running,
        ..Report::default()
    }
}

/// A poller with one endpoint that has published a report of 16 calls.
fn poller() -> (Poller, id::Endpoint) {
    let (mut poller, endpoint, vms) = (Poller::default(), endpoint("e"), vms(1));
    poller.due(std::slice::from_ref(&endpoint), &vms, &vms[0].vm, START);
    poller.on_answer(&endpoint.name, Some(&report(16)), START);
    (poller, endpoint.name)
}

// Each endpoint is polled by exactly one VM, also after a VM has died. If nobody polled it, its
// load would become old and its leaving unnoticed; if all did, 380 VMs would poll 600 endpoints.
#[rstest]
#[case::all_up(&[])]
#[case::one_dead(&[1])]
#[case::one_left(&[0, 2])]
fn each_endpoint_has_one_poller(#[case] dead: &[usize]) {
    let mut vms = vms(3);
    for at in dead {
        vms[*at].up = false;
    }
    let names = ["a", "b", "c", "d", "e", "f"];
    let endpoints: Vec<Endpoint> = names.iter().map(|name| endpoint(name)).collect();
    let live = vms.iter().filter(|vm| vm.up);
    let polled = live.flat_map(|vm| Poller::default().due(&endpoints, &vms, &vm.vm, START));
    let mut polled: Vec<String> = polled.map(|poll| poll.endpoint.to_string()).collect();
    polled.sort();
    assert_eq!(polled, names);
}

// A report goes to all VMs of the centre. One with nothing new would cost as much as one that
// matters.
#[rstest]
#[case::unchanged(report(16), 1_000, Audience::Local)]
#[case::small_change(report(17), 1_000, Audience::Local)]
#[case::large_change(report(18), 1_000, Audience::Centre)]
#[case::old(report(16), 5_000, Audience::Centre)]
#[case::leaving(Report { leaving: true, ..report(16) }, 1_000, Audience::Centre)]
fn only_reports_with_a_significant_change_are_published(
    #[case] report: Report,
    #[case] later: u64,
    #[case] audience: Audience,
) {
    let (mut poller, endpoint) = poller();
    let now = START.plus(Millis::new(later));
    let answer = poller.on_answer(&endpoint, Some(&report), now);
    assert_eq!(answer.unwrap().1, audience);
}

// One lost answer doesn't take an endpoint out of use. Two in a row do, and this is published.
#[test]
fn an_endpoint_that_does_not_answer_twice_is_down() {
    let (mut poller, endpoint) = poller();
    assert_eq!(poller.on_answer(&endpoint, None, START), None);
    let (load, audience) = poller.on_answer(&endpoint, None, START).unwrap();
    assert_eq!((load.up, audience), (false, Audience::Centre));
    let (load, audience) = poller
        .on_answer(&endpoint, Some(&report(0)), START)
        .unwrap();
    assert_eq!((load.up, audience), (true, Audience::Centre));
}

// A runner holds a program that its owner reports as gone. It is released after the owner has
// reported so for GRACE in one epoch: an owner that has lost its shard without noticing may report
// a program as gone that the new owner has just started.
#[rstest]
#[case::at_once(0, 1, 1, true, false)]
#[case::in_time(GRACE.as_u64(), 1, 1, true, true)]
#[case::new_owner(GRACE.as_u64(), 1, 2, true, false)]
#[case::started_meanwhile(GRACE.as_u64(), 1, 1, false, false)]
fn a_program_is_swept_after_the_grace_period(
    #[case] later: u64,
    #[case] first: u64,
    #[case] second: u64,
    #[case] gone: bool,
    #[case] swept: bool,
) {
    let endpoint = endpoint("e").name;
    let program = [id::Program::parse("p").unwrap()];
    let mut sweep = Sweep::default();
    assert!(
        sweep
            .on_answer(&endpoint, first, &program, &program, START)
            .is_empty()
    );
    let still = if gone { &program[..] } else { &[] };
    let now = START.plus(Millis::new(later));
    let due = sweep.on_answer(&endpoint, second, &program, still, now);
    assert_eq!(!due.is_empty(), swept);
}
