//! A second answer that has arrived, but that the runtime had no time to notice.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::Sender;
use std::thread;
use std::time::Duration;

use hyper::Request;
use link::body::Payload;
use link::client::Client;
use link::client::Limits;

const LIMITS: Limits = Limits {
    connect_timeout: Duration::from_secs(1),
    unacked_timeout: Duration::from_secs(1),
    idle_timeout: Duration::from_secs(20),
    reuse_delay: Duration::ZERO,
    max_idle: 4,
    max_buffer: 16 * 1024,
    max_answer: 16 * 1024,
};
const ANSWERS: [&str; 2] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nfirst",
    "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nnext",
];

fn answer(stream: &mut TcpStream, answer: &str) {
    let read = stream.read(&mut [0; 1024]).expect("a request");
    assert!(read > 0);
    stream.write_all(answer.as_bytes()).expect("it is read");
}

/// Answers a request on each of two connections, and the first one again when it is told to.
fn start() -> (SocketAddr, Sender<()>, Receiver<()>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (go_on, told) = mpsc::channel();
    let (done, sent) = mpsc::channel();
    thread::spawn(move || {
        let (mut first, _) = listener.accept().expect("a connection");
        answer(&mut first, ANSWERS[0]);
        told.recv().expect("the client has read the answer");
        first.write_all(ANSWERS[0].as_bytes()).expect("it is open");
        done.send(()).expect("the client waits");
        let (mut next, _) = listener.accept().expect("a connection");
        answer(&mut next, ANSWERS[1]);
        // Keeps the connections open until the client has ended.
        let _ended = told.recv();
    });
    (address, go_on, sent)
}

/// Guards against a request that is sent behind a second answer that was there before, and is lost or gets
/// that answer.
#[tokio::test]
async fn a_request_is_not_sent_behind_unread_bytes() {
    let (address, go_on, sent) = start();
    let client = Client::new(LIMITS);
    let request = || Request::new(Payload::default());
    let reply = client.send(address, request()).await.unwrap();
    assert_eq!(reply.body.whole(10).await.unwrap(), "first");
    go_on.send(()).unwrap();
    // Holds up the runtime's only thread.
    sent.recv().unwrap();
    let reply = client.send(address, request()).await.unwrap();
    assert_eq!(reply.body.whole(10).await.unwrap(), "next");
    assert_eq!(client.unsolicited(), 1);
}
