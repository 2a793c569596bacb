//! Processes of two releases side by side: an answer that one of them doesn't know.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body::Body as ResponseBody;
use link::listen;
use replica::call;
use replica::client::Fault;
use replica::client::Replicas;
use replica::list::List;
use replica::list::Member;
use replica::message::Answer;
use replica::message::Body;
use replica::record::Key;
use serde::Deserialize;
use serde::Serialize;
use support::vm::client;

/// Answers of a release that knows only these.
#[derive(Debug, Deserialize)]
enum Earlier {
    NotReady,
    Failed(String),
}

/// Answers of a release that knows one more.
#[derive(Serialize)]
enum Later {
    AnotherAnswer(u64),
}

/// Returns the address of a VM that gives an answer of a later release.
async fn start_later() -> SocketAddr {
    let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let handler = |_: Request<Incoming>| async {
        let bytes = rmp_serde::to_vec(&Later::AnotherAnswer(7)).unwrap();
        Response::new(ResponseBody::whole(bytes))
    };
    tokio::spawn(listen::run(listener, Arc::default(), handler));
    address
}

/// Guards against an answer that an earlier release takes for another one.
#[test]
fn an_earlier_release_does_not_decode_the_answer_of_another_disk() {
    let decode = |answer: Answer| {
        let bytes = rmp_serde::to_vec(&answer).unwrap();
        rmp_serde::from_slice::<Earlier>(&bytes)
    };
    let known = decode(Answer::NotReady);
    assert!(matches!(known, Ok(Earlier::NotReady)), "{known:?}");
    let known = decode(Answer::Failed("disk".to_owned()));
    assert!(
        matches!(&known, Ok(Earlier::Failed(why)) if why == "disk"),
        "{known:?}"
    );
    let unknown = decode(Answer::OtherDisk(7));
    assert!(unknown.is_err(), "{unknown:?}");
}

/// Guards against a writer that counts an answer of a later release as a copy.
#[tokio::test]
async fn an_answer_that_is_not_known_counts_as_none() {
    let mut list = List::default();
    for (vm, disk) in [("a", 1), ("b", 2), ("c", 3)] {
        list = list.with(&Member {
            vm: vm.to_owned(),
            centre: vm.to_owned(),
            address: start_later().await,
            disk,
        });
    }
    let http = client();
    let first = list.members[0].address;
    let answer = call::ask(&http, first, list.version, Body::Status).await;
    assert_eq!(answer, None);
    let writer = Replicas::new(http, "a", 1);
    writer.adopt(list);
    let written = writer.apply(Key::of("t1"), Vec::new()).await;
    assert_eq!(written, Err(Fault::TooFew));
}
