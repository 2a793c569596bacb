use super::*;

/// The listener closes while three callers wait to be accepted, and the first accept fails, as a caller has
/// gone or no file descriptor is left for a moment. Were the others left where they are, they would be
/// reset with their requests unread. They are taken all the same.
#[tokio::test]
async fn a_failed_accept_loses_nobody_else() {
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
    let mut taken = 0;
    let _noted = take_waiting(accept, |_stream| taken += 1);
    assert_eq!(taken, 3);
}

/// Accepts fail for good while the listener closes. Its process has to end all the same.
#[tokio::test]
async fn accepts_that_fail_for_good_hold_no_listener_open() {
    let mut asked = 0;
    let accept = || {
        asked += 1;
        Err(io::Error::from_raw_os_error(24))
    };
    let _noted = take_waiting(accept, |_stream| {});
    assert!(asked <= BACKLOG);
}
