//! Answers of services that break off, are joined, or aren't final.

use std::net::SocketAddr;

use bytes::Bytes;
use fakes::verbatim::Runner;
use fakes::verbatim::Step;
use node::dispatch::service;
use node::dispatch::service::End;
use node::http::client::Client;
use rstest::rstest;
use wire::ask::Call;
use wire::clock::Millis;
use wire::id;

const LENGTH: &str = "HTTP/1.1 200 OK\r\nkind: a\r\ncontent-length: 10\r\n\r\n0123456789";
const CHUNKS: &str = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n\
    4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n";
const NO_LENGTH: &str = "HTTP/1.1 200 OK\r\nkind: a\r\n\r\n0123456789";
const INTERIM: &str =
    "HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: x\r\n\r\n";

/// Makes a call of a service that answers in these steps.
async fn call(steps: Vec<Step>) -> End {
    let service = Runner::new(vec![steps]);
    let address = service.listen(SocketAddr::from(([127, 0, 0, 1], 0))).await;
    let call = Call {
        service: id::Service::parse("shore").unwrap(),
        operation: "switch".to_owned(),
        key: None,
        body: Bytes::from_static(b"{}"),
    };
    let job = service::Job {
        address: &address.to_string(),
        call: &call,
        attempt: id::Attempt(1),
        timeout: Millis::new(2_000),
    };
    service::run(&Client::of_endpoints(), job).await
}

fn write(text: &str) -> Step {
    Step::Write(text.to_owned())
}

fn is_open(end: &End) -> bool {
    matches!(end, End::Broken { .. } | End::Unknown { .. })
}

/// Guards against a part of a service's answer that counts as its answer.
#[rstest]
#[tokio::test]
async fn a_part_of_an_answer_is_none(
    #[values(LENGTH, CHUNKS)] answer: &str,
    #[values(Step::Close, Step::Reset)] end: Step,
) {
    for cut in 0..answer.len() {
        let got = call(vec![write(&answer[..cut]), end.clone()]).await;
        assert!(is_open(&got), "cut at {cut}: {got:?}");
    }
}

/// Guards against the status of one answer with the body of another.
#[tokio::test]
async fn two_answers_are_never_joined_in_a_head() {
    let head = LENGTH.find("\r\n\r\n").unwrap() + 4;
    for cut in 1..head {
        let got = call(vec![write(&LENGTH[..cut]), Step::Pause, write(CHUNKS)]).await;
        assert!(is_open(&got), "cut at {cut}: {got:?}");
    }
}

/// Guards against an interim answer that counts as the final one.
#[tokio::test]
async fn an_interim_answer_is_none() {
    let got = call(vec![write(INTERIM)]).await;
    assert!(is_open(&got), "{got:?}");
}

/// Guards against a part of an answer that is journaled as a call's answer, as its body ends with the connection.
#[rstest]
#[tokio::test]
async fn a_success_whose_end_is_not_stated_is_none(
    #[values(Step::Close, Step::Reset)] end: Step,
    #[values(Step::Pause, Step::EndSide)] before: Step,
) {
    for cut in 0..=NO_LENGTH.len() {
        let steps = vec![write(&NO_LENGTH[..cut]), before.clone(), end.clone()];
        let got = call(steps).await;
        assert!(is_open(&got), "cut at {cut}: {got:?}");
    }
}

/// Guards against a status that promises nothing and counts as that of an answer.
#[rstest]
#[tokio::test]
async fn an_undefined_status_is_none(
    #[values("000", "0", "20", "099", "600", "700", "999", "1000", "2OO", "+200")] status: &str,
) {
    let got = call(vec![write(&LENGTH.replacen("200", status, 1))]).await;
    assert!(is_open(&got), "{got:?}");
}
