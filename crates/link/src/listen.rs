//! Connections in: accepted, served, and closed without cutting a request off.

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

/// How long bytes sent to a caller may go unacknowledged: longer than any partition that a caller
/// would outwait.
const SILENCE: Duration = Duration::from_secs(10);

/// A listener's state that its process looks at.
#[derive(Debug, Default)]
pub struct Connections {
    open: AtomicUsize,
    /// Cancelled when the process stops: a connection that is made from now on gets one answer.
    pub stopping: CancellationToken,
    /// Cancelled some time later: kept connections are closed after the answer under way. Closed at
    /// once, an idle one could meet its caller's next request, which would be lost.
    pub draining: CancellationToken,
    /// Cancelled when nobody may connect any more: the listener is closed.
    pub closed: CancellationToken,
}

impl Connections {
    /// Yields how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

struct Pass(Arc<Connections>);

impl Drop for Pass {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails where the address can't be bound.
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until `connections` is shut, and answers each request with `handler`. A
/// connection may be idle for `idle`.
pub async fn run<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    idle: Duration,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let enter = |stream| {
        connections.open.fetch_add(1, Ordering::Relaxed);
        let pass = Pass(connections.clone());
        tokio::spawn(connection(stream, pass, idle, handler.clone()));
    };
    accept::run(listener, &connections.closed, enter).await;
}

async fn connection<H, F>(stream: TcpStream, pass: Pass, idle: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(fault) = socket::prepare(&stream, SILENCE) {
        log::debug!("socket options of a caller: {fault}");
    }
    let connections = &pass.0;
    // One that comes while the process stops gets one answer: closing it unread would send its
    // caller away although there is time to serve it.
    let stopping = connections.stopping.is_cancelled();
    let idle = if stopping {
        idle.min(connection::FIRST)
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
