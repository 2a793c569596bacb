//! TCP socket options that decide how soon a dead connection is noticed.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// How long a connection is idle before it is probed. A partition, a VM without power and a dropped
/// flow all look like an idle connection: without probes an open watch would hang forever.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The time between two probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// How many unanswered probes end the connection.
const MAX_UNANSWERED_PROBES: u32 = 2;

/// Acknowledges what has been received at once. A peer with Nagle's algorithm holds back what it sends
/// behind that, a second answer for one, until it is acknowledged: with the next request at the latest, so
/// that it would arrive in place of that one's answer.
pub(crate) fn acknowledge(stream: &TcpStream) {
    if let Err(fault) = SockRef::from(stream).set_tcp_quickack(true) {
        log::debug!("acknowledging at once failed: {fault}");
    }
}

/// Turns off Nagle's algorithm, turns on keep-alive probes, and ends the connection if sent bytes
/// stay unacknowledged for `unacked_timeout`.
///
/// # Errors
///
/// Fails if the system rejects an option.
pub fn prepare(stream: &TcpStream, unacked_timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_INTERVAL)
        .with_retries(MAX_UNANSWERED_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(unacked_timeout))
}
