use rstest::rstest;
use wire::clock::Millis;

use super::Budget;
use super::Claim;
use super::Displaced;
use super::Estimate;
use super::Reason;
use super::Step;
use super::Verdict;

/// A third of the smallest VM's memory.
const TOTAL: u64 = 32_000_000;
const TEXT: u64 = 17_000;
const NOW: Millis = Millis::new(10_000);
const DEADLINE: Millis = Millis::new(14_000);

fn claim(step: Step, rank: u8, bytes: u64) -> Claim {
    Claim {
        step,
        rank,
        bytes,
        deadline: DEADLINE,
    }
}

/// Guards against a VM that lets usual turns wait: nearly twice as many as it gets within their deadline,
/// none of whose histories of eight turns is cached, all at once.
#[test]
fn usual_turns_wait_for_nothing() {
    let mut budget = Budget::new(TOTAL);
    for step in [Step::Arrival, Step::Work] {
        let bytes = match step {
            Step::Arrival => TEXT,
            Step::Work => 2 * 8 * TEXT,
        };
        for _ in 0..90 {
            assert_eq!(budget.claim(&claim(step, 0, bytes), NOW), Verdict::Granted);
        }
    }
}

/// Guards against requests that wait for each other: with as many bodies as are let in, each request's
/// second claim is met once the ones before it have ended.
#[test]
fn bodies_leave_room_for_work() {
    let mut budget = Budget::new(TOTAL);
    let body = claim(Step::Arrival, 0, 4_000_000);
    let verdicts: Vec<Verdict> = (0..90).map(|_| budget.claim(&body, NOW)).collect();
    let granted = verdicts.iter().filter(|v| **v == Verdict::Granted).count();
    assert_eq!(granted, 4);
    let work = claim(Step::Work, 9, TOTAL / 2);
    assert_eq!(budget.claim(&work, NOW), Verdict::Granted);
    assert!(matches!(budget.claim(&work, NOW), Verdict::Waits(_)));
    budget.release(Step::Work, TOTAL / 2, Millis::new(1), NOW);
    assert!(budget.grant_next().is_some());
    assert_eq!(budget.grant_next(), None);
    assert_eq!(budget.held(), TOTAL);
}

/// Guards against large claims that are passed by small ones for ever, and against urgent requests that
/// wait behind others.
#[test]
fn claims_are_met_by_rank_and_then_in_order() {
    let mut budget = Budget::new(TOTAL);
    budget.hold(Step::Work, TOTAL);
    let order = [
        (Step::Arrival, 0, 100),
        (Step::Work, 1, TOTAL / 2),
        (Step::Work, 1, 100),
        (Step::Work, 0, 100),
    ];
    let tickets = order.map(|(step, rank, bytes)| {
        let Verdict::Waits(ticket) = budget.claim(&claim(step, rank, bytes), NOW) else {
            panic!("no room is left");
        };
        ticket
    });
    budget.release(Step::Work, 1_000, Millis::new(1), NOW);
    assert_eq!(budget.grant_next(), Some(tickets[3]));
    assert_eq!(budget.grant_next(), None, "the large claim is next");
    budget.leave(tickets[1]);
    assert_eq!(budget.grant_next(), Some(tickets[2]));
    assert_eq!(budget.grant_next(), Some(tickets[0]));
}

/// Guards against callers that wait in vain, and against ones that are refused although they would have
/// been served: bytes were held for 2 s, and half of the budget is needed.
#[rstest]
#[case::in_time(Millis::new(11_000), None)]
#[case::too_late(Millis::new(10_999), Some(Millis::new(1_000)))]
fn who_cant_be_served_in_time_is_refused(
    #[case] deadline: Millis,
    #[case] expected: Option<Millis>,
) {
    let mut budget = Budget::new(TOTAL);
    budget.hold(Step::Work, TOTAL + 1_000);
    budget.release(Step::Work, 1_000, Millis::new(2_000), NOW);
    let claim = Claim {
        deadline,
        ..claim(Step::Work, 0, TOTAL / 2)
    };
    let verdict = budget.claim(&claim, NOW);
    match expected {
        Some(span) => assert_eq!(verdict, Verdict::Refused(Reason::TooLate(span))),
        None => assert!(matches!(verdict, Verdict::Waits(_))),
    }
}

#[test]
fn what_never_fits_is_refused_and_answers_never_are() {
    let mut budget = Budget::new(TOTAL);
    let large = claim(Step::Arrival, 0, TOTAL / 2 + 1);
    let refused = Verdict::Refused(Reason::TooLarge(TOTAL / 2));
    assert_eq!(budget.claim(&large, NOW), refused);
    budget.hold(Step::Work, 2 * TOTAL);
    budget.release(Step::Work, TOTAL, Millis::new(1), NOW);
    let small = claim(Step::Work, 0, 1);
    assert!(matches!(budget.claim(&small, NOW), Verdict::Waits(_)));
    assert_eq!(budget.grant_next(), None);
}

/// Guards against an estimate that one long answer keeps up for ever, or that forgets it at once.
#[test]
fn an_estimate_falls_slowly() {
    let mut estimate = Estimate::default();
    assert_eq!(estimate.bytes(64), 64);
    estimate.note(8_000);
    estimate.note(800);
    assert_eq!(estimate.bytes(64), 7_000);
    for _ in 0..100 {
        estimate.note(800);
    }
    assert_eq!(estimate.bytes(64), 800);
}

/// Guards against answers without an end that keep the bytes from claims: the one that has grown most gives
/// them back, and one that has not grown stays.
#[test]
fn a_claim_displaces_the_answer_that_has_grown_most() {
    let mut budget = Budget::new(TOTAL);
    let answers = [(); 3].map(|()| budget.begin_growth());
    for (answer, bytes) in answers.iter().zip([0, TOTAL / 2, TOTAL / 4]) {
        budget.grow(*answer, bytes).unwrap();
    }
    let work = claim(Step::Work, 0, TOTAL / 2);
    assert_eq!(budget.claim(&work, NOW), Verdict::Granted);
    assert_eq!(budget.take_displaced(), [answers[1]]);
    assert_eq!(budget.held(), TOTAL / 4 * 3);
    assert_eq!(budget.claim(&work, NOW), Verdict::Granted);
    assert_eq!(budget.take_displaced(), [answers[2]]);
    assert_eq!(budget.grow(answers[0], 0), Ok(()));
    assert_eq!(budget.grow(answers[0], 1), Err(Displaced));
    assert_eq!(budget.held(), TOTAL);
}

/// Guards against a growing answer that ends others that have grown less, or just as much.
#[test]
fn an_answer_displaces_only_those_that_have_grown_more() {
    let mut budget = Budget::new(TOTAL);
    let large = budget.begin_growth();
    budget.grow(large, TOTAL - TEXT).unwrap();
    let small = budget.begin_growth();
    assert_eq!(budget.grow(small, 2 * TEXT), Ok(()));
    assert_eq!(budget.take_displaced(), [large]);
    assert_eq!(budget.grow(large, 0), Err(Displaced));
    let equal = [(); 2].map(|()| budget.begin_growth());
    budget.grow(equal[0], TOTAL / 2).unwrap();
    assert_eq!(budget.grow(equal[1], TOTAL / 2), Err(Displaced));
    assert!(budget.take_displaced().is_empty());
    budget.end_growth(equal[0]);
    budget.end_growth(small);
    assert_eq!(budget.held(), 0);
}

/// Guards against claims that wait for bytes into which an answer has grown meanwhile.
#[test]
fn a_claim_that_waits_displaces_answers_as_its_turn_comes() {
    let mut budget = Budget::new(TOTAL);
    let work = claim(Step::Work, 0, TOTAL / 2);
    assert_eq!(budget.claim(&work, NOW), Verdict::Granted);
    assert_eq!(budget.claim(&work, NOW), Verdict::Granted);
    assert!(matches!(budget.claim(&work, NOW), Verdict::Waits(_)));
    budget.release(Step::Work, TOTAL / 4, Millis::new(1), NOW);
    assert_eq!(budget.grant_next(), None);
    let answer = budget.begin_growth();
    budget.grow(answer, TOTAL / 4).unwrap();
    budget.release(Step::Work, TOTAL / 4, Millis::new(1), NOW);
    assert!(budget.grant_next().is_some());
    assert_eq!(budget.take_displaced(), [answer]);
}

/// Guards against histories that together hold more than the budget, and against holders that wait for claims
/// behind them.
#[test]
fn a_claim_is_extended_by_free_bytes_only() {
    let mut budget = Budget::new(TOTAL);
    budget.hold(Step::Work, TOTAL - TEXT);
    let waiting = budget.claim(&claim(Step::Work, 0, 2 * TEXT), NOW);
    assert!(matches!(waiting, Verdict::Waits(_)));
    assert!(budget.extend(Step::Work, TEXT));
    assert!(!budget.extend(Step::Work, 1));
    assert_eq!(budget.held(), TOTAL);
    budget.release(Step::Work, 2 * TEXT, Millis::new(1), NOW);
    assert!(budget.grant_next().is_some());
}
