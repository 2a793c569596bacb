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

async fn make_change(memory: &Memory, nonce: u64, value: &str) -> Outcome {
    let change = Change::new(label(value), nonce, None, DEADLINE);
    run(memory, &Clock::Manual(std::sync::Arc::default()), change).await
}

async fn stored(memory: &Memory) -> Config {
    parse(&memory.read(KEY).await.unwrap().unwrap().value).unwrap()
}

fn accepted_revision(outcome: &Outcome) -> u64 {
    match outcome {
        Outcome::Accepted(config) => config.revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Sends a change to an empty key, and loses the answer after the write took effect.
async fn change_in_doubt(memory: &Memory) -> Change {
    let mut change = Change::new(label("high"), 11, None, DEADLINE);
    let Step::Commit(txn) = change.on_read(Ok(None), Millis::ZERO) else {
        panic!("expected a commit step");
    };
    memory.inject(Injection::LoseAnswer);
    let lost = memory.commit(&txn, Priority::Change).await;
    assert_eq!(change.on_commit(lost, Millis::ZERO), Step::Read);
    change
}

// Either the answer to a change or the write itself is lost. Reading the key back shows which; if
// the key hasn't moved, the same bytes are sent again. The operator is told "accepted" once, and
// the change is applied once.
#[rstest]
#[case(Injection::LoseAnswer)]
#[case(Injection::LoseWrite)]
#[case(Injection::Delay)]
#[tokio::test]
async fn a_lost_answer_is_resolved_by_reading_back(#[case] play: Injection) {
    let memory = Memory::default();
    memory.inject(play);
    let outcome = make_change(&memory, 11, "high").await;
    assert_eq!(accepted_revision(&outcome), 1);
    memory.deliver();
    let config = stored(&memory).await;
    assert_eq!((config.revision, config.nonce), (1, 11));
}

// The answer is lost after the write took effect, and two other changes are accepted before the key
// is read back. The document's own nonce is now another one, so only the list of recent nonces
// shows that the change was accepted. "Rejected" would be wrong.
#[tokio::test]
async fn a_change_followed_by_others_is_still_known_as_accepted() {
    let memory = Memory::default();
    let mut change = change_in_doubt(&memory).await;
    make_change(&memory, 12, "low").await;
    make_change(&memory, 13, "mid").await;
    let step = change.on_read(memory.read(KEY).await, Millis::ZERO);
    let Step::Done(outcome) = step else {
        panic!("not resolved: {step:?}");
    };
    assert_eq!(accepted_revision(&outcome), 1);
}

// As above, but so many changes follow that the document no longer contains the nonce: the operator
// is told that the outcome is unknown, not that the change was rejected.
#[tokio::test]
async fn a_change_that_the_document_no_longer_contains_is_reported_as_unknown() {
    let memory = Memory::default();
    let mut change = change_in_doubt(&memory).await;
    for nonce in 0..=MAX_RECENT_NONCES as u64 {
        make_change(&memory, 100 + nonce, "low").await;
    }
    let step = change.on_read(memory.read(KEY).await, Millis::ZERO);
    assert_eq!(step, Step::Done(Outcome::Unknown { revision: 1 }));
}

// The platform goes down while the change is in doubt and stays down past the deadline. The write
// may still take effect, so "not accepted" would be wrong.
#[test]
fn a_change_in_doubt_at_its_deadline_is_reported_as_unknown() {
    let down = || edge::Fault::Down("outage".to_owned());
    let mut change = Change::new(label("high"), 11, None, DEADLINE);
    change.on_read(Ok(None), Millis::ZERO);
    let lost = Err(edge::Fault::Unknown("timeout".to_owned()));
    assert_eq!(change.on_commit(lost, Millis::ZERO), Step::Read);
    assert_eq!(change.on_read(Err(down()), Millis::ZERO), Step::Read);
    let step = change.on_read(Err(down()), DEADLINE);
    assert_eq!(step, Step::Done(Outcome::Unknown { revision: 1 }));
}

// The platform is down before anything is sent. The change can't be accepted any more, and the
// operator may be told so.
#[tokio::test]
async fn a_change_that_was_never_sent_is_reported_as_not_sent() {
    let memory = Memory::default();
    memory.set_down(true);
    let outcome = make_change(&memory, 11, "high").await;
    assert!(matches!(outcome, Outcome::NotSent(edge::Fault::Down(_))));
}

// Two operators read revision 1 and both change it. The one that named the revision is told that
// there is a newer one; the one that didn't has its change applied on top of the other.
#[rstest]
#[case(Some(1), None)]
#[case(None, Some(3))]
#[tokio::test]
async fn the_loser_of_a_race_retries_unless_it_named_a_revision(
    #[case] expected: Option<u64>,
    #[case] accepted: Option<u64>,
) {
    let memory = Memory::default();
    make_change(&memory, 10, "first").await;
    let mut change = Change::new(label("mine"), 11, expected, DEADLINE);
    let Step::Commit(txn) = change.on_read(memory.read(KEY).await, Millis::ZERO) else {
        panic!("expected a commit step");
    };
    make_change(&memory, 12, "theirs").await;
    let refused = memory.commit(&txn, Priority::Change).await;
    let step = change.on_commit(refused, Millis::ZERO);
    let Some(accepted) = accepted else {
        assert_eq!(step, Step::Done(Outcome::Conflict { revision: 2 }));
        assert_eq!(stored(&memory).await.nonce, 12);
        return;
    };
    assert_eq!(step, Step::Read);
    let clock = Clock::Manual(std::sync::Arc::default());
    let outcome = run(&memory, &clock, change).await;
    assert_eq!(accepted_revision(&outcome), accepted);
}
