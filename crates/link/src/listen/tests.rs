use bytes::Bytes;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;

use super::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n";

async fn hello(_request: Request<Incoming>) -> Response<Body> {
    Response::new(Body::whole(Bytes::from_static(b"hello")))
}

fn limits(head_bytes: usize) -> Limits {
    Limits {
        head_bytes,
        ..Limits::default()
    }
}

/// Starts a listener and connects to it.
async fn connect(head_bytes: usize) -> (Arc<Connections>, TcpStream) {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(Connections::new(limits(head_bytes)));
    tokio::spawn(run(listener, connections.clone(), hello));
    (connections, TcpStream::connect(address).await.unwrap())
}

async fn read(stream: &mut TcpStream) -> String {
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).await.unwrap();
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

/// Guards against a caller that stays on a connection whose decoder refuses heads which a later
/// configuration allows.
#[tokio::test]
async fn a_connection_made_under_a_smaller_limit_ends_with_its_next_answer() {
    let (connections, mut caller) = connect(8_192).await;
    caller.write_all(REQUEST).await.unwrap();
    assert!(!read(&mut caller).await.contains("connection: close"));
    connections.set_limits(limits(16_384));
    caller.write_all(REQUEST).await.unwrap();
    assert!(read(&mut caller).await.contains("connection: close"));
}

/// Guards against a refusal that is lost with a reset, as its caller still sends.
#[tokio::test]
async fn a_caller_that_sends_on_gets_the_refusal_of_its_head() {
    let (_connections, mut caller) = connect(8_192).await;
    let head = format!("GET / HTTP/1.1\r\na: {}\r\n\r\n", "x".repeat(300_000));
    caller.write_all(head.as_bytes()).await.unwrap();
    assert!(read(&mut caller).await.starts_with("HTTP/1.1 431"));
}

/// Guards against a head whose bytes are no request and that a pipelined one would follow.
#[tokio::test]
async fn nothing_behind_a_refused_head_is_served() {
    let (_connections, mut caller) = connect(8_192).await;
    caller.write_all(b"no request\r\n\r\n").await.unwrap();
    caller.write_all(REQUEST).await.unwrap();
    let mut answers = String::new();
    caller.read_to_string(&mut answers).await.unwrap();
    assert!(answers.starts_with("HTTP/1.1 400"), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1").count(), 1, "{answers}");
}
