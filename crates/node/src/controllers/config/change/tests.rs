use platform::memory::Injection;
use platform::memory::Memory;
use rstest::rstest;
use wire::id;

use super::super::edit::Subject;
use super::*;

const DEADLINE: Millis = Millis::new(1_000);

fn label(value: &str) -> Edit {
    Edit::Label {
        subject: Subject::Program(id::Program::parse("p").unwrap()),
        name: "priority".to_owned(),
        value: Some(value.to_owned()),
    }
}

async fn make(memory: &Memory, nonce: u64, value: &str) -> Outcome {
    let change = Change::new(label(value), nonce, None, DEADLINE);
    run(memory, &Clock::Manual(std::sync::Arc::default()), change).await
}

async fn held(memory: &Memory) -> Config {
    parse(&memory.read(KEY).await.unwrap().unwrap().value).unwrap()
}

fn accepted_at(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Accepted(config) => config.revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Sends a change to an empty key, and loses the answer after the write took effect.
async fn in_doubt(memory: &Memory) -> Change {
    let mut change = Change::new(label("high"), 11, None, DEADLINE);
    let Step::Commit(txn) = change.on_read(Ok(None), Millis::ZERO) else {
        panic!("no write");
    };
    memory.inject(Injection::LoseAnswer);
    let lost = memory.commit(&txn, Priority::Change).await;
    assert_eq!(change.on_commit(lost, Millis::ZERO), Step::Read);
    change
}

// The operator's VM sends the change and its answer is lost; or the write itself is. Reading back
// shows which, and the same bytes are sent again where the key hasn't moved. The operator is told
// "accepted" once, and the change is there once.
#[rstest]
#[case(Injection::LoseAnswer)]
#[case(Injection::LoseWrite)]
#[case(Injection::Delay)]
#[tokio::test]
async fn a_lost_answer_is_settled_by_reading_back(#[case] play: Injection) {
    let memory = Memory::default();
    memory.inject(play);
    let outcome = make(&memory, 11, "high").await;
    assert_eq!(accepted_at(&outcome), 1);
    memory.deliver();
    let config = held(&memory).await;
    assert_eq!((config.revision, config.nonce), (1, 11));
}

// The answer is lost after the write took effect, and two others are accepted before the change is
// read back. The key's own nonce is now another's: only the list of recent nonces still tells that
// the change was accepted, and "rejected" would be a lie.
#[tokio::test]
async fn a_change_under_later_ones_is_still_known_as_accepted() {
    let memory = Memory::default();
    let mut change = in_doubt(&memory).await;
    make(&memory, 12, "low").await;
    make(&memory, 13, "mid").await;
    let step = change.on_read(memory.read(KEY).await, Millis::ZERO);
    let Step::Done(outcome) = step else {
        panic!("not settled: {step:?}");
    };
    assert_eq!(accepted_at(&outcome), 1);
}

// As above, but so many others follow that the document has forgotten: the operator is told that
// it isn't known, not that the change was rejected.
#[tokio::test]
async fn a_change_that_the_document_has_forgotten_is_told_as_unknown() {
    let memory = Memory::default();
    let mut change = in_doubt(&memory).await;
    for nonce in 0..=RECENT as u64 {
        make(&memory, 100 + nonce, "low").await;
    }
    let step = change.on_read(memory.read(KEY).await, Millis::ZERO);
    assert_eq!(step, Step::Done(Outcome::Unknown { revision: 1 }));
}

// The platform goes down with the change in doubt and stays down past the deadline. The write may
// still land, so "not accepted" would be a lie.
#[test]
fn a_change_in_doubt_at_its_deadline_is_told_as_unknown() {
    let down = || edge::Fault::Down("outage".to_owned());
    let mut change = Change::new(label("high"), 11, None, DEADLINE);
    change.on_read(Ok(None), Millis::ZERO);
    let lost = Err(edge::Fault::Unknown("timeout".to_owned()));
    assert_eq!(change.on_commit(lost, Millis::ZERO), Step::Read);
    assert_eq!(change.on_read(Err(down()), Millis::ZERO), Step::Read);
    let step = change.on_read(Err(down()), DEADLINE);
    assert_eq!(step, Step::Done(Outcome::Unknown { revision: 1 }));
}

// The platform is down before anything is sent: the change can't be accepted any more, and the
// operator may be told so.
#[tokio::test]
async fn a_change_that_was_never_sent_is_told_as_such() {
    let memory = Memory::default();
    memory.set_down(true);
    let outcome = make(&memory, 11, "high").await;
    assert!(matches!(outcome, Outcome::NotSent(edge::Fault::Down(_))));
}

// Two operators read revision 1 and both change it. The one who named the revision is told that it
// moved; the one who didn't is accepted on top of the other's.
#[rstest]
#[case(Some(1), None)]
#[case(None, Some(3))]
#[tokio::test]
async fn the_loser_of_a_race_starts_anew_unless_it_named_a_revision(
    #[case] expected: Option<u64>,
    #[case] accepted: Option<u64>,
) {
    let memory = Memory::default();
    make(&memory, 10, "first").await;
    let mut change = Change::new(label("mine"), 11, expected, DEADLINE);
    let Step::Commit(txn) = change.on_read(memory.read(KEY).await, Millis::ZERO) else {
        panic!("no write");
    };
    make(&memory, 12, "theirs").await;
    let refused = memory.commit(&txn, Priority::Change).await;
    let step = change.on_commit(refused, Millis::ZERO);
    let Some(accepted) = accepted else {
        assert_eq!(step, Step::Done(Outcome::Conflict { revision: 2 }));
        assert_eq!(held(&memory).await.nonce, 12);
        return;
    };
    assert_eq!(step, Step::Read);
    let clock = Clock::Manual(std::sync::Arc::default());
    let outcome = run(&memory, &clock, change).await;
    assert_eq!(accepted_at(&outcome), accepted);
}
