//! Tests of more connections than a listener has room for, over sockets.

use std::net::TcpStream;
use std::sync::Arc;

use bytes::Bytes;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use link::body::Body;
use link::listen;
use link::listen::Connections;
use link::listen::Limits;
use policy::connections;
use tokio::task::yield_now;

/// How many connections the listener has room for.
const ROOM: usize = 8;
/// How many connections wait as it begins to accept.
const CROWD: usize = 60;
/// How many times other tasks run until all are accepted, at least.
const TURNS: usize = 1_000;

async fn hello(_request: Request<Incoming>) -> Response<Body> {
    Response::new(Body::whole(Bytes::from_static(b"hello")))
}

/// Guards against connections that stay open once they were let go, while those that take their place are
/// accepted: together they use up the process's descriptors.
#[tokio::test]
async fn connections_that_are_let_go_close_before_others_are_accepted() {
    let listener = listen::bind(([127, 0, 0, 1], 0).into()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(Connections::new(Limits {
        connections: connections::Limits {
            count: ROOM,
            ..Limits::default().connections
        },
        ..Limits::default()
    }));
    let connect = |_| TcpStream::connect(address).unwrap();
    let crowd: Vec<TcpStream> = (0..CROWD).map(connect).collect();
    tokio::spawn(listen::run(listener, connections.clone(), hello));
    let mut most = 0;
    for _ in 0..TURNS {
        yield_now().await;
        most = most.max(connections.open());
    }
    assert_eq!(connections.figures().let_go, (CROWD - ROOM) as u64);
    assert!(most <= ROOM + 1, "{most} connections were open");
    drop(crowd);
}
