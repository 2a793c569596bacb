use bytes::Bytes;
use http_body_util::Full;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use super::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n";

async fn hello(_request: Request<Incoming>) -> Response<Full<Bytes>> {
    Response::new(Full::new(Bytes::from_static(b"hello")))
}

/// A connection whose server leaves when told to.
struct Pair {
    caller: TcpStream,
    leaving: CancellationToken,
    served: JoinHandle<()>,
}

async fn pair() -> Pair {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let caller = TcpStream::connect(listener.local_addr().unwrap());
    let (caller, accepted) = tokio::join!(caller, listener.accept());
    let leaving = CancellationToken::new();
    let (stream, _from) = accepted.unwrap();
    let told = leaving.clone();
    let served = tokio::spawn(async move {
        let _ended = serve(stream, &http1::Builder::new(), &told, hello).await;
    });
    Pair {
        caller: caller.unwrap(),
        leaving,
        served,
    }
}

async fn rest(caller: &mut TcpStream) -> String {
    let mut answer = String::new();
    caller.read_to_string(&mut answer).await.unwrap();
    answer
}

/// A caller has just connected, and the listener closes before its request is there. Closed at once,
/// the connection ends without a word and the caller can't tell whether its request ran. It gets its
/// answer, whether it was served before the listener closed or not.
#[rstest]
#[case::made_before(true)]
#[case::made_after(false)]
#[tokio::test]
async fn the_first_request_of_a_new_connection_is_answered(#[case] served_before: bool) {
    let mut pair = pair().await;
    if served_before {
        tokio::task::yield_now().await;
    }
    pair.leaving.cancel();
    tokio::time::sleep(ON_THE_WAY * 2).await;
    pair.caller.write_all(REQUEST).await.unwrap();
    let answer = rest(&mut pair.caller).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.contains("connection: close"), "{answer:?}");
    pair.served.await.unwrap();
}

/// Callers keep connections open that bring nothing, or half a request. Waiting for the rest would
/// hold a stop up until the process is killed.
#[rstest]
#[case::nothing(b"")]
#[case::half_a_request(b"GET / HT")]
#[tokio::test]
async fn a_connection_without_a_request_ends(#[case] sent: &[u8]) {
    let mut pair = pair().await;
    pair.caller.write_all(sent).await.unwrap();
    pair.leaving.cancel();
    let ended = tokio::time::timeout(FIRST * 2, pair.served).await;
    ended.expect("still open").unwrap();
}

/// A kept connection is idle after an answer: it ends at once.
#[tokio::test]
async fn a_kept_connection_ends() {
    let mut pair = pair().await;
    pair.caller.write_all(REQUEST).await.unwrap();
    let mut first = [0; 16];
    pair.caller.read_exact(&mut first).await.unwrap();
    tokio::time::sleep(ON_THE_WAY).await;
    pair.leaving.cancel();
    let ended = tokio::time::timeout(FIRST / 2, pair.served).await;
    ended.expect("still open").unwrap();
}
