use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::process;

use super::find;

#[test]
fn the_process_that_connected_is_found() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let stream = TcpStream::connect(to).unwrap();
    let from = stream.local_addr().unwrap();
    // The first process of the machine is another one.
    let ids = [None, Some(1), Some(process::id())];
    assert_eq!(find(&ids, from, to).unwrap(), Some(2));
    assert_eq!(find(&ids[..2], from, to).unwrap(), None);
}

#[test]
fn nobody_has_opened_what_is_not_there() {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
    let ids = [Some(process::id())];
    assert_eq!(find(&ids, nowhere, nowhere).unwrap(), None);
}
