use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::exchange::Exchange;
use super::heartbeat::Listing;
use super::*;

const START: Millis = Millis::new(1_000_000);

fn status(name: &str, incarnation: u64, liveness: Liveness) -> Status {
    let vm = id::Vm::parse(name).unwrap();
    let centre = id::Centre::parse("c").unwrap();
    Status {
        incarnation,
        liveness,
        ..seed(&vm, &centre, ([127, 0, 0, 1], 1).into())
    }
}

/// The table of `me`, which knows `other` as up with incarnation 5.
fn table() -> Table {
    let mut table = Table::new(status("me", 0, Liveness::Up), START);
    table.merge(&status("other", 5, Liveness::Up), START);
    table.take_changes();
    table
}

fn other(table: &Table) -> (u64, Liveness) {
    table
        .find(&id::Vm::parse("other").unwrap())
        .unwrap()
        .status
        .rank()
}

fn run_rounds(table: &mut Table, from: Millis, rounds: u64) {
    let mut random = SmallRng::seed_from_u64(1);
    for round in 1..=rounds {
        table.begin_round(
            from.plus(Millis::new(round * ROUND_INTERVAL.as_u64())),
            &mut random,
        );
    }
}

/// Guards against a VM that starts after others stopped telling that an endpoint leaves, and sends it
/// calls.
#[test]
fn a_vm_that_starts_learns_which_endpoints_are_leaving() {
    let mut known = Exchange::new(status("other", 1, Liveness::Up), START);
    let endpoint = id::Endpoint::parse("r").unwrap();
    let listing = Listing {
        endpoint: endpoint.clone(),
        leaving: true,
        age: Millis::ZERO,
    };
    known.listings.merge(&listing, START);
    let listener = id::Vm::parse("third").unwrap();
    while !known.heartbeat(&listener, START).listings.is_empty() {}
    let mut started = Exchange::new(status("me", 1, Liveness::Up), START);
    let all = known.answer(&started.full_sync(START), START);
    started.on_answer(&all, START);
    assert!(started.listings.leaves(&endpoint));
}

// Updates on a VM arrive in any order and more than once; the result must be the same.
#[rstest]
#[case::older(status("other", 4, Liveness::Down), (5, Liveness::Up))]
#[case::suspect(status("other", 5, Liveness::Suspect), (5, Liveness::Suspect))]
#[case::down(status("other", 5, Liveness::Down), (5, Liveness::Down))]
#[case::refuted(status("other", 6, Liveness::Up), (6, Liveness::Up))]
fn the_later_status_wins(#[case] received: Status, #[case] expected: (u64, Liveness)) {
    let mut table = table();
    table.merge(&received, START);
    table.merge(&status("other", 5, Liveness::Up), START);
    assert_eq!(other(&table), expected);
}

// A VM that doesn't answer is suspected first, because one lost packet mustn't cost its shards.
// Without a refutation it is down after the time that a refutation takes. A later refutation still
// counts.
#[test]
fn a_silent_vm_is_suspected_then_down_and_comes_back() {
    let mut table = table();
    let vm = id::Vm::parse("other").unwrap();
    table.suspect(&vm, START);
    run_rounds(&mut table, START, 2);
    assert_eq!(other(&table), (5, Liveness::Suspect));
    run_rounds(&mut table, START.plus(Millis::new(2_000)), 1);
    assert_eq!(other(&table), (5, Liveness::Down));
    table.merge(&status("other", 6, Liveness::Up), START);
    let changes = [Change::Down(vm.clone(), Reason::Silent), Change::Up(vm)];
    assert_eq!(table.take_changes(), changes);
}

// This VM is paused for a minute while it suspects another VM. Nobody could refute the suspicion
// during the pause: ending it now would mark a healthy VM as down and have its shards claimed.
// Others may think that this VM is down, so it takes a higher incarnation.
#[test]
fn a_vm_that_resumes_gives_suspects_time_to_refute() {
    let mut table = table();
    run_rounds(&mut table, START, 1);
    table.suspect(&id::Vm::parse("other").unwrap(), START.plus(ROUND_INTERVAL));
    let before = table.own().incarnation;
    run_rounds(&mut table, START.plus(Millis::new(60_000)), 1);
    assert_eq!(other(&table), (5, Liveness::Suspect));
    assert_eq!(table.own().incarnation, before + 1);
}

#[rstest]
#[case::suspect(0, Liveness::Suspect, 1)]
#[case::down(0, Liveness::Down, 1)]
#[case::earlier_run(7, Liveness::Up, 8)]
fn a_vm_refutes_reports_that_it_is_not_up(
    #[case] ahead: u64,
    #[case] liveness: Liveness,
    #[case] after: u64,
) {
    let mut table = table();
    let before = table.own().incarnation;
    table.merge(&status("me", before + ahead, liveness), START);
    assert_eq!(table.own().rank(), (before + after, Liveness::Up));
}

// The platform's list lags: it may lack a VM that has just started, so a VM that answers is up
// whatever the list says. If a VM is missing from the list and doesn't answer either, it is down
// without a wait.
#[rstest]
#[case::heard(false, Listed::Absent, Liveness::Up, false)]
#[case::silent(true, Listed::Absent, Liveness::Down, false)]
#[case::leaving(false, Listed::Leaving, Liveness::Up, true)]
fn the_platforms_list_counts_where_it_is_reliable(
    #[case] silent: bool,
    #[case] listed: Listed,
    #[case] liveness: Liveness,
    #[case] stopping: bool,
) {
    let mut table = table();
    let vm = id::Vm::parse("other").unwrap();
    table.apply_list(|_| Listed::Live, START);
    if silent {
        table.suspect(&vm, START);
    }
    table.apply_list(
        |name| if *name == vm { listed } else { Listed::Live },
        START,
    );
    let status = &table.find(&vm).unwrap().status;
    assert_eq!((status.liveness, status.stopping), (liveness, stopping));
}
