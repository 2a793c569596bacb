use bytes::Bytes;
use rstest::rstest;
use serde_json::Map;
use serde_json::Value;
use wire::chat;
use wire::code::Ran;

use super::*;
use crate::log::Status;
use crate::record::Outcome;

const TOKENS: u64 = 100;
const IDLE: u64 = 1_000;

fn program() -> id::Program {
    id::Program::parse("p").unwrap()
}

fn caller() -> id::Caller {
    id::Caller::parse("crew").unwrap()
}

fn endpoint(name: &str) -> id::Endpoint {
    id::Endpoint::parse(name).unwrap()
}

fn key() -> id::Key {
    id::Key::parse("k").unwrap()
}

fn message(text: &str) -> chat::Message {
    chat::Message {
        role: "assistant".to_owned(),
        content: Value::from(text),
        rest: Map::new(),
    }
}

fn apply(state: &mut State, records: &[Record]) {
    for record in records {
        state.check(record).unwrap();
        state.apply(record);
    }
}

fn reopen(state: &mut State) {
    let opened = Record::Opened {
        vm: id::Vm::parse("vm").unwrap(),
        epoch: state.epoch() + 1,
        copies: Vec::new(),
    };
    apply(state, &[opened]);
}

fn fresh() -> State {
    let mut state = State::default();
    reopen(&mut state);
    let ask = Create {
        program: &program(),
        caller: &caller(),
        tokens: TOKENS,
        turns: 2,
        idle: Millis::new(IDLE),
        now: Millis::ZERO,
    };
    let record = create(&state, &ask).unwrap().unwrap();
    apply(&mut state, &[record]);
    state
}

#[derive(Clone, Copy)]
struct Asked {
    turn: Option<u32>,
    digest: u64,
    want: u64,
    attempt: u64,
    now: u64,
}

const FIRST: Asked = Asked {
    turn: Some(1),
    digest: 1,
    want: 10,
    attempt: 1,
    now: 0,
};

fn ask(state: &State, asked: Asked) -> Result<Turn<'_>> {
    let begun = Begin {
        program: &program(),
        caller: &caller(),
        turn: asked.turn,
        messages: &[message("q")],
        digest: id::Digest(asked.digest),
        want: asked.want,
        attempt: id::Attempt(asked.attempt),
        endpoint: None,
        now: Millis::new(asked.now),
    };
    begin(state, &begun)
}

fn start(state: &mut State, asked: Asked) -> Start {
    let Turn::Start(start) = ask(state, asked).unwrap() else {
        panic!("doesn't start");
    };
    apply(state, &start.records);
    start
}

fn finish(state: &mut State, attempt: u64, used: u64) {
    let done = Commit {
        program: &program(),
        attempt: id::Attempt(attempt),
        messages: vec![message("q")],
        answer: chat::Answer {
            message: message(&format!("answer {attempt}")),
            finish: "stop".to_owned(),
            usage: chat::Usage::default(),
        },
        used,
        endpoint: &endpoint("runner-1"),
        now: Millis::ZERO,
    };
    let record = commit(state, done).unwrap().unwrap();
    apply(state, &[record]);
}

fn order(state: &State, digest: u64, status: Status) -> Result<Call<'_>> {
    let asked = Intend {
        program: &program(),
        caller: &caller(),
        key: &key(),
        digest: id::Digest(digest),
        attempt: id::Attempt(7),
        now: Millis::ZERO,
        status,
    };
    intend(state, &asked)
}

fn ordered() -> State {
    let mut state = fresh();
    let Call::Start(records) = order(&state, 1, Status::Open).unwrap() else {
        panic!("doesn't start");
    };
    apply(&mut state, &records);
    state
}

fn outcome(state: &mut State, result: Outcome) {
    let record = resolve(state, &program(), &key(), id::Attempt(7), result).unwrap();
    apply(state, &[record]);
}

#[rstest]
#[case::past_the_next(Asked { turn: Some(3), ..FIRST }, Code::WrongTurn)]
#[case::zero(Asked { turn: Some(0), ..FIRST }, Code::WrongTurn)]
#[case::committed_with_other_content(Asked { digest: 9, ..FIRST }, Code::TurnConflict)]
#[case::too_late(Asked { turn: Some(2), now: IDLE + 1, ..FIRST }, Code::IdleExpired)]
fn refuses_after_one_turn(#[case] asked: Asked, #[case] code: Code) {
    let mut state = fresh();
    start(&mut state, FIRST);
    finish(&mut state, 1, 5);
    let refusal = ask(&state, asked).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (code, Ran::No));
}

#[test]
fn a_running_turn_is_joined_and_a_committed_one_replayed() {
    let mut state = fresh();
    start(&mut state, FIRST);
    let again = Asked {
        attempt: 2,
        ..FIRST
    };
    assert!(matches!(
        ask(&state, again),
        Ok(Turn::Join {
            attempt: id::Attempt(1),
            ..
        })
    ));
    let unnumbered = Asked {
        turn: None,
        ..again
    };
    assert!(matches!(ask(&state, unnumbered), Ok(Turn::Join { .. })));
    finish(&mut state, 1, 5);
    let Ok(Turn::Replay { answer, .. }) = ask(&state, again) else {
        panic!("isn't replayed");
    };
    assert_eq!(answer.message, message("answer 1"));
}

#[test]
fn the_turn_limit_holds() {
    let mut state = fresh();
    for turn in 1..=2 {
        let asked = Asked {
            turn: Some(turn),
            attempt: u64::from(turn),
            ..FIRST
        };
        start(&mut state, asked);
        finish(&mut state, u64::from(turn), 5);
    }
    let refusal = ask(
        &state,
        Asked {
            turn: None,
            ..FIRST
        },
    )
    .unwrap_err();
    assert_eq!(refusal.code, Code::TurnLimit);
}

#[test]
fn a_crash_spends_the_reservation_and_the_turn_begins_again() {
    // The owner dies while a turn is running. Nobody knows how many tokens the engine generated, so
    // the whole reservation counts as spent. The remaining budget still lets the turn run once
    // more.
    let mut state = fresh();
    start(&mut state, Asked { want: 60, ..FIRST });
    reopen(&mut state);
    let second = start(
        &mut state,
        Asked {
            want: 60,
            attempt: 2,
            ..FIRST
        },
    );
    assert_eq!(second.reserved, 40);
    reopen(&mut state);
    let refusal = ask(
        &state,
        Asked {
            attempt: 3,
            ..FIRST
        },
    )
    .unwrap_err();
    assert_eq!(refusal.code, Code::BudgetSpent);
}

#[test]
fn an_answer_of_a_superseded_attempt_is_dropped() {
    // An engine answers after the turn was moved to another engine. Only the later attempt's answer
    // may enter the history.
    let mut state = fresh();
    start(&mut state, FIRST);
    let moved = Restart {
        program: &program(),
        ended: id::Attempt(1),
        used: Some(3),
        want: 200,
        attempt: id::Attempt(2),
        endpoint: None,
        now: Millis::ZERO,
    };
    let start = restart(&state, &moved).unwrap().unwrap();
    assert_eq!(start.reserved, TOKENS - 3);
    apply(&mut state, &start.records);
    assert!(stop(&state, &program(), id::Attempt(1), None).is_none());
    assert!(restart(&state, &moved).unwrap().is_none());
    finish(&mut state, 2, 5);
    assert_eq!(state.program(&program()).unwrap().spent, 8);
}

#[test]
fn an_intent_of_a_dead_owner_is_unknown_for_good() {
    // The owner dies between the intent and the service's response. The service may have run the
    // call, so the next owner neither sends it again nor says that it didn't run.
    let mut state = ordered();
    assert_eq!(
        order(&state, 1, Status::Open),
        Ok(Call::Join(id::Attempt(7)))
    );
    reopen(&mut state);
    let refusal = order(&state, 1, Status::Open).unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (Code::OutcomeUnknown, Ran::Unknown)
    );
    assert!(resolve(&state, &program(), &key(), id::Attempt(7), Outcome::NotRun).is_none());
}

#[test]
fn an_answered_call_is_replayed_also_after_the_end() {
    let mut state = ordered();
    let body = Bytes::from_static(b"done");
    outcome(&mut state, Outcome::Answered { status: 200, body });
    let conflict = order(&state, 2, Status::Open).unwrap_err();
    assert_eq!(conflict.code, Code::KeyConflict);
    let ended = end(
        &state,
        &program(),
        &caller(),
        Code::ProgramEnded,
        Millis::ZERO,
    );
    apply(&mut state, &ended.unwrap());
    assert!(matches!(
        order(&state, 1, Status::Lost),
        Ok(Call::Replay { status: 200, .. })
    ));
    assert!(forget(&state, &program(), Millis::new(5), Millis::new(4)).is_none());
    assert!(forget(&state, &program(), Millis::new(5), Millis::new(5)).is_some());
}

#[test]
fn a_call_that_did_not_run_frees_its_key() {
    let mut state = ordered();
    outcome(&mut state, Outcome::NotRun);
    assert!(matches!(order(&state, 2, Status::Open), Ok(Call::Start(_))));
    let retry_after = Millis::new(9);
    let refusal = order(&state, 2, Status::Outage { retry_after }).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::PlatformDown, Ran::No));
    assert_eq!(refusal.retry_after, Some(retry_after));
}

// A VM has lost its shard and doesn't see what the next owner writes. A call that ran there is
// requested again here. If the caller were told that it didn't run, the caller would send another
// one, and both would run.
#[test]
fn a_lost_log_says_no_of_no_call() {
    let refusal = order(&fresh(), 1, Status::Lost).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::OwnerLost, Ran::Unknown));
}

#[test]
fn the_second_endpoint_that_crashes_condemns_the_content() {
    // A request crashes its runner, is moved to another runner and crashes that one too. From then
    // on it is refused, also in another program; other content isn't.
    let mut state = fresh();
    start(&mut state, FIRST);
    for (name, poisoned) in [("a", false), ("a", false), ("b", true)] {
        let blamed = blame(&state, &program(), id::Digest(1), &endpoint(name));
        assert_eq!(matches!(blamed, Blame::Poisoned(_)), poisoned);
        let (Blame::Suspect(records) | Blame::Poisoned(records)) = blamed;
        apply(&mut state, &records);
    }
    let stopped = stop(&state, &program(), id::Attempt(1), None).unwrap();
    apply(&mut state, &[stopped]);
    assert_eq!(ask(&state, FIRST).unwrap_err().code, Code::Poisoned);
    assert!(ask(&state, Asked { digest: 2, ..FIRST }).is_ok());
}

#[test]
fn content_that_runs_whole_is_cleared() {
    let mut state = fresh();
    start(&mut state, FIRST);
    let Blame::Suspect(records) = blame(&state, &program(), id::Digest(1), &endpoint("a")) else {
        panic!("condemned at once");
    };
    apply(&mut state, &records);
    let content = state.content_digest(&program(), id::Digest(1));
    finish(&mut state, 1, 1);
    assert!(state.crashed_endpoints(content).is_empty());
}

#[test]
fn an_ended_program_names_its_holders_until_they_release() {
    let mut state = fresh();
    start(&mut state, FIRST);
    finish(&mut state, 1, 5);
    assert_eq!(cache_holders(&state).count(), 0);
    let expired = Millis::new(IDLE + 1);
    assert_eq!(idle_programs(&state, expired).count(), 1);
    let ended = end(&state, &program(), &caller(), Code::IdleExpired, expired);
    apply(&mut state, &ended.unwrap());
    assert_eq!(cache_holders(&state).count(), 1);
    assert!(forget(&state, &program(), Millis::ZERO, expired).is_none());
    let record = cache_released(&state, &program(), &endpoint("runner-1")).unwrap();
    apply(&mut state, &[record]);
    assert_eq!(cache_holders(&state).count(), 0);
    assert_eq!(ask(&state, FIRST).unwrap_err().code, Code::IdleExpired);
}

#[test]
fn another_callers_program_looks_unknown() {
    let state = fresh();
    let other = id::Caller::parse("other").unwrap();
    let ended = end(&state, &program(), &other, Code::ProgramEnded, Millis::ZERO);
    assert_eq!(ended.unwrap_err().code, Code::UnknownProgram);
}

#[test]
fn messages_that_no_key_could_hold_are_refused_before_anything_is_applied() {
    let state = fresh();
    let long = [message(&"x".repeat(MAX_MESSAGES_BYTES))];
    let begun = Begin {
        program: &program(),
        caller: &caller(),
        turn: None,
        messages: &long,
        digest: id::Digest(1),
        want: 1,
        attempt: id::Attempt(1),
        endpoint: None,
        now: Millis::ZERO,
    };
    assert_eq!(begin(&state, &begun).unwrap_err().code, Code::BodyTooLarge);
}
