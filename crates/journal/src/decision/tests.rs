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
const IDLE_MS: u64 = 1_000;

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

fn state_with_program() -> State {
    let mut state = State::default();
    reopen(&mut state);
    let request = Create {
        program: &program(),
        caller: &caller(),
        tokens: TOKENS,
        turns: 2,
        idle: Millis::new(IDLE_MS),
        now: Millis::ZERO,
    };
    let record = create(&state, &request).unwrap().unwrap();
    apply(&mut state, &[record]);
    state
}

#[derive(Clone, Copy)]
struct TurnRequest {
    turn: Option<u32>,
    digest: u64,
    max_tokens: u64,
    attempt: u64,
    now: u64,
}

const FIRST_TURN: TurnRequest = TurnRequest {
    turn: Some(1),
    digest: 1,
    max_tokens: 10,
    attempt: 1,
    now: 0,
};

fn request_turn(state: &State, request: TurnRequest) -> Result<Turn<'_>> {
    let begin_request = Begin {
        program: &program(),
        caller: &caller(),
        turn: request.turn,
        messages: &[message("q")],
        digest: id::Digest(request.digest),
        max_tokens: request.max_tokens,
        attempt: id::Attempt(request.attempt),
        endpoint: None,
        now: Millis::new(request.now),
    };
    begin(state, &begin_request)
}

fn start_turn(state: &mut State, request: TurnRequest) -> Start {
    let Turn::Start(start) = request_turn(state, request).unwrap() else {
        panic!("the turn isn't started");
    };
    apply(state, &start.records);
    start
}

fn commit_turn(state: &mut State, attempt: u64, used: u64) {
    let commit_request = Commit {
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
    let record = commit(state, commit_request).unwrap().unwrap();
    apply(state, &[record]);
}

fn request_call(state: &State, digest: u64, status: Status) -> Result<Call<'_>> {
    let request = Intend {
        program: &program(),
        caller: &caller(),
        key: &key(),
        digest: id::Digest(digest),
        attempt: id::Attempt(7),
        now: Millis::ZERO,
        status,
    };
    intend(state, &request)
}

fn state_with_intent() -> State {
    let mut state = state_with_program();
    let Call::Start(records) = request_call(&state, 1, Status::Open).unwrap() else {
        panic!("the call isn't started");
    };
    apply(&mut state, &records);
    state
}

fn record_outcome(state: &mut State, result: Outcome) {
    let record = resolve(state, &program(), &key(), id::Attempt(7), result).unwrap();
    apply(state, &[record]);
}

#[rstest]
#[case::beyond_the_next(TurnRequest { turn: Some(3), ..FIRST_TURN }, Code::WrongTurn)]
#[case::zero(TurnRequest { turn: Some(0), ..FIRST_TURN }, Code::WrongTurn)]
#[case::committed_with_other_content(TurnRequest { digest: 9, ..FIRST_TURN }, Code::TurnConflict)]
#[case::idle_limit_passed(
    TurnRequest { turn: Some(2), now: IDLE_MS + 1, ..FIRST_TURN },
    Code::IdleExpired
)]
fn is_refused_after_one_turn(#[case] request: TurnRequest, #[case] code: Code) {
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    commit_turn(&mut state, 1, 5);
    let refusal = request_turn(&state, request).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (code, Ran::No));
}

#[test]
fn a_running_turn_is_joined_and_a_committed_one_replayed() {
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    let repeated = TurnRequest {
        attempt: 2,
        ..FIRST_TURN
    };
    assert!(matches!(
        request_turn(&state, repeated),
        Ok(Turn::Join {
            attempt: id::Attempt(1),
            ..
        })
    ));
    let unnumbered = TurnRequest {
        turn: None,
        ..repeated
    };
    assert!(matches!(
        request_turn(&state, unnumbered),
        Ok(Turn::Join { .. })
    ));
    commit_turn(&mut state, 1, 5);
    let Ok(Turn::Replay { answer, .. }) = request_turn(&state, repeated) else {
        panic!("the committed turn isn't replayed");
    };
    assert_eq!(answer.message, message("answer 1"));
}

#[test]
fn the_turn_limit_is_enforced() {
    let mut state = state_with_program();
    for turn in 1..=2 {
        let request = TurnRequest {
            turn: Some(turn),
            attempt: u64::from(turn),
            ..FIRST_TURN
        };
        start_turn(&mut state, request);
        commit_turn(&mut state, u64::from(turn), 5);
    }
    let refusal = request_turn(
        &state,
        TurnRequest {
            turn: None,
            ..FIRST_TURN
        },
    )
    .unwrap_err();
    assert_eq!(refusal.code, Code::TurnLimit);
}

#[test]
fn a_crash_spends_the_reservation_and_the_turn_can_start_again() {
    // The owner dies while a turn is running. Nobody knows how many tokens the engine generated, so
    // the whole reservation counts as spent. The remaining budget still lets the turn run once
    // more.
    let mut state = state_with_program();
    start_turn(
        &mut state,
        TurnRequest {
            max_tokens: 60,
            ..FIRST_TURN
        },
    );
    reopen(&mut state);
    let second = start_turn(
        &mut state,
        TurnRequest {
            max_tokens: 60,
            attempt: 2,
            ..FIRST_TURN
        },
    );
    assert_eq!(second.reserved, 40);
    reopen(&mut state);
    let refusal = request_turn(
        &state,
        TurnRequest {
            attempt: 3,
            ..FIRST_TURN
        },
    )
    .unwrap_err();
    assert_eq!(refusal.code, Code::BudgetSpent);
}

#[test]
fn an_answer_of_a_superseded_attempt_is_dropped() {
    // An engine answers after the turn was moved to another engine. Only the later attempt's answer
    // may enter the history.
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    let moved = Restart {
        program: &program(),
        ended: id::Attempt(1),
        used: Some(3),
        max_tokens: 200,
        attempt: id::Attempt(2),
        endpoint: None,
        now: Millis::ZERO,
    };
    let start = restart(&state, &moved).unwrap().unwrap();
    assert_eq!(start.reserved, TOKENS - 3);
    apply(&mut state, &start.records);
    assert!(stop(&state, &program(), id::Attempt(1), None).is_none());
    assert!(restart(&state, &moved).unwrap().is_none());
    commit_turn(&mut state, 2, 5);
    assert_eq!(state.program(&program()).unwrap().spent, 8);
}

#[test]
fn an_unresolved_intent_of_a_dead_owner_stays_unknown() {
    // The owner dies between the intent and the service's response. The service may have run the
    // call, so the next owner neither sends it again nor says that it didn't run.
    let mut state = state_with_intent();
    assert_eq!(
        request_call(&state, 1, Status::Open),
        Ok(Call::Join(id::Attempt(7)))
    );
    reopen(&mut state);
    let refusal = request_call(&state, 1, Status::Open).unwrap_err();
    assert_eq!(
        (refusal.code, refusal.ran),
        (Code::OutcomeUnknown, Ran::Unknown)
    );
    assert!(resolve(&state, &program(), &key(), id::Attempt(7), Outcome::NotRun).is_none());
}

#[test]
fn an_answered_call_is_replayed_even_after_the_program_ended() {
    let mut state = state_with_intent();
    let body = Bytes::from_static(b"done");
    record_outcome(&mut state, Outcome::Answered { status: 200, body });
    let conflict = request_call(&state, 2, Status::Open).unwrap_err();
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
        request_call(&state, 1, Status::Lost),
        Ok(Call::Replay { status: 200, .. })
    ));
    assert!(forget(&state, &program(), Millis::new(5), Millis::new(4)).is_none());
    assert!(forget(&state, &program(), Millis::new(5), Millis::new(5)).is_some());
}

#[test]
fn a_call_that_did_not_run_frees_its_key() {
    let mut state = state_with_intent();
    record_outcome(&mut state, Outcome::NotRun);
    assert!(matches!(
        request_call(&state, 2, Status::Open),
        Ok(Call::Start(_))
    ));
    let retry_after = Millis::new(9);
    let refusal = request_call(&state, 2, Status::Outage { retry_after }).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::PlatformDown, Ran::No));
    assert_eq!(refusal.retry_after, Some(retry_after));
}

// A VM has lost its shard and doesn't see what the next owner writes. A call that ran there is
// requested again here. If the caller were told that it didn't run, the caller would send another
// one, and both would run.
#[test]
fn a_lost_log_never_says_that_a_call_did_not_run() {
    let refusal = request_call(&state_with_program(), 1, Status::Lost).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::OwnerLost, Ran::Unknown));
}

#[test]
fn the_second_endpoint_that_crashes_poisons_the_content() {
    // A request crashes its runner, is moved to another runner and crashes that one too. From then
    // on it is refused, also in another program; other content isn't.
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    for (name, poisoned) in [("a", false), ("a", false), ("b", true)] {
        let blamed = blame(&state, &program(), id::Digest(1), &endpoint(name));
        assert_eq!(matches!(blamed, Blame::Poisoned(_)), poisoned);
        let (Blame::Suspect(records) | Blame::Poisoned(records)) = blamed;
        apply(&mut state, &records);
    }
    let stopped = stop(&state, &program(), id::Attempt(1), None).unwrap();
    apply(&mut state, &[stopped]);
    assert_eq!(
        request_turn(&state, FIRST_TURN).unwrap_err().code,
        Code::Poisoned
    );
    assert!(
        request_turn(
            &state,
            TurnRequest {
                digest: 2,
                ..FIRST_TURN
            }
        )
        .is_ok()
    );
}

#[test]
fn content_that_runs_to_completion_is_cleared() {
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    let Blame::Suspect(records) = blame(&state, &program(), id::Digest(1), &endpoint("a")) else {
        panic!("the content is poisoned by the first crash");
    };
    apply(&mut state, &records);
    let content = state.content_digest(&program(), id::Digest(1));
    commit_turn(&mut state, 1, 1);
    assert!(state.crashed_endpoints(content).is_empty());
}

#[test]
fn an_ended_program_lists_its_cache_holders_until_they_release() {
    let mut state = state_with_program();
    start_turn(&mut state, FIRST_TURN);
    commit_turn(&mut state, 1, 5);
    assert_eq!(cache_holders(&state).count(), 0);
    let expired = Millis::new(IDLE_MS + 1);
    assert_eq!(idle_programs(&state, expired).count(), 1);
    let ended = end(&state, &program(), &caller(), Code::IdleExpired, expired);
    apply(&mut state, &ended.unwrap());
    assert_eq!(cache_holders(&state).count(), 1);
    assert!(forget(&state, &program(), Millis::ZERO, expired).is_none());
    let record = cache_released(&state, &program(), &endpoint("runner-1")).unwrap();
    apply(&mut state, &[record]);
    assert_eq!(cache_holders(&state).count(), 0);
    assert_eq!(
        request_turn(&state, FIRST_TURN).unwrap_err().code,
        Code::IdleExpired
    );
}

#[test]
fn another_callers_program_looks_unknown() {
    let state = state_with_program();
    let other = id::Caller::parse("other").unwrap();
    let ended = end(&state, &program(), &other, Code::ProgramEnded, Millis::ZERO);
    assert_eq!(ended.unwrap_err().code, Code::UnknownProgram);
}

#[test]
fn oversized_messages_are_refused_before_anything_is_applied() {
    let state = state_with_program();
    let long = [message(&"x".repeat(MAX_MESSAGES_BYTES))];
    let begin_request = Begin {
        program: &program(),
        caller: &caller(),
        turn: None,
        messages: &long,
        digest: id::Digest(1),
        max_tokens: 1,
        attempt: id::Attempt(1),
        endpoint: None,
        now: Millis::ZERO,
    };
    assert_eq!(
        begin(&state, &begin_request).unwrap_err().code,
        Code::BodyTooLarge
    );
}
