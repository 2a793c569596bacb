//! Tests which connections are recorded as closed for bytes that no request asked for.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use link::body::Payload;
use link::client::Client;
use link::client::Limits;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::sleep;
use tokio::time::timeout;

const LONG: Duration = Duration::from_secs(20);
const LIMITS: Limits = Limits {
    connect_timeout: LONG,
    unacked_timeout: LONG,
    idle_timeout: LONG,
    reuse_delay: Duration::ZERO,
    max_idle: 4,
    max_buffer: 64 * 1024,
    max_answer: 1024,
};
const ANSWER: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Answers the first request with these pieces, of which the last is sent once the client has read the
/// others, and closes the connection.
async fn serve(pieces: &'static [&'static str]) -> (SocketAddr, tokio::sync::oneshot::Sender<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let (go_on, resumed) = tokio::sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut head = [0; 1024];
        let read = stream.read(&mut head).await.expect("a request");
        assert!(read > 0);
        let (last, first) = pieces.split_last().expect("a piece");
        for piece in first {
            stream
                .write_all(piece.as_bytes())
                .await
                .expect("it is read");
        }
        if !first.is_empty() {
            resumed.await.expect("the client goes on");
        }
        // The client may have closed the connection.
        let _written = stream.write_all(last.as_bytes()).await;
    });
    (address, go_on)
}

/// Guards against second answers that leave no trace, and against faults of other kinds that are taken for one.
#[rstest]
#[case::late(&[ANSWER, ANSWER], 1)]
#[case::late_garbage(&[ANSWER, "x"], 1)]
#[case::at_once(&["HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n"], 1)]
#[case::closed(&[ANSWER, ""], 0)]
#[case::no_answer(&[""], 0)]
#[case::no_http(&["garbage\r\n\r\n"], 0)]
#[case::cut_head(&["HTTP/1.1 200 OK\r\ncont"], 0)]
#[case::cut_body(&["HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nok"], 0)]
#[case::no_chunk(&["HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nzz\r\n"], 0)]
#[tokio::test]
async fn unsolicited_bytes_are_counted(
    #[case] pieces: &'static [&'static str],
    #[case] expected: u64,
) {
    let (address, go_on) = serve(pieces).await;
    let client = Client::new(LIMITS);
    let request = Request::new(Payload::from(Bytes::from_static(b"work")));
    if let Ok(reply) = client.send(address, request).await {
        let _read = reply.body.whole(100).await;
    }
    let _waiting = go_on.send(());
    let ended = async {
        while client.unsolicited() < expected {
            sleep(Duration::from_millis(1)).await;
        }
    };
    timeout(LONG, ended).await.expect("it is counted");
    // The record of a connection that ends in another way would come by then.
    sleep(Duration::from_millis(20)).await;
    let described = client.take_unsolicited();
    assert_eq!(
        (client.unsolicited(), described.len() as u64),
        (expected, expected)
    );
    assert!(
        described
            .iter()
            .all(|history| history.address == address && history.requests == 1)
    );
}
