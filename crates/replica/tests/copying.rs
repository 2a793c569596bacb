//! Which turns a member lists for others to copy, and in which order.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use replica::ledger::RETENTION;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::message::Holdings;
use replica::record::Key;
use replica::record::Record;
use replica::record::Turn;
use replica::server;
use rstest::rstest;
use support::Disk;
use wire::clock::Clock;

/// The size of a disk in bytes.
const DISK_BYTES: u64 = 500_000_000;
/// How many members may be lost at once: groups have three members.
const LOSSES: usize = 1;
const SECOND: u64 = 1_000;

/// A time that the test sets.
struct Time(Arc<AtomicU64>);

impl Time {
    fn start() -> Self {
        Self(Arc::new(AtomicU64::new(1_000_000)))
    }

    fn clock(&self) -> Clock {
        Clock::Manual(self.0.clone())
    }

    fn pass(&self, millis: u64) {
        self.0.fetch_add(millis, Ordering::SeqCst);
    }
}

/// Builds a list by adding one member after the other.
fn list(members: u64) -> List {
    let member = |disk: u64| Member {
        vm: format!("store-{disk}"),
        centre: "a".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        disk,
    };
    (1..=members).fold(List::default(), |list, disk| list.with(&member(disk)))
}

/// Starts a member that has caught up with a list of `members`.
async fn start(disk: &Disk, time: &Time, members: u64) -> Arc<server::Member> {
    let member = open(disk, time).await;
    let list = list(members);
    member.adopt(&list).await.unwrap();
    member.set_ready(list.version).await.unwrap();
    member
}

async fn open(disk: &Disk, time: &Time) -> Arc<server::Member> {
    let member = server::open_on(disk.medium(), DISK_BYTES, 1, time.clock()).await;
    let member = member.unwrap();
    member.set_losses(LOSSES);
    member
}

fn turn(id: &str, previous: Option<&str>) -> Turn {
    Turn {
        key: Key::of(id),
        previous: previous.map(Key::of),
        text: Bytes::copy_from_slice(id.as_bytes()),
    }
}

async fn ask(member: &server::Member, body: Body) -> Answer {
    let version = member.identity().list.version;
    member.answer(Ask { version, body }).await
}

async fn write(member: &server::Member, id: &str, previous: Option<&str>) {
    let records = vec![Record::Turn(turn(id, previous))];
    let answer = ask(member, Body::Apply(records)).await;
    assert_eq!(answer, Answer::Applied(Vec::new()));
}

async fn holdings(member: &server::Member) -> Holdings {
    match ask(member, Body::Keys).await {
        Answer::Keys(holdings) => holdings,
        other => panic!("{other:?}"),
    }
}

/// Returns the listed turns. Some may be listed several times in succession.
async fn listed(member: &server::Member) -> Vec<Key> {
    let mut turns = holdings(member).await.turns;
    turns.dedup();
    turns
}

fn keys<const N: usize>(ids: [&str; N]) -> Vec<Key> {
    ids.map(Key::of).to_vec()
}

/// Has `to` copy what `from` lists, and returns the turns that it copied.
async fn copy(from: &server::Member, to: &server::Member) -> Vec<Key> {
    let missing = to.missing(&holdings(from).await.turns);
    let Answer::Turns(turns) = ask(from, Body::Fetch(missing.clone())).await else {
        panic!("not fetched");
    };
    let records = turns.into_iter().map(Record::Turn).collect();
    assert_eq!(to.apply(records).await, Answer::Applied(Vec::new()));
    missing
}

/// Guards against a new member that isn't whole for as long as it copies turns that nobody may continue.
#[tokio::test]
async fn old_turns_are_not_listed() {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 3).await;
    write(&member, "old", None).await;
    time.pass(RETENTION.as_u64() - 1);
    write(&member, "recent", None).await;
    assert_eq!(listed(&member).await, keys(["recent", "old"]));
    time.pass(1);
    assert_eq!(listed(&member).await, keys(["recent"]));
}

/// Guards against a copy that begins with turns that are asked for last.
#[rstest]
#[case::spread_over_the_retention(20 * SECOND)]
#[case::at_the_same_time(0)]
#[tokio::test]
async fn the_newest_turns_are_copied_first(#[case] pause: u64) {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 3).await;
    let mut newest_first = Vec::new();
    for number in 0..12 {
        let id = format!("t{number}");
        write(&member, &id, None).await;
        newest_first.insert(0, Key::of(&id));
        time.pass(pause);
    }
    assert_eq!(listed(&member).await, newest_first);
    let new = start(&Disk::default(), &time, 3).await;
    assert_eq!(copy(&member, &new).await, newest_first);
}

/// Guards against a turn that isn't copied because the time when it was written is lost in a restart.
#[tokio::test]
async fn all_turns_are_listed_after_a_restart() {
    let time = Time::start();
    let disk = Disk::default();
    let member = start(&disk, &time, 3).await;
    write(&member, "t1", None).await;
    time.pass(RETENTION.as_u64() - 1);
    write(&member, "t2", None).await;
    drop(member);
    time.pass(SECOND);
    let restarted = open(&disk, &time).await;
    assert_eq!(listed(&restarted).await, keys(["t2", "t1"]));
    time.pass(RETENTION.as_u64());
    assert_eq!(listed(&restarted).await, []);
}

/// Guards against a recent turn that a new member can't answer for, as the old part of its chain isn't copied.
#[tokio::test]
async fn a_chain_is_listed_and_read_with_its_old_part() {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 3).await;
    write(&member, "t1", None).await;
    write(&member, "t2", Some("t1")).await;
    write(&member, "ended", Some("t1")).await;
    time.pass(2 * RETENTION.as_u64());
    write(&member, "t3", Some("t2")).await;
    assert_eq!(listed(&member).await, keys(["t3", "t2", "t1"]));
    let new = start(&Disk::default(), &time, 3).await;
    copy(&member, &new).await;
    for member in [&member, &new] {
        let Answer::Chain(chain) = ask(member, Body::Chain(Key::of("t3"))).await else {
            panic!("no chain");
        };
        let read: Vec<Key> = chain.turns.iter().map(|link| link.key).collect();
        assert_eq!((read, chain.next), (keys(["t3", "t2", "t1"]), None));
    }
    time.pass(RETENTION.as_u64());
    assert_eq!(listed(&new).await, []);
    let Answer::Chain(chain) = ask(&member, Body::Chain(Key::of("ended"))).await else {
        panic!("no chain");
    };
    assert_eq!(chain.turns.len(), 2);
}

/// Guards against an old turn that isn't copied, though a recent one continues it that this member doesn't hold.
#[rstest]
#[case::members_hold_a_part_of_the_keys(4, 0)]
#[case::the_list_before_had_more_members(3, 1)]
#[case::the_member_has_not_caught_up(3, 2)]
#[tokio::test]
async fn all_turns_are_listed_where_chains_may_be_spread(
    #[case] members: u64,
    #[case] list_changes: u64,
) {
    let time = Time::start();
    let member = start(&Disk::default(), &time, members + list_changes.min(1)).await;
    write(&member, "old", None).await;
    time.pass(RETENTION.as_u64());
    write(&member, "recent", None).await;
    let mut next = member.identity().list;
    for _ in 0..list_changes {
        let last = next.members.last().unwrap().vm.clone();
        next = next.without(&last);
    }
    member.adopt(&next).await.unwrap();
    assert_eq!(listed(&member).await, keys(["recent", "old"]));
}

/// Guards against a turn that isn't copied because the one in the chain between it and a recent one is missing here.
#[tokio::test]
async fn all_turns_are_listed_if_a_chain_is_not_whole() {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 3).await;
    write(&member, "t1", None).await;
    time.pass(RETENTION.as_u64());
    write(&member, "t3", Some("t2")).await;
    assert_eq!(listed(&member).await, keys(["t3", "t1"]));
}

/// Guards against a turn that is copied for ever, as each copy of a copy counts as new.
#[tokio::test]
async fn copies_of_copies_do_not_stay_recent() {
    let time = Time::start();
    let mut member = start(&Disk::default(), &time, 3).await;
    write(&member, "t1", None).await;
    // Each member copies from the one before, more often than a turn takes to become old.
    for _ in 0..RETENTION.as_u64() / (30 * SECOND) {
        let new = start(&Disk::default(), &time, 3).await;
        copy(&member, &new).await;
        member = new;
        time.pass(30 * SECOND);
    }
    assert_eq!(listed(&member).await, []);
}

/// Guards against a turn that isn't copied for as long as it may be continued, as copies of copies count as older.
#[tokio::test]
async fn copies_of_copies_are_listed_while_a_turn_is_owed() {
    let time = Time::start();
    let mut member = start(&Disk::default(), &time, 3).await;
    write(&member, "t1", None).await;
    for _ in 0..6 {
        time.pass(10 * SECOND);
        let new = start(&Disk::default(), &time, 3).await;
        copy(&member, &new).await;
        member = new;
    }
    assert_eq!(listed(&member).await, keys(["t1"]));
}

/// Guards against a turn that counts as old because it was written a second time.
#[tokio::test]
async fn a_turn_that_is_written_again_counts_as_new() {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 3).await;
    write(&member, "t1", None).await;
    time.pass(RETENTION.as_u64());
    write(&member, "t1", None).await;
    assert_eq!(listed(&member).await, keys(["t1"]));
}

/// Guards against a member that copies what it has just gained in no order, and without the old part of a chain
/// whose recent turns others hold.
#[tokio::test]
async fn gained_turns_are_listed_newest_first_with_old_ones() {
    let time = Time::start();
    let member = start(&Disk::default(), &time, 4).await;
    let mut newest_first = Vec::new();
    for number in 0..40 {
        let id = format!("t{number}");
        write(&member, &id, None).await;
        newest_first.insert(0, Key::of(&id));
        time.pass(20 * SECOND);
    }
    member.adopt(&list(5)).await.unwrap();
    let vm = "store-5".to_owned();
    let losses = LOSSES;
    let Answer::Keys(mut gained) = ask(&member, Body::Gained { vm, losses }).await else {
        panic!("no keys");
    };
    let is_gained = |key: &Key| {
        let list = list(5);
        let mut group = list.group(*key, LOSSES).into_iter();
        group.any(|member| member.vm == "store-5")
    };
    newest_first.retain(is_gained);
    assert!(newest_first.len() > 5);
    let new = start(&Disk::default(), &time, 4).await;
    assert_eq!(new.missing(&gained.turns), newest_first);
    gained.turns.dedup();
    assert_eq!(gained.turns, newest_first);
}
