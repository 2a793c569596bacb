use std::future::pending;
use std::sync::Arc;
use std::time::Duration;

use adapter::settings::Settings;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;
use wire::clock::Clock;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Ran;

use super::allow_send;
use super::with_send_deadline;
use crate::node::Node;

/// Of this, the send deadline is after 1.1 s, and the answer deadline after 1.6 s.
const GRACE: Millis = Millis::new(2_000);

fn node() -> Arc<Node> {
    let settings = adapter::settings::parse(&fakes::settings::alone()).unwrap();
    let settings = Settings {
        grace: GRACE,
        ..settings
    };
    Node::new(settings, Clock::System)
}

fn in_ms(ms: u64) -> Instant {
    Instant::now() + Duration::from_millis(ms)
}

// A turn was accepted before the stop and waits for VMs with a disk that don't answer, for longer
// than the process has. Its caller must learn before the end of the process that no runner got the
// turn.
#[tokio::test]
async fn request_waiting_at_the_send_deadline_is_refused_as_not_run() {
    let node = node();
    let stopping = node.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(50)).await;
        stopping.begin_stop();
    });
    let refusal = with_send_deadline(&node, in_ms(20_000), pending::<()>()).await;
    let refusal = refusal.unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    let stop = node.stop().unwrap();
    assert!(node.clock.now() >= stop.unassigned_deadline());
    assert!(node.clock.now() < stop.deadline());
}

// Work that is over before the process ends isn't abandoned, whether the process is stopping or
// not. If it were refused, its caller would lose an answer that it could have had.
#[rstest]
#[case::request_ends_in_time(1_000)]
#[case::process_is_not_stopping(20_000)]
#[tokio::test]
async fn request_that_can_finish_is_not_abandoned(#[case] ends_ms: u64) {
    let node = node();
    let ends = in_ms(ends_ms);
    if ends_ms < GRACE.as_u64() {
        node.begin_stop();
    }
    let waited = timeout(
        Duration::from_millis(1_200),
        with_send_deadline(&node, ends, pending::<()>()),
    );
    assert!(waited.await.is_err());
    assert_eq!(allow_send(&node, ends), Ok(()));
}

// A runner refuses a request just before the process ends. If it were sent to another runner, it
// would be cut off there with an unknown outcome. Nobody has run it yet, so it is refused.
#[tokio::test]
async fn nothing_is_sent_after_the_send_deadline() {
    let node = node();
    let ends = in_ms(20_000);
    node.begin_stop();
    assert_eq!(allow_send(&node, ends), Ok(()));
    sleep(Duration::from_millis(1_150)).await;
    let refusal = allow_send(&node, ends).unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
}

// A turn waits for VMs with a disk for longer than the time that it has, and the process ends
// meanwhile. It isn't abandoned at the send deadline, because it should have been over before the
// process ends. If it were cut off at that end, its caller wouldn't know that no runner got the
// turn.
#[tokio::test]
async fn overdue_request_is_refused_at_the_answer_deadline() {
    let node = node();
    let stop = node.begin_stop();
    let waited = with_send_deadline(&node, in_ms(1_000), pending::<()>());
    let refused = timeout(GRACE.as_duration(), waited).await;
    let refusal = refused.expect("it is refused before the end").unwrap_err();
    assert_eq!((refusal.code, refusal.ran), (Code::ShuttingDown, Ran::No));
    assert!(node.clock.now() >= stop.deadline());
    assert!(node.clock.now() < stop.exit_at());
}
