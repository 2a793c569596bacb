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
