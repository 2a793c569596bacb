use std::collections::HashSet;

use proptest::collection::vec;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;
use rstest::rstest;
use wire::clock::Millis;

use super::State;
use super::Verdict;
use super::check_budget;
use super::union;
use super::write_state;
use crate::ledger::Entry;
use crate::ledger::Ledger;
use crate::record::Key;
use crate::record::Reservation;
use crate::record::Settlement;

const MEMBERS: usize = 3;
const PROGRAM: Key = Key(1);
const BUDGET: u64 = 250;
const RESERVED_TOKENS: u32 = 100;

#[rstest]
#[case(3, 1, 0, State::Waiting)]
#[case(3, 2, 0, State::Majority)]
#[case(3, 2, 1, State::Majority)]
#[case(3, 3, 0, State::All)]
#[case(3, 1, 2, State::Failed)]
#[case(2, 1, 1, State::Failed)]
#[case(1, 1, 0, State::All)]
#[case(0, 0, 0, State::Failed)]
fn a_write_counts_with_a_majority(
    #[case] group: usize,
    #[case] done: usize,
    #[case] failed: usize,
    #[case] expected: State,
) {
    assert_eq!(write_state(group, done, failed), expected);
}

/// A step of one VM's reservation, or the restart of a member.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The reservation of this turn reaches a member, which answers.
    Write { turn: usize, member: usize },
    /// After a majority has the reservation, a member answers with the account.
    Read { turn: usize, member: usize },
    /// A finished turn is settled at a member.
    Settle { turn: usize, member: usize },
    /// A member dies and restarts with its disk, so what it answered is still there.
    Restart { member: usize },
}

/// One VM's view of its reservation.
#[derive(Clone, Debug, Default)]
struct Attempt {
    written: Vec<usize>,
    read: Vec<usize>,
    known: Vec<Vec<Entry>>,
    verdict: Option<Verdict>,
}

fn steps() -> impl Strategy<Value = Step> {
    let turn = 0..5_usize;
    let member = 0..MEMBERS;
    prop_oneof![
        6 => (turn.clone(), member.clone()).prop_map(|(turn, member)| Step::Write { turn, member }),
        5 => (turn.clone(), member.clone()).prop_map(|(turn, member)| Step::Read { turn, member }),
        1 => (turn, member.clone()).prop_map(|(turn, member)| Step::Settle { turn, member }),
        1 => member.prop_map(|member| Step::Restart { member }),
    ]
}

fn entry(turn: usize) -> Entry {
    Entry {
        turn: Key(turn as u128),
        most: RESERVED_TOKENS,
        used: None,
    }
}

fn apply_step(members: &mut [Ledger], attempts: &mut [Attempt], step: Step) {
    match step {
        Step::Write { turn, member } if !attempts[turn].written.contains(&member) => {
            let record = Reservation {
                program: PROGRAM,
                turn: Key(turn as u128),
                most: RESERVED_TOKENS,
            };
            members[member].reserve(&record, Millis::ZERO);
            let attempt = &mut attempts[turn];
            attempt.written.push(member);
            attempt
                .known
                .push(members[member].entries(PROGRAM).to_vec());
            if write_state(MEMBERS, attempt.written.len(), 0) == State::All
                && attempt.verdict.is_none()
            {
                attempt.verdict = Some(check_budget(&union(&attempt.known), &entry(turn), BUDGET));
            }
        }
        Step::Read { turn, member } if attempts[turn].written.len() >= 2 => {
            let attempt = &mut attempts[turn];
            if attempt.verdict.is_some() || attempt.read.contains(&member) {
                return;
            }
            attempt.read.push(member);
            attempt
                .known
                .push(members[member].entries(PROGRAM).to_vec());
            if attempt.read.len() >= 2 {
                attempt.verdict = Some(check_budget(&union(&attempt.known), &entry(turn), BUDGET));
            }
        }
        Step::Settle { turn, member } => {
            // A refused turn gives all its tokens back; one that runs may have used all of them.
            let used = match attempts[turn].verdict {
                Some(Verdict::Fits) => RESERVED_TOKENS,
                Some(Verdict::Spent(_)) => 0,
                None => return,
            };
            let record = Settlement {
                program: PROGRAM,
                turn: Key(turn as u128),
                used,
            };
            members[member].settle(&record, Millis::ZERO);
        }
        Step::Restart { member } => {
            let entries = members[member].entries(PROGRAM).to_vec();
            members[member] = Ledger::default();
            members[member].merge(PROGRAM, &entries, Millis::ZERO);
        }
        Step::Write { .. } | Step::Read { .. } => {}
    }
}

proptest! {
    #![proptest_config(proptest::test_runner::Config::with_cases(4_000))]

    /// Five turns of one program start on five VMs at the same time, and their messages arrive in
    /// any order at any two or three of the members. A reservation that saw too few of the others
    /// would let the program exceed its budget.
    #[test]
    fn turns_that_run_stay_within_the_budget(steps in vec(steps(), 1..80)) {
        let mut members: Vec<Ledger> = (0..MEMBERS).map(|_| Ledger::default()).collect();
        let mut attempts = vec![Attempt::default(); 5];
        for step in steps {
            apply_step(&mut members, &mut attempts, step);
            let running = attempts.iter().filter(|attempt| attempt.verdict == Some(Verdict::Fits));
            let tokens = running.count() as u64 * u64::from(RESERVED_TOKENS);
            prop_assert!(tokens <= BUDGET, "{tokens} tokens: {attempts:?}");
        }
    }

    /// Records arrive in any order and more than once; two members with the same records agree.
    #[test]
    fn accounts_do_not_depend_on_the_order(records in vec((0..4_u128, any::<bool>()), 0..20)) {
        let apply = |ledger: &mut Ledger, (turn, settles): (u128, bool)| {
            if settles {
                ledger.settle(&Settlement { program: PROGRAM, turn: Key(turn), used: 7 }, Millis::ZERO);
            } else {
                ledger.reserve(&Reservation { program: PROGRAM, turn: Key(turn), most: 50 }, Millis::ZERO);
            }
        };
        let mut forward = Ledger::default();
        let mut backward = Ledger::default();
        for record in &records {
            apply(&mut forward, *record);
        }
        for record in records.iter().rev().chain(&records) {
            apply(&mut backward, *record);
        }
        let charges = |ledger: &Ledger| -> Vec<u64> {
            ledger.entries(PROGRAM).iter().map(Entry::charged).collect()
        };
        prop_assert!(charges(&forward) == charges(&backward));
    }
}

/// The state of three concurrent reservations in the exhaustive search. Turns are bits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct SearchState {
    /// Which turns each member knows.
    members: [u8; MEMBERS],
    turns: [ReservationState; 3],
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct ReservationState {
    written: u8,
    read: u8,
    known: u8,
    verdict: Option<Verdict>,
}

/// Searches all orders of messages for one that exceeds the budget, and returns the state in which
/// it does, or else the number of states. `reads` members are asked once a majority has the
/// reservation.
fn search(reads: u32) -> Result<usize, SearchState> {
    let mut seen = HashSet::from([SearchState::default()]);
    let mut queue = vec![SearchState::default()];
    while let Some(state) = queue.pop() {
        let running = state
            .turns
            .iter()
            .filter(|turn| turn.verdict == Some(Verdict::Fits));
        if running.count() as u64 * u64::from(RESERVED_TOKENS) > BUDGET {
            return Err(state);
        }
        for turn in 0..3 {
            for member in 0..MEMBERS {
                for next in [
                    write_step(state, turn, member, reads),
                    read_step(state, turn, member, reads),
                ] {
                    if seen.insert(next) {
                        queue.push(next);
                    }
                }
            }
        }
    }
    Ok(seen.len())
}

fn decide(state: &mut SearchState, turn: usize) {
    let known = state.turns[turn].known;
    let entries: Vec<Entry> = (0..3)
        .filter(|at| known >> at & 1 == 1)
        .map(entry)
        .collect();
    state.turns[turn].verdict = Some(check_budget(&entries, &entry(turn), BUDGET));
}

fn write_step(mut state: SearchState, turn: usize, member: usize, reads: u32) -> SearchState {
    let reservation = &mut state.turns[turn];
    if reservation.written >> member & 1 == 1 || reservation.verdict.is_some() {
        return state;
    }
    reservation.written |= 1 << member;
    state.members[member] |= 1 << turn;
    reservation.known |= state.members[member];
    let all = reservation.written.count_ones() as usize == MEMBERS;
    if all || (reads == 0 && reservation.written.count_ones() == 2) {
        decide(&mut state, turn);
    }
    state
}

fn read_step(mut state: SearchState, turn: usize, member: usize, reads: u32) -> SearchState {
    let reservation = &mut state.turns[turn];
    let allowed = reservation.written.count_ones() >= 2 && reservation.verdict.is_none();
    if !allowed || reservation.read >> member & 1 == 1 {
        return state;
    }
    reservation.read |= 1 << member;
    reservation.known |= state.members[member];
    if reservation.read.count_ones() >= reads {
        decide(&mut state, turn);
    }
    state
}

/// Three turns of a program whose budget fits two start at once, and each reaches a different pair
/// of the three members, so that each member knows two of them. Without a second round, or with
/// only one member asked in it, all three run. The test searches every order of messages.
#[test]
fn a_second_round_at_a_majority_is_necessary_and_sufficient() {
    assert!(search(2).is_ok());
    assert!(search(1).is_err());
    assert!(search(0).is_err());
}
