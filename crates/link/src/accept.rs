//! Accepts connections until a listener closes, without resetting one that a caller has already.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// How long the listener pauses after a failed accept (no file descriptors left, say), so that it
/// doesn't spin.
const PAUSE: Duration = Duration::from_millis(50);
/// The most connections that a closing listener still takes of those that wait to be accepted: a
/// flood of them can't keep it open. As many as the kernel lets wait.
const BACKLOG: usize = 1_024;

/// Passes each connection to `enter` until `shut` is cancelled, and then those that wait to be
/// accepted.
pub async fn run(
    listener: TcpListener,
    shut: &CancellationToken,
    mut enter: impl FnMut(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = shut.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _from)) => enter(stream),
            Err(fault) => {
                log::warn!("accept failed: {fault}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
    let taken = listener
        .into_std()
        .and_then(|listener| take_waiting(|| Ok(listener.accept()?.0), enter));
    if let Err(fault) = taken {
        log::warn!("connections that waited to be accepted are lost: {fault}");
    }
}

/// Takes the connections that wait to be accepted. The kernel is asked itself: the event loop may not
/// have heard of the last ones. One that can't be taken (its caller has gone, or no file descriptor is
/// left for a moment) is passed over: the listener's close would reset those behind it unread.
///
/// # Errors
///
/// Yields the last failure, once all others are taken.
fn take_waiting(
    mut accept: impl FnMut() -> io::Result<net::TcpStream>,
    mut enter: impl FnMut(TcpStream),
) -> io::Result<()> {
    let mut outcome = Ok(());
    for _ in 0..BACKLOG {
        match accept().and_then(prepare) {
            Ok(stream) => enter(stream),
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => break,
            Err(fault) => outcome = Err(fault),
        }
    }
    outcome
}

fn prepare(stream: net::TcpStream) -> io::Result<TcpStream> {
    stream.set_nonblocking(true)?;
    TcpStream::from_std(stream)
}

#[cfg(test)]
mod tests;
