//! Options of TCP sockets: how soon a silent connection is noticed.

use std::io;
use std::time::Duration;

use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;

/// After this much silence a connection is probed. A partition, a VM without power and a dropped
/// flow all look like an idle connection; without probes an open watch would hang for good.
const PROBE_AFTER: Duration = Duration::from_secs(1);
/// The pause between two probes.
const PROBE_PAUSE: Duration = Duration::from_secs(1);
/// How many probes go unanswered before the connection ends.
const PROBES: u32 = 2;

/// Sets a connection up: no delay of small packets, and an end after `silence` without an
/// acknowledgement of what was sent.
///
/// # Errors
///
/// Fails where the system refuses an option.
pub fn prepare(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_PAUSE)
        .with_retries(PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(silence))
}
