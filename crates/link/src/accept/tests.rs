use super::*;

/// The listener closes while three connections are pending, and the first accept fails because a
/// caller has gone or no file descriptor is free for a moment. If the listener stopped accepting
/// there, the other connections would be reset with their requests unread.
#[tokio::test]
async fn a_failed_accept_loses_no_other_connection() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let _callers: Vec<_> = (0..3)
        .map(|_| net::TcpStream::connect(address).unwrap())
        .collect();
    listener.set_nonblocking(true).unwrap();
    let mut fails = true;
    let accept = || {
        if std::mem::take(&mut fails) {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(listener.accept()?.0)
    };
    let mut accepted = 0;
    let _last_failure = accept_pending(accept, |_stream| {
        accepted += 1;
        Next::Accept
    });
    assert_eq!(accepted, 3);
}

/// Every accept fails while the listener closes. The listener still has to close, so that its
/// process can exit.
#[tokio::test]
async fn permanently_failing_accepts_do_not_keep_the_listener_open() {
    let mut attempts = 0;
    let accept = || {
        attempts += 1;
        Err(io::Error::from_raw_os_error(24))
    };
    let _last_failure = accept_pending(accept, |_stream| Next::Accept);
    assert!(attempts <= BACKLOG);
}
