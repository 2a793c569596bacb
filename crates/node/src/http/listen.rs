//! Listeners: accept connections, limit their number and the time they take to send headers, and
//! close without cutting a request off.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use link::accept;
use link::connection;
use link::ingress;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::clock::Millis;

use crate::core::Core;
use crate::http::Response;

/// The maximum length of a request's headers in bytes. Longer ones are refused with a result code.
pub const MAX_HEADERS: usize = 16 * 1024;
/// The size of hyper's buffer in bytes. Headers that don't fit end the connection.
const MAX_BUFFER: usize = 64 * 1024;
/// Which requests are admitted on a connection, by how many connections were open when the listener
/// accepted it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// All requests.
    Any,
    /// Only urgent work: the connection is one of those reserved for it.
    UrgentOnly,
    /// None: the limit is reached.
    None,
}

/// Counts and limits the connections of a listener.
#[derive(Debug)]
pub struct Connections {
    open: AtomicU32,
    total: u32,
    urgent: u32,
    receive: Millis,
}

impl Connections {
    /// Sets the limits: `total` connections, `urgent` of them reserved for urgent work. A request's
    /// headers must arrive within `receive`.
    #[must_use]
    pub fn new(total: u32, urgent: u32, receive: Millis) -> Self {
        Self {
            open: AtomicU32::new(0),
            total,
            urgent,
            receive,
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    fn admit(self: &Arc<Self>) -> (Slot, Admission) {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let admission = if before >= self.total {
            Admission::None
        } else if before >= self.total.saturating_sub(self.urgent) {
            Admission::UrgentOnly
        } else {
            Admission::Any
        };
        (Slot(self.clone()), admission)
    }
}

/// One of a listener's connections; dropping it releases the slot.
struct Slot(Arc<Connections>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Binds a listener.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// When a listener closes, and the tracker for its connections.
#[derive(Clone, Debug)]
pub struct Lifetime {
    /// Cancelled to close the listener, and each connection after its current response.
    pub end: CancellationToken,
    /// Tracks the connections' tasks.
    pub tasks: TaskTracker,
}

/// Accepts connections until `lifetime` ends, and answers each request with `handler`.
pub async fn run<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    lifetime: Lifetime,
    core: Arc<Core>,
    handler: H,
) where
    H: Fn(Arc<Core>, Request<Incoming>, Admission) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let accept = |stream| {
        let (slot, admission) = connections.admit();
        let end = lifetime.end.clone();
        let served = serve(stream, slot, admission, end, core.clone(), handler);
        lifetime.tasks.spawn(served);
        accept::Next::Accept
    };
    accept::run(listener, &lifetime.end, accept).await;
}

async fn serve<H, F>(
    stream: TcpStream,
    slot: Slot,
    admission: Admission,
    end: CancellationToken,
    core: Arc<Core>,
    handler: H,
) where
    H: Fn(Arc<Core>, Request<Incoming>, Admission) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _unsupported = stream.set_nodelay(true);
    let mut protocol = http1::Builder::new();
    protocol
        .timer(TokioTimer::new())
        .header_read_timeout(slot.0.receive.as_duration())
        .max_buf_size(MAX_BUFFER)
        // A connection reserved for urgent work isn't kept open between requests.
        .keep_alive(admission == Admission::Any);
    let answer = |request| {
        let answer = handler(core.clone(), request, admission);
        let core = core.clone();
        async move { close_if_stopping(&core, answer.await) }
    };
    // Errors of a connection concern its caller alone. The filters report what ran.
    let mut stream = ingress::Stream::new(stream);
    let _ended = connection::serve(&mut stream, &protocol, &end, answer).await;
}

/// Makes a stopping node close each connection after its response. If it closed the connection
/// later, when idle, the caller's next request could already be on its way and would be lost.
fn close_if_stopping(core: &Core, mut response: Response) -> Response {
    if core.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

#[cfg(test)]
mod tests;
