use bytes::Bytes;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use super::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n";

async fn hello(_request: Request<Incoming>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(b"hello")))
}

/// A connection to a server that drains when `draining` is cancelled.
struct Pair {
    caller: TcpStream,
    draining: CancellationToken,
    served: JoinHandle<()>,
}

async fn pair() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(caller, listener.accept());
    let draining = CancellationToken::new();
    let (stream, _from) = accepted.unwrap();
    let server_draining = draining.clone();
    let served = tokio::spawn(async move {
        let mut stream = Stream::new(stream);
        let protocol = http1::Builder::new();
        let _ended = serve(&mut stream, &protocol, &server_draining, hello).await;
    });
    Pair {
        caller: caller.unwrap(),
        draining,
        served,
    }
}

async fn read_rest(caller: &mut TcpStream) -> String {
    let mut response = String::new();
    caller.read_to_string(&mut response).await.unwrap();
    response
}

/// A caller has just connected, and the server drains before its request arrives. If the connection
/// were closed at once, the caller would get no response and couldn't tell whether its request ran.
/// The request is answered, whether or not the connection was being served before the drain began.
#[rstest]
#[case::made_before(true)]
#[case::made_after(false)]
#[tokio::test]
async fn the_first_request_of_a_new_connection_is_answered(#[case] served_before: bool) {
    let mut pair = pair().await;
    if served_before {
        tokio::task::yield_now().await;
    }
    pair.draining.cancel();
    tokio::time::sleep(IN_TRANSIT_TIMEOUT * 2).await;
    pair.caller.write_all(REQUEST).await.unwrap();
    let response = read_rest(&mut pair.caller).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
    pair.served.await.unwrap();
}

/// Callers hold connections open and send nothing, or half a request, on them. Waiting for the rest
/// would delay the shutdown until the process is killed.
#[rstest]
#[case::nothing(b"")]
#[case::half_a_request(b"GET / HT")]
#[tokio::test]
async fn a_connection_without_a_request_ends(#[case] sent: &[u8]) {
    let mut pair = pair().await;
    pair.caller.write_all(sent).await.unwrap();
    pair.draining.cancel();
    let ended = tokio::time::timeout(FIRST_REQUEST_TIMEOUT * 2, pair.served).await;
    ended.expect("still open").unwrap();
}

/// A keep-alive connection that is idle after a response is closed at once.
#[tokio::test]
async fn an_idle_keep_alive_connection_ends() {
    let mut pair = pair().await;
    pair.caller.write_all(REQUEST).await.unwrap();
    let mut first = [0; 16];
    pair.caller.read_exact(&mut first).await.unwrap();
    tokio::time::sleep(IN_TRANSIT_TIMEOUT).await;
    pair.draining.cancel();
    let ended = tokio::time::timeout(FIRST_REQUEST_TIMEOUT / 2, pair.served).await;
    ended.expect("still open").unwrap();
}
