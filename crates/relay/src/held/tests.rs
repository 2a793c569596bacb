use super::*;

const TOTAL: u64 = 1_000;
const LONG: Millis = Millis::new(60_000);

fn holdings() -> Arc<Holdings> {
    Holdings::new(TOTAL, Clock::System)
}

async fn work(holdings: &Arc<Holdings>, bytes: u64, wait: Millis) -> Result<Held, Refusal> {
    holdings.claim(Step::Work, 0, bytes, wait).await
}

/// Bytes are given back with the last copy of what they are for, be it in a connection's buffer.
#[tokio::test]
async fn bytes_are_held_until_the_last_copy_is_gone() {
    let holdings = holdings();
    let held = work(&holdings, 500, LONG).await.unwrap();
    let body = held.attach(Bytes::from_static(b"body"));
    assert_eq!(holdings.figures().bytes, 4);
    let copy = body.slice(1..2);
    drop(body);
    assert_eq!(holdings.figures().bytes, 4);
    drop(copy);
    assert_eq!(holdings.figures().bytes, 0);
}

/// Guards against bytes that stay held for a caller that leaves, while it waits or just as it is served.
#[tokio::test]
async fn a_caller_that_leaves_gives_its_place_up() {
    let holdings = holdings();
    let held = [
        work(&holdings, 500, LONG).await.unwrap(),
        work(&holdings, 500, LONG).await.unwrap(),
    ];
    let mut first = Box::pin(work(&holdings, 500, LONG));
    let mut second = Box::pin(work(&holdings, 500, LONG));
    let mut third = Box::pin(work(&holdings, 500, LONG));
    for waiter in [&mut first, &mut second, &mut third] {
        assert!(poll_once(waiter).is_none());
    }
    drop(first);
    assert_eq!(holdings.figures().waiting, 2);
    drop(held);
    // Both were served; the second one leaves without knowing.
    drop(second);
    assert_eq!(holdings.figures().bytes, 500);
    let third = third.await.unwrap();
    drop(third);
    assert_eq!(
        holdings.figures(),
        Figures {
            bytes: 0,
            waiting: 0
        }
    );
}

/// Polls a future once.
fn poll_once<F: Future + Unpin>(future: &mut F) -> Option<F::Output> {
    let mut context = std::task::Context::from_waker(std::task::Waker::noop());
    match std::pin::Pin::new(future).poll(&mut context) {
        std::task::Poll::Ready(output) => Some(output),
        std::task::Poll::Pending => None,
    }
}

/// A waiter is refused at its deadline with a result that promises that nothing ran, and others go on.
#[tokio::test]
async fn a_waiter_is_refused_at_its_deadline() {
    let holdings = holdings();
    let mut held = work(&holdings, 500, LONG).await.unwrap();
    held.resize(TOTAL);
    let refusal = work(&holdings, 500, Millis::new(100)).await.unwrap_err();
    assert_eq!(refusal.code, Code::MemoryTaken);
    assert_eq!(refusal.ran, wire::code::Ran::No);
    assert!(refusal.retry_after.is_some());
    assert_eq!(holdings.figures().waiting, 0);
    drop(held);
    work(&holdings, 500, Millis::ZERO).await.unwrap();
}

/// Guards against streams that go on filling their queues while no memory is left.
#[tokio::test]
async fn a_stream_queues_one_part_while_no_memory_is_left() {
    let holdings = holdings();
    let (parts, mut receiver) = mpsc::channel(4);
    let event = Bytes::from_static(b"event");
    for _ in 0..2 {
        holdings.queue(&parts, event.clone()).await.unwrap();
    }
    let mut held = work(&holdings, 500, LONG).await.unwrap();
    held.resize(TOTAL);
    let mut queued = Box::pin(holdings.queue(&parts, event.clone()));
    assert!(poll_once(&mut queued).is_none());
    receiver.recv().await.unwrap();
    assert!(poll_once(&mut queued).is_none());
    receiver.recv().await.unwrap();
    assert!(poll_once(&mut queued).is_some());
}

/// Guards against the reader of a displaced answer that goes on waiting for its peer, and against bytes that
/// stay held for it.
#[tokio::test]
async fn the_reader_of_a_displaced_answer_is_told() {
    let holdings = Holdings::new(4 * FIRST_ANSWER_BYTES, Clock::System);
    let held = work(&holdings, 10, LONG).await.unwrap();
    let (mut growth, mut displacement) = holdings.begin_growth(held, 0);
    growth.resize(3 * FIRST_ANSWER_BYTES).unwrap();
    let mut told = Box::pin(displacement.wait());
    assert!(poll_once(&mut told).is_none());
    let _first = work(&holdings, FIRST_ANSWER_BYTES, LONG).await.unwrap();
    assert!(poll_once(&mut told).is_none());
    let _second = work(&holdings, FIRST_ANSWER_BYTES, LONG).await.unwrap();
    assert!(poll_once(&mut told).is_some());
    assert!(growth.resize(4 * FIRST_ANSWER_BYTES).is_err());
    let held = growth.into_claimed();
    assert_eq!(held.bytes(), 10);
    assert_eq!(holdings.figures().bytes, 10 + 2 * FIRST_ANSWER_BYTES);
}

/// Guards against answers of the usual size that are broken off while the memory is used up.
#[tokio::test]
async fn an_answer_of_the_usual_size_is_never_displaced() {
    let holdings = holdings();
    let mut all = work(&holdings, 500, LONG).await.unwrap();
    all.resize(TOTAL);
    let (mut growth, _displacement) = holdings.begin_growth(holdings.hold_nothing(), 0);
    growth.resize(FIRST_ANSWER_BYTES).unwrap();
    assert!(growth.resize(FIRST_ANSWER_BYTES + 1).is_err());
}
