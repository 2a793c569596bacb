//! What a member tells of the turns that it drops as its disk fills.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use bytes::Bytes;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use replica::server;
use support::Disk;
use wire::clock::Clock;

const DISK_BYTES: u64 = 30_000_000;
const TURN_BYTES: usize = 1_000_000;
const TURNS: u64 = 40;

/// Guards against turns that are gone from a full disk without a trace of how many there were.
#[tokio::test]
async fn dropped_turns_are_counted() {
    let disk = Disk::default();
    let clock = Clock::Manual(Arc::new(AtomicU64::new(1)));
    let member = server::open_on(disk.medium(), DISK_BYTES, 1, clock).await;
    let member = member.unwrap();
    for number in 0..TURNS {
        let turn = Turn {
            key: Key(u128::from(number)),
            previous: None,
            text: Bytes::from(vec![b'x'; TURN_BYTES]),
        };
        member.apply(vec![Record::Turn(turn)]).await;
    }
    member.sweep().await.unwrap();
    let (turns, _) = member.counts();
    assert!(member.dropped_turns() > 0);
    assert_eq!(member.dropped_turns() + turns as u64, TURNS);
    let (used, limit) = member.disk_usage();
    let least = turns as u64 * TURN_BYTES as u64;
    assert!((least..=limit).contains(&used), "{least} {used} {limit}");
}
