//! Accepts and serves connections, and closes them without cutting off a request.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::accept;
use crate::body::Body;
use crate::connection;
use crate::socket;

/// How long bytes sent to a caller may go unacknowledged. This is longer than any partition that a
/// caller would wait out.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(10);

/// The connections of a listener, and the signals by which the process shuts it down.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicUsize,
    /// Cancelled when the process begins to stop. A connection that is made from then on gets one
    /// response.
    pub stopping: CancellationToken,
    /// Cancelled some time after `stopping`. Keep-alive connections are then closed after the
    /// response in progress. If they were closed as soon as the process stops, an idle one could be
    /// closed just as its caller sends the next request, which would be lost.
    pub draining: CancellationToken,
    /// Cancelled when no more connections are accepted, and the listener is closed.
    pub closed: CancellationToken,
}

impl Connections {
    /// Returns how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

/// Counts one connection as open until dropped.
struct OpenGuard(Arc<Connections>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until `connections.closed` is cancelled, and answers each request with
/// `handler`. A connection may be idle for `idle`.
pub async fn run<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    idle: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let spawn = |stream| {
        connections.open.fetch_add(1, Ordering::Relaxed);
        let guard = OpenGuard(connections.clone());
        tokio::spawn(connection(stream, guard, idle, handler.clone()));
    };
    accept::run(listener, &connections.closed, spawn).await;
}

async fn connection<H, F>(stream: TcpStream, guard: OpenGuard, idle: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(fault) = socket::prepare(&stream, UNACKED_TIMEOUT) {
        log::debug!("setting socket options for a caller failed: {fault}");
    }
    let connections = &guard.0;
    // A connection that arrives while the process stops gets one response. Closing it unread would
    // turn its caller away although there is time to serve it.
    let stopping = connections.stopping.is_cancelled();
    let idle = if stopping {
        idle.min(connection::FIRST_REQUEST_TIMEOUT)
    } else {
        idle
    };
    let mut protocol = http1::Builder::new();
    protocol
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .keep_alive(!stopping);
    if let Err(fault) = connection::serve(stream, &protocol, &connections.draining, handler).await {
        log::debug!("a caller's connection ended: {fault}");
    }
}
