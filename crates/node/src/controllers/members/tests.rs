use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::*;

const START: Millis = Millis::new(1_000_000);

fn line(name: &str, incarnation: u64, life: Life) -> Line {
    let vm = id::Vm::parse(name).unwrap();
    let centre = id::Centre::parse("c").unwrap();
    Line {
        incarnation,
        life,
        ..seed(&vm, &centre, ([127, 0, 0, 1], 1).into())
    }
}

/// The table of `me`, who knows `other` as up with incarnation 5.
fn table() -> Table {
    let mut table = Table::new(line("me", 0, Life::Up), START);
    table.merge(&line("other", 5, Life::Up), START);
    table.drain();
    table
}

fn other(table: &Table) -> (u64, Life) {
    table
        .find(&id::Vm::parse("other").unwrap())
        .unwrap()
        .line
        .rank()
}

fn run(table: &mut Table, from: Millis, rounds: u64) {
    let mut random = SmallRng::seed_from_u64(1);
    for round in 1..=rounds {
        table.round(from.plus(Millis::new(round * ROUND.as_u64())), &mut random);
    }
}

// News of a VM arrives in any order and more than once; each VM must end up with the same.
#[rstest]
#[case::older(line("other", 4, Life::Down), (5, Life::Up))]
#[case::doubt(line("other", 5, Life::Suspect), (5, Life::Suspect))]
#[case::down(line("other", 5, Life::Down), (5, Life::Down))]
#[case::refuted(line("other", 6, Life::Up), (6, Life::Up))]
fn the_later_line_counts(#[case] told: Line, #[case] known: (u64, Life)) {
    let mut table = table();
    table.merge(&told, START);
    table.merge(&line("other", 5, Life::Up), START);
    assert_eq!(other(&table), known);
}

// A VM doesn't answer. It is suspected first, as one lost packet mustn't cost its shards; without
// word from it, it is down after the time that a refutation takes. Its refutation, later, counts.
#[test]
fn a_silent_vm_is_suspected_then_down_and_comes_back() {
    let mut table = table();
    let vm = id::Vm::parse("other").unwrap();
    table.missed(&vm, START);
    run(&mut table, START, 2);
    assert_eq!(other(&table), (5, Life::Suspect));
    run(&mut table, START.plus(Millis::new(2_000)), 1);
    assert_eq!(other(&table), (5, Life::Down));
    table.merge(&line("other", 6, Life::Up), START);
    let changes = [Change::Down(vm.clone(), Reason::Silent), Change::Up(vm)];
    assert_eq!(table.drain(), changes);
}

// This VM was paused for a minute with a suspicion open. No one could refute to it meanwhile: ended
// now, it would have a healthy VM down, and its shards claimed. And as others may have this VM
// down, it takes a higher incarnation.
#[test]
fn a_vm_back_from_a_pause_gives_suspects_their_time() {
    let mut table = table();
    run(&mut table, START, 1);
    table.missed(&id::Vm::parse("other").unwrap(), START.plus(ROUND));
    let before = table.own().incarnation;
    run(&mut table, START.plus(Millis::new(60_000)), 1);
    assert_eq!(other(&table), (5, Life::Suspect));
    assert_eq!(table.own().incarnation, before + 1);
}

#[rstest]
#[case::doubt(0, Life::Suspect, 1)]
#[case::down(0, Life::Down, 1)]
#[case::earlier_run(7, Life::Up, 8)]
fn a_vm_refutes_what_is_told_of_it(#[case] ahead: u64, #[case] life: Life, #[case] after: u64) {
    let mut table = table();
    let before = table.own().incarnation;
    table.merge(&line("me", before + ahead, life), START);
    assert_eq!(table.own().rank(), (before + after, Life::Up));
}

// The platform's list lags: it may still lack a VM that has just started, so a VM that is heard is
// up whatever it says. One that is also silent needn't be waited for.
#[rstest]
#[case::heard(false, Listed::Absent, Life::Up, false)]
#[case::silent(true, Listed::Absent, Life::Down, false)]
#[case::leaving(false, Listed::Leaving, Life::Up, true)]
fn the_list_counts_as_far_as_it_can_be_believed(
    #[case] silent: bool,
    #[case] listed: Listed,
    #[case] life: Life,
    #[case] stopping: bool,
) {
    let mut table = table();
    let vm = id::Vm::parse("other").unwrap();
    table.listed(|_| Listed::Live, START);
    if silent {
        table.missed(&vm, START);
    }
    table.listed(
        |name| if *name == vm { listed } else { Listed::Live },
        START,
    );
    let line = &table.find(&vm).unwrap().line;
    assert_eq!((line.life, line.stopping), (life, stopping));
}
