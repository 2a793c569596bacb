//! Requests made under an older list than the members use, or while members catch up.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use link::client::Client;
use link::client::Limits;
use link::intake::Intake;
use link::listen;
use replica::client::Found;
use replica::client::Replicas;
use replica::inquiry::Inquiry;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Settlement;
use replica::record::Turn;
use replica::server;
use wire::clock::Clock;

/// The most bytes of requests that a member reads at once.
const MAX_BYTES: usize = 32 * 1024 * 1024;
/// Writes that are tried until one is still being synced when the list changes. The disk's thread may
/// be done with one at once.
const MAX_ATTEMPTS: u32 = 100;

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // The folder is absent only if the test failed before creating it.
        let _absent = std::fs::remove_dir_all(&self.0);
    }
}

fn replicas() -> Replicas {
    let http = Client::new(Limits {
        connect_timeout: Duration::from_secs(1),
        unacked_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
        reuse_delay: Duration::ZERO,
        max_idle: 4,
        max_buffer: 64 * 1024,
        max_answer: u64::MAX,
    });
    Replicas::new(http, "a", 1)
}

/// Starts a member that uses the second version of a list that contains only itself.
async fn member(folder: &Folder) -> (Arc<server::Member>, List, List) {
    let member = server::open(&folder.0, 500_000_000, 7, Clock::System)
        .await
        .unwrap();
    let listener = listen::bind(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let own = Member {
        vm: "store-a-1".to_owned(),
        centre: "a".to_owned(),
        address: listener.local_addr().unwrap(),
        disk: 7,
    };
    let shared = member.clone();
    let intake = Intake::new(MAX_BYTES);
    let handler = move |request| server::serve(shared.clone(), intake.clone(), request);
    tokio::spawn(listen::run(listener, Arc::default(), handler));
    let first = List::default().with(&own);
    let second = first.with(&own);
    member.adopt(&second).await.unwrap();
    member.set_ready(second.version).await.unwrap();
    (member, first, second)
}

/// A VM joins the list while a caller continues a stored turn at a VM that hasn't heard of the
/// change. The caller is served as usual: the members return the new list, and the VM sends the
/// request again.
#[tokio::test]
async fn requests_under_an_old_list_are_sent_again() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-{}", std::process::id())));
    let (_member, first, second) = member(&folder).await;
    let writer = replicas();
    writer.adopt(second);
    let key = Key::of("t1");
    let turn = Turn {
        key,
        previous: None,
        text: Bytes::from_static(b"one"),
    };
    writer.apply(key, vec![Record::Turn(turn)]).await.unwrap();

    let reader = replicas();
    reader.adopt(first.clone());
    let Found::Part(links, None) = reader
        .chain(key, &mut Inquiry::default(), |_| true)
        .await
        .unwrap()
    else {
        panic!("the turn wasn't found");
    };
    assert_eq!(links[0].text, "one");

    let reserver = replicas();
    reserver.adopt(first);
    let reservation = Reservation {
        program: Key::of("p1"),
        turn: key,
        most: 50,
    };
    assert_eq!(
        reserver.reserve(reservation, None, 60).await.unwrap(),
        Verdict::Fits
    );
    let next = Reservation {
        turn: Key::of("t2"),
        ..reservation
    };
    assert_eq!(
        reserver.reserve(next, None, 60).await.unwrap(),
        Verdict::Spent(50)
    );
}

/// The list has just changed and the members compare what they hold. A caller that continues a
/// stored turn in the meantime waits some milliseconds instead of being refused.
#[tokio::test]
async fn a_read_waits_for_members_that_catch_up() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-l-{}", std::process::id())));
    let (member, _first, second) = member(&folder).await;
    let own = second.members[0].clone();
    let third = second.with(&own);
    member.adopt(&third).await.unwrap();
    let reader = replicas();
    reader.adopt(third.clone());
    let caught_up = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        member.set_ready(third.version).await.unwrap();
    });
    assert_eq!(
        reader
            .chain(Key::of("never"), &mut Inquiry::default(), |_| true)
            .await
            .unwrap(),
        Found::Absent
    );
    caught_up.await.unwrap();
}

/// The list changes while a member syncs a turn that was sent under the old list. Members that
/// catch up with the new list may already have been told what this member holds, without the turn.
/// If the write counted anyway, a caller that has the turn's answer would later be told that there
/// is no such turn. So the sender gets the new list and sends the turn again.
#[tokio::test]
async fn a_write_synced_during_a_list_change_is_answered_with_the_new_list() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-r-{}", std::process::id())));
    let (member, _first, second) = member(&folder).await;
    for attempt in 0..MAX_ATTEMPTS {
        let turn = Turn {
            key: Key::of(&format!("t{attempt}")),
            previous: None,
            text: Bytes::from_static(b"one"),
        };
        let ask = Ask {
            version: second.version,
            body: Body::Apply(vec![Record::Turn(turn)]),
        };
        let mut answer = Box::pin(member.answer(ask));
        tokio::select! {
            biased;
            // The disk's thread was done before this thread went on: no list changed meanwhile.
            answer = &mut answer => {
                assert_eq!(answer, Answer::Applied(Vec::new()));
                continue;
            }
            () = std::future::ready(()) => {}
        }
        let third = second.with(&second.members[0].clone());
        member.adopt(&third).await.unwrap();
        assert_eq!(answer.await, Answer::Newer(third));
        return;
    }
    panic!("each write was synced before the list could change");
}

/// The list has just changed and a member is still catching up. A turn that the member holds is
/// returned at once: a turn never changes, so only an absence can't be told yet.
#[tokio::test]
async fn a_stored_turn_is_returned_while_a_member_catches_up() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-t-{}", std::process::id())));
    let (member, _first, second) = member(&folder).await;
    let key = Key::of("t1");
    let turn = Turn {
        key,
        previous: None,
        text: Bytes::from_static(b"one"),
    };
    let ask = |version, body| Ask { version, body };
    let written = member.answer(ask(second.version, Body::Apply(vec![Record::Turn(turn)])));
    assert_eq!(written.await, Answer::Applied(Vec::new()));
    let third = second.with(&second.members[0].clone());
    member.adopt(&third).await.unwrap();
    let answer = member.answer(ask(third.version, Body::Chain(key))).await;
    let Answer::Chain(chain) = answer else {
        panic!("{answer:?}");
    };
    assert_eq!(chain.turns.len(), 1);
    let absent = ask(third.version, Body::Chain(Key::of("never")));
    assert_eq!(member.answer(absent).await, Answer::NotReady);
}

/// Starts a member of a list of seven, of which each holds a part, with accounts of `keys` programs.
async fn member_with_accounts(folder: &Folder, keys: u32) -> (Arc<server::Member>, List) {
    let member = server::open(&folder.0, 500_000_000, 7, Clock::System);
    let member = member.await.unwrap();
    let mut list = List::default();
    for number in 0..7 {
        list = list.with(&Member {
            vm: format!("store-{number}"),
            centre: format!("centre-{}", number % 3),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            disk: number,
        });
    }
    member.adopt(&list).await.unwrap();
    apply_accounts(&member, keys).await;
    (member, list)
}

async fn apply_accounts(member: &server::Member, keys: u32) {
    let records = (0..keys).map(|number| {
        Record::Settle(Settlement {
            program: Key::of(&format!("p{number}")),
            turn: Key::of("t"),
            used: 1,
        })
    });
    let version = member.identity().list.version;
    let body = Body::Apply(records.collect());
    let written = member.answer(Ask { version, body }).await;
    assert!(matches!(written, Answer::Applied(_)), "{written:?}");
}

async fn ask_gained(member: &server::Member, version: u64) -> Answer {
    let body = Body::Gained {
        vm: "store-6".to_owned(),
        losses: 1,
    };
    member.answer(Ask { version, body }).await
}

/// Guards against members that never become complete replicas, as a slow one computes what they gained
/// anew for each that asks, and each has left before the end.
#[tokio::test]
async fn a_slow_member_tells_what_others_gained_although_they_leave() {
    const KEYS: u32 = 20_000;
    const ASKS: usize = 1_000;
    let folder = Folder(std::env::temp_dir().join(format!("replica-g-{}", std::process::id())));
    let (member, list) = member_with_accounts(&folder, KEYS).await;
    for _ in 0..ASKS {
        // Each asks for a fraction of the time that the answer takes.
        let asked = ask_gained(&member, list.version);
        let answer = tokio::time::timeout(Duration::from_millis(2), asked).await;
        if let Ok(Answer::Keys(holdings)) = answer {
            assert!(!holdings.accounts.is_empty());
            return;
        }
    }
    panic!("nobody was answered");
}

/// Guards against a member that says that it has caught up, and what it held before it had: one that learns
/// from it misses the rest, and tells readers that there is no such turn.
#[tokio::test]
async fn a_member_that_has_caught_up_tells_all_that_it_holds() {
    const KEYS: u32 = 200;
    let folder = Folder(std::env::temp_dir().join(format!("replica-u-{}", std::process::id())));
    let (member, list) = member_with_accounts(&folder, 0).await;
    let Answer::Keys(before) = ask_gained(&member, list.version).await else {
        panic!("no keys");
    };
    assert_eq!((before.ready, before.accounts.len()), (0, 0));
    apply_accounts(&member, KEYS).await;
    member.set_ready(list.version).await.unwrap();
    let Answer::Keys(after) = ask_gained(&member, list.version).await else {
        panic!("no keys");
    };
    assert_eq!(after.ready, list.version);
    assert!(!after.accounts.is_empty(), "nothing is told");
}
