//! Reads of chains of turns from members that are slow or silent.

use std::future::pending;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Response;
use link::body::Body;
use link::body::Part;
use link::client::Client;
use link::client::Limits;
use link::listen;
use replica::client::Found;
use replica::client::Replicas;
use replica::inquiry::Inquiry;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Chain;
use replica::message::Link;
use replica::record::Key;
use rstest::rstest;
use tokio::sync::mpsc;
use tokio::time::sleep;

/// How a member answers.
#[derive(Clone, Copy)]
enum Manner {
    /// Begins at once and takes several times as long as a silent member is waited for.
    Slowly,
    /// Not at all.
    Never,
}

/// Starts a member that counts the requests in `asked`.
async fn member(centre: &str, manner: Manner, asked: &Arc<AtomicUsize>) -> Member {
    let listener = listen::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let listener = listener.unwrap();
    let address = listener.local_addr().unwrap();
    let asked = asked.clone();
    let answer = move |_request| {
        asked.fetch_add(1, Ordering::Relaxed);
        async move {
            if matches!(manner, Manner::Never) {
                pending::<()>().await;
            }
            let (parts, body) = mpsc::channel(4);
            tokio::spawn(send_slowly(parts));
            Response::new(Body::Parts(body))
        }
    };
    tokio::spawn(listen::run(listener, Arc::default(), answer));
    Member {
        vm: format!("store-{centre}-1"),
        centre: centre.to_owned(),
        address,
        disk: 1,
    }
}

async fn send_slowly(parts: mpsc::Sender<Part>) {
    let link = Link {
        key: Key(1),
        text: vec![b'x'; 1_000].into(),
    };
    let chain = Answer::Chain(Chain {
        turns: vec![link],
        next: None,
    });
    let bytes = rmp_serde::to_vec(&chain).unwrap();
    for half in bytes.chunks(bytes.len() / 2 + 1) {
        // Fails only if the reader has left.
        let _gone = parts.send(Part::Data(half.to_vec().into())).await;
        sleep(Duration::from_millis(200)).await;
    }
    let _gone = parts.send(Part::End).await;
}

/// Guards against a VM that is short of time and reads each history as often as there are members,
/// which takes several times the memory; and against a silent member that holds up a turn.
#[rstest]
#[case::slow(Manner::Slowly, 1)]
#[case::silent(Manner::Never, 2)]
#[tokio::test]
async fn a_chain_is_read_once(#[case] nearby: Manner, #[case] requests: usize) {
    let asked = Arc::default();
    let mut members = vec![member("a", nearby, &asked).await];
    for centre in ["b", "c"] {
        members.push(member(centre, Manner::Slowly, &asked).await);
    }
    let replicas = Replicas::new(
        Client::new(Limits {
            connect_timeout: Duration::from_secs(1),
            unacked_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(1),
            reuse_delay: Duration::ZERO,
            max_idle: 4,
            max_buffer: 64 * 1024,
            max_answer: u64::MAX,
        }),
        "a",
        1,
    );
    replicas.adopt(List {
        version: 1,
        members,
        before: Vec::new(),
        reset: None,
    });
    let found = replicas
        .chain(Key(1), &mut Inquiry::default(), |_| true)
        .await
        .unwrap();
    assert!(matches!(found, Found::Part(turns, None) if turns.len() == 1));
    assert_eq!(asked.load(Ordering::Relaxed), requests);
}
