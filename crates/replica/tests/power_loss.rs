//! What members have answered for is there after a power loss.

mod support;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use replica::ledger::Account;
use replica::ledger::Entry;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Turn;
use replica::server;
use rstest::rstest;
use support::Disk;
use tokio::time::timeout;
use wire::clock::Clock;

/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;
/// After how many new segments a member writes all accounts again.
const SEGMENTS_BEFORE_REWRITE: usize = 8;
/// How long a member waits until it tries again to rewrite the accounts.
const REWRITE_RETRY_DELAY: Duration = Duration::from_millis(2_050);
/// How long an answer that has to wait for a blocked sync is waited for.
const BLOCKED: Duration = Duration::from_millis(200);

/// Starts a member on a disk, as after a restart of its process.
async fn start(disk: &Disk) -> Arc<server::Member> {
    let member = server::open_on(disk.medium(), DISK_BYTES, 7, Clock::System);
    member.await.unwrap()
}

fn list() -> List {
    List::default().with(&Member {
        vm: "store-a-1".to_owned(),
        centre: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk: 7,
    })
}

fn turn(id: &str) -> Record {
    Record::Turn(Turn {
        key: Key::of(id),
        previous: None,
        text: Bytes::from_static(b"some text"),
    })
}

async fn ask(member: &server::Member, body: Body) -> Answer {
    let version = member.identity().list.version;
    member.answer(Ask { version, body }).await
}

async fn write(member: &server::Member, id: &str) -> Answer {
    ask(member, Body::Apply(vec![turn(id)])).await
}

async fn holds(member: &server::Member, id: &str) -> bool {
    let answer = ask(member, Body::Fetch(vec![Key::of(id)])).await;
    answer
        == Answer::Turns(vec![match turn(id) {
            Record::Turn(turn) => turn,
            other => panic!("{other:?}"),
        }])
}

/// Guards against a copy that counts and isn't on disk: one that a killed process wrote and didn't sync,
/// which its successor finds and answers for when the write is repeated.
#[tokio::test]
async fn a_repeated_write_after_a_restart_survives_a_power_loss() {
    let disk = Disk::default();
    let member = start(&disk).await;
    disk.block();
    let first = tokio::spawn(async move { write(&member, "t1").await });
    disk.wait_for_blocked_sync().await;
    // The process is killed here: what it wrote stays, unsynced, and nobody hears from it.
    first.abort();
    let before_restart = disk.clone_unsynced();
    let restarted = start(&before_restart).await;
    assert!(holds(&restarted, "t1").await);
    assert_eq!(write(&restarted, "t1").await, Answer::Applied(Vec::new()));
    let after = start(&before_restart.after_power_loss()).await;
    assert!(holds(&after, "t1").await, "the turn is lost");
    disk.unblock();
}

/// Guards against a member that says that it uses a new list and, after a power loss, uses the old one
/// again.
#[rstest]
#[case::adopted_twice(Body::Adopt(list()))]
#[case::asked_for_its_keys(Body::Keys)]
#[tokio::test]
async fn a_member_answers_for_a_list_that_is_on_disk(#[case] body: Body) {
    let disk = Disk::default();
    let member = start(&disk).await;
    disk.block();
    let adopting = member.clone();
    let adopted = tokio::spawn(async move { ask(&adopting, Body::Adopt(list())).await });
    disk.wait_for_blocked_sync().await;
    let answer = timeout(BLOCKED, ask(&member, body.clone())).await;
    assert!(answer.is_err(), "answered before the sync: {answer:?}");
    disk.unblock();
    assert!(matches!(adopted.await.unwrap(), Answer::Status(_)));
    let answered = ask(&member, body).await;
    assert!(!matches!(answered, Answer::Failed(_)), "{answered:?}");
    let after = start(&disk.after_power_loss()).await;
    assert_eq!(after.identity().list, list());
}

/// Guards against a record that is answered for and lies behind a torn one, where no restart finds it.
#[tokio::test]
async fn a_write_after_a_failed_one_survives_a_restart() {
    let disk = Disk::default();
    let member = start(&disk).await;
    // All that comes while this write is synced is written together afterwards.
    disk.block();
    let mut writes = Vec::new();
    for id in ["t1", "t2", "t3"] {
        let member = member.clone();
        writes.push((id, tokio::spawn(async move { write(&member, id).await })));
        if id == "t1" {
            disk.wait_for_blocked_sync().await;
            disk.fail_append_after(0);
        } else {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }
    disk.unblock();
    let mut applied = Vec::new();
    for (id, written) in writes {
        if written.await.unwrap() == Answer::Applied(Vec::new()) {
            applied.push(id);
        }
    }
    for id in ["t2", "t3"] {
        if write(&member, id).await == Answer::Applied(Vec::new()) {
            applied.push(id);
        }
    }
    assert!(
        applied.contains(&"t2") && applied.contains(&"t3"),
        "{applied:?}"
    );
    let after = start(&disk.after_power_loss()).await;
    for id in applied {
        assert!(holds(&after, id).await, "{id} is lost");
    }
}

/// Guards against a list that is written once for each that asks for it, as each leaves before the end: on
/// a slow disk nobody is ever answered, and all writes of records wait behind.
#[tokio::test]
async fn a_list_is_written_once_although_those_that_ask_leave() {
    const ASKS: usize = 20;
    let disk = Disk::default();
    let member = start(&disk).await;
    disk.block();
    for _ in 0..ASKS {
        let adopted = ask(&member, Body::Adopt(list()));
        assert!(timeout(BLOCKED / 10, adopted).await.is_err());
    }
    let files_before = disk.created();
    disk.unblock();
    assert!(matches!(
        ask(&member, Body::Adopt(list())).await,
        Answer::Status(_)
    ));
    assert_eq!(write(&member, "t1").await, Answer::Applied(Vec::new()));
    assert_eq!(disk.created(), files_before, "the list was written again");
}

/// Guards against a member that says that it holds everything before that is on disk: after a power loss of
/// all, nobody would be a source for the list that came after it.
#[tokio::test]
async fn a_member_is_ready_once_that_is_on_disk() {
    let disk = Disk::default();
    let member = start(&disk).await;
    member.adopt(&list()).await.unwrap();
    disk.block();
    let setting = member.clone();
    let set = tokio::spawn(async move { setting.set_ready(1).await });
    disk.wait_for_blocked_sync().await;
    assert_eq!(member.status().ready, 0);
    disk.unblock();
    set.await.unwrap().unwrap();
    assert_eq!(member.status().ready, 1);
    let after = start(&disk.after_power_loss()).await;
    assert_eq!(after.status().ready, 1);
}

/// Guards against a record that is answered for under a list that isn't on disk, as the write of the list
/// waits for another one.
#[tokio::test]
async fn a_record_is_answered_for_after_its_list_is_on_disk() {
    let disk = Disk::default();
    let member = start(&disk).await;
    member.adopt(&list()).await.unwrap();
    disk.block();
    let setting = member.clone();
    let set = tokio::spawn(async move { setting.set_ready(1).await });
    disk.wait_for_blocked_sync().await;
    let next = list().with(&list().members[0]);
    let (adopting, newer) = (member.clone(), next.clone());
    let adopted = tokio::spawn(async move { adopting.adopt(&newer).await });
    while member.identity().list != next {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let (writing, losing) = (member.clone(), disk.clone());
    let written = tokio::spawn(async move {
        let answer = write(&writing, "t1").await;
        assert_eq!(answer, Answer::Applied(Vec::new()));
        losing.after_power_loss()
    });
    tokio::task::yield_now().await;
    disk.unblock();
    let after = start(&written.await.unwrap()).await;
    assert_eq!(after.identity().list, next);
    assert!(holds(&after, "t1").await);
    set.await.unwrap().unwrap();
    adopted.await.unwrap().unwrap();
}

/// Guards against accounts of other members that are known and not on disk, as their first write failed
/// and the second one found nothing to write.
#[tokio::test]
async fn accounts_that_are_merged_again_survive_a_power_loss() {
    let disk = Disk::default();
    let member = start(&disk).await;
    let account = Account {
        program: Key::of("p1"),
        entries: vec![Entry {
            turn: Key::of("t1"),
            most: 50,
            used: None,
        }],
    };
    disk.fail_append_after(0);
    let accounts = [account];
    member.merge_accounts(&accounts).await.unwrap_err();
    member.merge_accounts(&accounts).await.unwrap();
    let after = start(&disk.after_power_loss()).await;
    assert_eq!(after.counts(), (0, 1));
}

/// Guards against a record that is answered for and lies behind a hole, as an earlier sync of its segment
/// failed and dropped what was to be synced.
#[tokio::test]
async fn a_write_after_a_failed_sync_survives_a_power_loss() {
    let disk = Disk::default();
    let member = start(&disk).await;
    disk.fail_next_sync();
    let failed = write(&member, "t1").await;
    assert!(matches!(failed, Answer::Failed(_)), "{failed:?}");
    assert_eq!(write(&member, "t2").await, Answer::Applied(Vec::new()));
    let after = start(&disk.after_power_loss()).await;
    assert!(holds(&after, "t2").await, "the turn is lost");
}

/// Guards against accounts whose rewriting fails once and isn't tried again: they are lost with the oldest
/// segments, and a program may spend its budget a second time.
#[tokio::test]
async fn accounts_are_rewritten_again_after_a_failed_write() {
    let disk = Disk::default();
    let member = start(&disk).await;
    let reservation = Record::Reserve(Reservation {
        program: Key::of("p1"),
        turn: Key::of("t1"),
        most: 50,
    });
    let reserved = ask(&member, Body::Apply(vec![reservation])).await;
    assert!(matches!(reserved, Answer::Applied(_)), "{reserved:?}");
    // A new segment begins after each write, but maybe not yet when the last one is answered.
    for _ in 0..=SEGMENTS_BEFORE_REWRITE {
        disk.fail_next_sync();
        let failed = write(&member, "t1").await;
        assert!(matches!(failed, Answer::Failed(_)), "{failed:?}");
    }
    disk.fail_append_after(0);
    member.sweep().await.unwrap_err();
    let bytes_before = disk.bytes();
    // Each failed write takes a part of the disk, for which the oldest turns go.
    member.sweep().await.unwrap();
    assert_eq!(disk.bytes(), bytes_before, "tried again at once");
    tokio::time::sleep(REWRITE_RETRY_DELAY).await;
    member.sweep().await.unwrap();
    assert!(disk.bytes() > bytes_before, "nothing was written");
}

/// Guards against a full disk on which each write that fails leaves another file: the next start has to open
/// all of them, and they take the rest of the disk's files.
#[tokio::test]
async fn failed_writes_on_a_full_disk_leave_no_files() {
    const WRITES: usize = 50;
    let disk = Disk::default();
    let member = start(&disk).await;
    assert_eq!(write(&member, "t1").await, Answer::Applied(Vec::new()));
    disk.fill();
    let names = || disk.medium().names().unwrap().len();
    let names_before = names();
    for _ in 0..WRITES {
        let failed = write(&member, "t2").await;
        assert!(matches!(failed, Answer::Failed(_)), "{failed:?}");
    }
    // The next segment.
    assert!(names() <= names_before + 1, "{} files", names());
    disk.make_room();
    assert_eq!(write(&member, "t2").await, Answer::Applied(Vec::new()));
    let after = start(&disk.after_power_loss()).await;
    for id in ["t1", "t2"] {
        assert!(holds(&after, id).await, "{id} is lost");
    }
}

/// Guards against a reservation whose write failed, that is known in memory and therefore not written when
/// another member's accounts bring it: a program may spend its budget a second time.
#[tokio::test]
async fn a_merged_reservation_is_written_though_an_earlier_write_of_it_failed() {
    let disk = Disk::default();
    let member = start(&disk).await;
    let reservation = Reservation {
        program: Key::of("p1"),
        turn: Key::of("t1"),
        most: 50,
    };
    disk.fail_append_after(0);
    let failed = ask(&member, Body::Apply(vec![Record::Reserve(reservation)])).await;
    assert!(matches!(failed, Answer::Failed(_)), "{failed:?}");
    let account = Account {
        program: reservation.program,
        entries: vec![Entry {
            turn: reservation.turn,
            most: reservation.most,
            used: None,
        }],
    };
    member.merge_accounts(&[account]).await.unwrap();
    let after = start(&disk.after_power_loss()).await;
    assert_eq!(after.counts(), (0, 1));
}
