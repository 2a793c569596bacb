use rstest::rstest;
use wire::clock::Millis;

use super::Opening;
use super::Program;
use super::Room;
use super::Verdict;

const NOW: Millis = Millis::new(10_000);
const SLOTS: u32 = 100;

fn program(workspace: u64, rank: u8) -> Program {
    Program {
        workspace: Some(workspace),
        rank,
        finish_within: Some(Millis::new(4_000)),
    }
}

fn room(occupied: u32) -> Room {
    Room {
        occupied,
        slots: SLOTS,
        turn: Millis::new(300),
    }
}

fn begins(opening: &mut Opening, program: &Program, occupied: u32, draw: f64) -> bool {
    opening.decide(program, room(occupied), [draw, 0.5], NOW) == Verdict::Begin
}

/// Guards against refusals while slots are free, also of the least urgent flood.
#[test]
fn nobody_is_refused_while_slots_are_free() {
    let mut opening = Opening::default();
    begins(&mut opening, &program(2, 9), 0, 0.0);
    for _ in 0..1_000 {
        assert!(begins(&mut opening, &program(1, 9), SLOTS, 0.0));
    }
}

#[rstest]
#[case(0, 162, 0.0, true)]
#[case(0, 188, 0.99, false)]
#[case(1, 137, 0.0, true)]
#[case(1, 163, 0.99, false)]
#[case(9, 112, 0.0, true)]
#[case(9, 138, 0.99, false)]
fn urgent_programs_begin_when_others_are_refused(
    #[case] rank: u8,
    #[case] occupied: u32,
    #[case] draw: f64,
    #[case] expected: bool,
) {
    let mut opening = Opening::default();
    let program = program(1, rank);
    assert_eq!(begins(&mut opening, &program, occupied, draw), expected);
}

/// Guards against a workspace whose flood keeps others from beginning.
#[test]
fn a_workspace_over_its_fair_share_is_refused_first() {
    let mut opening = Opening::default();
    for other in 2..6 {
        begins(&mut opening, &program(other, 1), 0, 0.0);
    }
    for _ in 0..40 {
        begins(&mut opening, &program(1, 1), 0, 0.0);
    }
    assert!(!begins(&mut opening, &program(1, 1), 130, 0.0));
    assert!(begins(&mut opening, &program(2, 1), 130, 0.0));
}

/// Guards against callers that come back too late to end in time, or all at once.
#[test]
fn refused_programs_come_back_spread_and_in_time() {
    let wait = |draw| {
        let verdict = Opening::default().decide(&program(1, 1), room(900), [0.0, draw], NOW);
        match verdict {
            Verdict::Refuse(span, _) => span,
            Verdict::Begin => panic!("it has to be refused"),
        }
    };
    assert!(wait(0.0) >= Millis::new(100));
    assert!(wait(0.0) < wait(0.5) && wait(0.5) < wait(1.0));
    assert!(wait(1.0) <= Millis::new(4_000 / 3));
}

#[test]
fn a_service_without_engines_refuses_no_program() {
    let verdict = Opening::default().decide(&program(1, 1), Room::default(), [0.0; 2], NOW);
    assert_eq!(verdict, Verdict::Begin);
}
