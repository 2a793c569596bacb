//! Tests a client whose peers repeat a request's mark in the answer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Request;
use hyper::header::FROM;
use hyper::header::HeaderValue;
use link::body::Payload;
use link::client::Client;
use link::client::Fault;
use link::client::Limits;
use link::client::Marks;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const LONG: Duration = Duration::from_secs(20);
const LIMITS: Limits = Limits {
    connect_timeout: LONG,
    unacked_timeout: LONG,
    idle_timeout: LONG,
    reuse_delay: Duration::ZERO,
    max_idle: 4,
    max_buffer: 64 * 1024,
    max_answer: u64::MAX,
};
/// Longer than what the sockets of both ends take in.
const LONG_BODY_BYTES: usize = 32 * 1024 * 1024;

fn read(headers: &HeaderMap) -> Option<&[u8]> {
    headers.get(FROM).map(HeaderValue::as_bytes)
}

fn client() -> Arc<Client> {
    Client::with_marks(LIMITS, Marks::Repeated(read))
}

fn request(mark: Option<&str>, body: Vec<u8>) -> Request<Payload> {
    let mut request = Request::new(Payload::from(Bytes::from(body)));
    if let Some(mark) = mark {
        let value = mark.parse().expect("a header's value");
        request.headers_mut().insert(FROM, value);
    }
    request
}

/// Sends a request and returns the body of its answer.
async fn ask(
    client: &Arc<Client>,
    address: SocketAddr,
    mark: Option<&str>,
) -> Result<Bytes, Fault> {
    let reply = client.send(address, request(mark, Vec::new())).await?;
    reply.body.whole(100).await
}

fn answer(mark: Option<&str>, body: &str) -> String {
    let mark = mark.map_or_else(String::new, |mark| format!("from: {mark}\r\n"));
    let size = body.len();
    format!("HTTP/1.1 200 OK\r\n{mark}content-length: {size}\r\n\r\n{body}")
}

/// Reads a head; `None` at the end of the connection.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(head).expect("a text"))
}

/// Starts a peer that answers the request with mark `a` as itself, and others with `others`; all bodies
/// hold the number of the connection.
async fn start(others: fn(&str) -> String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 1.. {
            let (mut stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(async move {
                while let Some(head) = read_head(&mut stream).await {
                    let own = ["a", "b"]
                        .iter()
                        .find(|mark| head.contains(&format!("from: {mark}\r\n")));
                    let text = match own {
                        Some(&"b") => others(&number.to_string()),
                        own => answer(own.copied(), &number.to_string()),
                    };
                    // The client may have closed the connection.
                    let _written = stream.write_all(text.as_bytes()).await;
                }
            });
        }
    });
    address
}

fn ours(body: &str) -> String {
    answer(Some("b"), body)
}

/// Guards against an answer that is taken for ours by its place on a connection.
#[rstest]
#[case::of_an_earlier_request(|_: &str| answer(Some("a"), "stray"), Some("a"))]
#[case::of_no_request(|_: &str| answer(None, "stray"), None)]
#[case::several(|_: &str| answer(None, "stray") + &answer(Some("a"), "stray") + &ours("late"), None)]
#[case::behind_an_interim_one(
    |_: &str| format!("HTTP/1.1 103 Early Hints\r\nfrom: b\r\n\r\n{}", answer(None, "stray")),
    None
)]
#[tokio::test]
async fn an_answer_without_the_requests_mark_is_refused(
    #[case] stray: fn(&str) -> String,
    #[case] named: Option<&str>,
) {
    let (client, address) = (client(), start(stray).await);
    assert_eq!(ask(&client, address, Some("a")).await, Ok("1".into()));
    let refused = ask(&client, address, Some("b")).await;
    let Err(Fault::Foreign(foreign)) = refused else {
        panic!("{refused:?}");
    };
    assert_eq!(
        (foreign.mark.as_deref(), foreign.history.requests),
        (named, 2)
    );
    assert!(foreign.history.since_answer.is_some());
    assert_eq!(
        ask(&client, address, Some("a")).await,
        Ok("2".into()),
        "the connection is closed"
    );
}

/// Guards against a late second answer to an earlier attempt, or to a request without a mark, that can't be
/// told from the answer to the next one.
#[rstest]
#[case::other_marks(&[Some("a"), Some("b")], &["1", "1"])]
#[case::same_mark(&[Some("a"), Some("a"), Some("b")], &["1", "2", "2"])]
#[case::no_mark(&[None, None, Some("a")], &["1", "2", "2"])]
#[case::no_mark_later(&[Some("a"), None], &["1", "2"])]
#[tokio::test]
async fn a_connection_carries_a_request_whose_answer_can_be_told(
    #[case] marks: &[Option<&str>],
    #[case] connections: &[&str],
) {
    let (client, address) = (client(), start(ours).await);
    for (mark, connection) in marks.iter().zip(connections) {
        assert_eq!(
            ask(&client, address, *mark).await,
            Ok((*connection).to_owned().into())
        );
    }
}

/// Guards against a second answer that comes before a long request was sent whole.
#[rstest]
#[case::ours(Some("b"))]
#[case::of_an_earlier_request(Some("a"))]
#[case::of_no_request(None)]
#[tokio::test]
async fn an_early_answer_needs_the_requests_mark(#[case] mark: Option<&'static str>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        for mark in [Some("a"), mark] {
            read_head(&mut stream).await.expect("a request");
            let text = answer(mark, "early");
            stream.write_all(text.as_bytes()).await.expect("it is read");
        }
        // Keeps the connection, and the rest of the body unread.
        std::future::pending::<()>().await;
    });
    let client = client();
    assert_eq!(ask(&client, address, Some("a")).await, Ok("early".into()));
    let long = request(Some("b"), vec![b'x'; LONG_BODY_BYTES]);
    match client.send(address, long).await {
        Ok(reply) => {
            assert_eq!(mark, Some("b"));
            assert_eq!(reply.body.whole(100).await, Ok("early".into()));
        }
        Err(Fault::Foreign(foreign)) => assert_eq!(foreign.mark.as_deref(), mark),
        Err(fault) => panic!("{fault}"),
    }
}
