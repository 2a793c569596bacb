//! Members that can't read their disk for a while.

mod support;

use std::sync::Arc;

use bytes::Bytes;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use replica::server;
use support::Disk;
use wire::clock::Clock;

/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;

async fn start(disk: &Disk) -> Arc<server::Member> {
    let member = server::open_on(disk.medium(), DISK_BYTES, 7, Clock::System);
    member.await.unwrap()
}

fn turn() -> Turn {
    Turn {
        key: Key::of("t1"),
        previous: None,
        text: Bytes::from_static(b"some text"),
    }
}

async fn ask(member: &server::Member, body: Body) -> Answer {
    member.answer(Ask { version: 0, body }).await
}

/// Guards against a turn that is answered for as dropped while the member can't open its file: whoever
/// copies from the member would then count as a complete replica without the turn.
#[tokio::test]
async fn a_turn_that_cannot_be_read_is_not_taken_as_dropped() {
    let disk = Disk::default();
    let member = start(&disk).await;
    let records = vec![Record::Turn(turn())];
    assert!(matches!(
        ask(&member, Body::Apply(records)).await,
        Answer::Applied(_)
    ));
    let fetch = || ask(&member, Body::Fetch(vec![turn().key]));
    disk.use_up_descriptors();
    let unread = fetch().await;
    assert!(matches!(unread, Answer::Failed(_)), "{unread:?}");
    disk.free_descriptors();
    assert_eq!(fetch().await, Answer::Turns(vec![turn()]));
}
