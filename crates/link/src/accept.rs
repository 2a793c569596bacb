//! Accepts connections until a listener closes, without resetting connections that callers have
//! already made.

use std::io;
use std::net;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

/// How long the listener waits after a failed accept, such as when no file descriptors are left, to
/// avoid a busy loop.
const FAILED_ACCEPT_DELAY: Duration = Duration::from_millis(50);
/// The most pending connections that a closing listener still accepts, so that a flood of them
/// can't keep it open. Equals the number that the kernel queues.
const BACKLOG: usize = 1_024;

/// What to do after a connection was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Accept the next one.
    Accept,
    /// Let others run first, so that they close theirs.
    Yield,
}

/// Passes each accepted connection to `on_connection` until `closed` is cancelled, then those that are
/// still pending.
pub async fn run(
    listener: TcpListener,
    closed: &CancellationToken,
    mut on_connection: impl FnMut(TcpStream) -> Next,
) {
    loop {
        let accepted = tokio::select! {
            biased;
            () = closed.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _from)) => match on_connection(stream) {
                Next::Accept => {}
                Next::Yield => tokio::task::yield_now().await,
            },
            Err(fault) => {
                log::warn!("accept failed: {fault}");
                tokio::time::sleep(FAILED_ACCEPT_DELAY).await;
            }
        }
    }
    let outcome = listener
        .into_std()
        .and_then(|listener| accept_pending(|| Ok(listener.accept()?.0), on_connection));
    if let Err(fault) = outcome {
        log::warn!("pending connections were lost: {fault}");
    }
}

/// Accepts all pending connections. Asks the kernel directly because the event loop may not yet
/// know of the latest ones. Skips a connection that can't be accepted (its caller has gone, or no
/// file descriptor is free for a moment), because closing the listener would reset those queued
/// behind it unread.
///
/// # Errors
///
/// Returns the last failure, after all other connections have been accepted.
fn accept_pending(
    mut accept: impl FnMut() -> io::Result<net::TcpStream>,
    mut on_connection: impl FnMut(TcpStream) -> Next,
) -> io::Result<()> {
    let mut outcome = Ok(());
    for _ in 0..BACKLOG {
        match accept().and_then(prepare) {
            Ok(stream) => {
                let _next = on_connection(stream);
            }
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
