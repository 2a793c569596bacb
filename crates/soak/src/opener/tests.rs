use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;

use super::Openers;

#[test]
fn the_process_that_connected_is_found() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let stream = TcpStream::connect(to).unwrap();
    let from = stream.local_addr().unwrap();
    // Process 1 is a different process.
    let pids = [None, Some(1), Some(process::id())];
    let openers = Openers::default();
    let others = || pids[..2].to_vec();
    assert_eq!(openers.find(others, from, to).unwrap(), None);
    let all = || pids.to_vec();
    assert_eq!(openers.find(all, from, to).unwrap(), Some(2));
    let nobody = Vec::new;
    let again = openers.find(nobody, from, to).unwrap();
    assert_eq!(again, Some(2), "it is cached by now");
}

#[test]
fn a_connection_that_does_not_exist_has_no_opener() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let pids = || vec![Some(process::id())];
    let found = Openers::default().find(pids, nowhere, nowhere);
    assert_eq!(found.unwrap(), None);
}

/// A VM has given up a connection before its opener was looked up: no processes are scanned for it.
#[test]
fn nobody_holds_a_closed_socket() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let stream = TcpStream::connect(to).unwrap();
    let from = stream.local_addr().unwrap();
    let _open = listener.accept().unwrap();
    drop(stream);
    let search = || panic!("processes were scanned");
    assert_eq!(Openers::default().find(search, from, to).unwrap(), None);
}
