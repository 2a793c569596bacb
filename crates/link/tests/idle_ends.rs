//! Tests of idle connections that end just as their caller sends the next request, over sockets.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body::Body;
use link::listen;
use link::listen::Connections;
use link::listen::Limits;
use policy::connections;
use rstest::rstest;
use wire::clock::Millis;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: vm\r\n\r\n";
/// How long a connection may be idle.
const IDLE_TIME: Duration = Duration::from_millis(200);
/// How long the process gets no processor time, in which the second request comes.
const STALL: Duration = Duration::from_millis(600);
/// How long that lasts when it comes.
const STALLED_TIME: Duration = Duration::from_millis(300);

/// What ends the idle connection.
#[derive(Clone, Copy, Debug)]
enum Cause {
    Drain,
    Expiry,
    /// Another one needs its place.
    Newcomer,
}

/// Returns a listener with room for one connection, which may be idle for [`IDLE_TIME`].
fn connections() -> Arc<Connections> {
    Arc::new(Connections::new(Limits {
        connections: connections::Limits {
            count: 1,
            idle_time: Millis::from(IDLE_TIME),
            ..Limits::default().connections
        },
        ..Limits::default()
    }))
}

/// Waits for the second answer of a caller, whichever it is.
async fn expect_answer(caller: JoinHandle<String>) {
    let answer = tokio::task::spawn_blocking(|| caller.join().unwrap());
    let answer = answer.await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 "), "{answer:?}");
}

async fn hello(_request: Request<Incoming>) -> Response<Body> {
    Response::new(Body::whole(Bytes::from_static(b"hello")))
}

/// Answers only after the connection's task has run once more.
async fn late_hello(request: Request<Incoming>) -> Response<Body> {
    tokio::time::sleep(Duration::from_millis(20)).await;
    hello(request).await
}

fn read_answer(stream: &mut TcpStream) -> String {
    let mut answer = [0; 4096];
    let count = stream.read(&mut answer).unwrap_or_default();
    String::from_utf8_lossy(&answer[..count]).into_owned()
}

/// Sends a request, and another one on the same connection in the stall. Returns the second answer.
fn call_twice(address: SocketAddr) -> JoinHandle<String> {
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).unwrap();
        stream.write_all(REQUEST).unwrap();
        assert!(read_answer(&mut stream).starts_with("HTTP/1.1 200"));
        thread::sleep(IDLE_TIME / 2 + STALLED_TIME);
        stream.write_all(REQUEST).unwrap();
        read_answer(&mut stream)
    })
}

/// Guards against a request that lies unread as its connection ends, and that nobody answers: its caller
/// can't tell whether it ran.
#[rstest]
#[case::drain(Cause::Drain)]
#[case::expiry(Cause::Expiry)]
#[case::newcomer(Cause::Newcomer)]
#[tokio::test]
async fn a_request_that_came_while_the_process_stood_still_is_answered(#[case] cause: Cause) {
    let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = connections();
    tokio::spawn(listen::run(listener, connections.clone(), hello));
    let caller = call_twice(address);
    tokio::time::sleep(IDLE_TIME / 2).await;
    assert_eq!(connections.open(), 1);
    thread::sleep(STALL);
    let _newcomer = match cause {
        Cause::Drain => {
            connections.draining.cancel();
            None
        }
        Cause::Expiry => {
            connections.expire();
            None
        }
        Cause::Newcomer => Some(tokio::net::TcpStream::connect(address).await.unwrap()),
    };
    expect_answer(caller).await;
}

/// Guards against a request that its connection reads before it learns that it has expired, and that nobody
/// answers.
#[tokio::test]
async fn a_request_whose_head_is_read_as_its_connection_expires_is_answered() {
    let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = connections();
    tokio::spawn(listen::run(listener, connections.clone(), late_hello));
    let caller = call_twice(address);
    tokio::time::sleep(IDLE_TIME / 2).await;
    thread::sleep(STALL);
    // The runtime learns of the request here, and wakes its connection, which runs after this task.
    tokio::task::yield_now().await;
    connections.expire();
    expect_answer(caller).await;
}
