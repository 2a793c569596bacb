//! Readers and writers that go by an older list than the members.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use link::client::Client;
use link::client::Limits;
use link::listen;
use replica::client::Found;
use replica::client::Replicas;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Ask;
use replica::message::Body;
use replica::quorum::Verdict;
use replica::record::Key;
use replica::record::Record;
use replica::record::Reservation;
use replica::record::Turn;
use replica::server;
use wire::clock::Clock;

struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        // Left behind only where the test failed early.
        let _absent = std::fs::remove_dir_all(&self.0);
    }
}

fn replicas() -> Replicas {
    let http = Client::new(Limits {
        connect: Duration::from_secs(1),
        silence: Duration::from_secs(1),
        keep: Duration::from_secs(1),
        rest: Duration::ZERO,
        idle: 4,
    });
    Replicas::new(http, "a", 1)
}

/// Starts a member that goes by the second version of a list of itself.
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
    let handler = move |request| server::serve(shared.clone(), request);
    tokio::spawn(listen::run(
        listener,
        Arc::default(),
        Duration::from_secs(9),
        handler,
    ));
    let first = List::default().with(&own);
    let second = first.with(&own);
    member.adopt(&second).await.unwrap();
    member.set_ready(second.version).await.unwrap();
    (member, first, second)
}

/// A VM joins the list. A caller that goes on from a kept turn just then, at a VM that hasn't heard
/// of the change, is served as any other: the members tell the new list, and the VM asks again.
#[tokio::test]
async fn a_changed_list_costs_no_caller_its_turn() {
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
    let Found::Part(links, None) = reader.chain(key).await.unwrap() else {
        panic!("the turn isn't found");
    };
    assert_eq!(links[0].text, "one");

    let payer = replicas();
    payer.adopt(first);
    let fact = Reservation {
        program: Key::of("p1"),
        turn: key,
        most: 50,
    };
    assert_eq!(payer.reserve(fact, 60).await.unwrap(), Verdict::Fits);
    let next = Reservation {
        turn: Key::of("t2"),
        ..fact
    };
    assert_eq!(payer.reserve(next, 60).await.unwrap(), Verdict::Spent(50));
}

/// The list has just changed and the members compare what they hold. A caller that goes on from a
/// kept turn meanwhile waits some milliseconds instead of being refused.
#[tokio::test]
async fn members_that_still_learn_cost_no_caller_its_turn() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-l-{}", std::process::id())));
    let (member, _first, second) = member(&folder).await;
    let own = second.members[0].clone();
    let third = second.with(&own);
    member.adopt(&third).await.unwrap();
    let reader = replicas();
    reader.adopt(third.clone());
    let learnt = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(100)).await;
        member.set_ready(third.version).await.unwrap();
    });
    assert_eq!(reader.chain(Key::of("never")).await.unwrap(), Found::Absent);
    learnt.await.unwrap();
}

/// The list changes while a member syncs a turn that was sent under the old one. Members that learn
/// by the new list may have been told what it holds without the turn; if it counted all the same,
/// a caller with the turn's end would be told later that there is no such turn. The sender hears of
/// the new list instead and sends it again.
#[tokio::test]
async fn a_turn_that_is_synced_while_the_list_changes_is_sent_again() {
    let folder = Folder(std::env::temp_dir().join(format!("replica-r-{}", std::process::id())));
    let (member, _first, second) = member(&folder).await;
    let turn = Turn {
        key: Key::of("t1"),
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
        answer = &mut answer => panic!("nothing is synced yet: {answer:?}"),
        () = std::future::ready(()) => {}
    }
    let third = second.with(&second.members[0].clone());
    member.adopt(&third).await.unwrap();
    assert_eq!(answer.await, Answer::Newer(third));
}

/// The list has just changed and a member still learns. A caller that goes on from a turn which the
/// member has is served at once: a turn never changes, so only an absence can't be told yet.
#[tokio::test]
async fn a_turn_that_is_there_is_told_while_a_member_learns() {
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
    let told = member.answer(ask(third.version, Body::Chain(key))).await;
    let Answer::Chain(chain) = told else {
        panic!("{told:?}");
    };
    assert_eq!(chain.turns.len(), 1);
    let absent = ask(third.version, Body::Chain(Key::of("never")));
    assert_eq!(member.answer(absent).await, Answer::NotReady);
}
