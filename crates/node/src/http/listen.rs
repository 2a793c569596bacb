//! Listeners: accept connections, keep their number and pace within limits, and close without
//! cutting a request off.

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
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use wire::clock::Millis;

use crate::core::Core;
use crate::http::Response;

/// Headers over this many bytes are refused with a code.
pub const MAX_HEADERS: usize = 16 * 1024;
/// Headers over this many bytes end the connection: what hyper buffers at most.
const MAX_BUFFER: usize = 64 * 1024;
/// How much room a listener had when it accepted a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// Room for all.
    Free,
    /// Only the room kept for urgent work is left.
    UrgentOnly,
    /// No room at all.
    Full,
}

/// Counts the connections of a listener.
#[derive(Debug)]
pub struct Connections {
    open: AtomicU32,
    total: u32,
    urgent: u32,
    receive: Millis,
}

impl Connections {
    /// Makes the connections of a listener that takes `total` connections, `urgent` of them kept for
    /// urgent work, and waits `receive` for a request's headers.
    #[must_use]
    pub fn new(total: u32, urgent: u32, receive: Millis) -> Self {
        Self {
            open: AtomicU32::new(0),
            total,
            urgent,
            receive,
        }
    }

    /// Yields how many connections are open.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    fn enter(self: &Arc<Self>) -> (Pass, Room) {
        let before = self.open.fetch_add(1, Ordering::Relaxed);
        let room = if before >= self.total {
            Room::Full
        } else if before >= self.total.saturating_sub(self.urgent) {
            Room::UrgentOnly
        } else {
            Room::Free
        };
        (Pass(self.clone()), room)
    }
}

/// A place among a listener's connections, given back when dropped.
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
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// How long a listener is open, and who counts its connections.
#[derive(Clone, Debug)]
pub struct Life {
    /// Set when the listener closes, and each connection with its last answer.
    pub end: CancellationToken,
    /// Counts the connections.
    pub tasks: TaskTracker,
}

/// Accepts connections until the end of the listener's life, and answers each request with
/// `handler`.
pub async fn run<H, F>(
    listener: TcpListener,
    connections: Arc<Connections>,
    life: Life,
    core: Arc<Core>,
    handler: H,
) where
    H: Fn(Arc<Core>, Request<Incoming>, Room) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let enter = |stream| {
        let (pass, room) = connections.enter();
        let end = life.end.clone();
        let served = serve(stream, pass, room, end, core.clone(), handler);
        life.tasks.spawn(served);
    };
    accept::run(listener, &life.end, enter).await;
}

async fn serve<H, F>(
    stream: TcpStream,
    pass: Pass,
    room: Room,
    end: CancellationToken,
    core: Arc<Core>,
    handler: H,
) where
    H: Fn(Arc<Core>, Request<Incoming>, Room) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let _unsupported = stream.set_nodelay(true);
    let mut protocol = http1::Builder::new();
    protocol
        .timer(TokioTimer::new())
        .header_read_timeout(pass.0.receive.as_duration())
        .max_buf_size(MAX_BUFFER)
        // A connection in the room kept for urgent work isn't kept open between requests.
        .keep_alive(room == Room::Free);
    let answer = |request| {
        let answer = handler(core.clone(), request, room);
        let core = core.clone();
        async move { last(&core, answer.await) }
    };
    // A connection that breaks is its caller's loss; what ran of it is told by the filters.
    let _ended = connection::serve(stream, &protocol, &end, answer).await;
}

/// Has a node that stops end each connection with its answer. Closed later, when idle, it could meet
/// the caller's next request, which would be lost with it.
fn last(core: &Core, mut response: Response) -> Response {
    if core.stopping.is_cancelled() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

#[cfg(test)]
mod tests;
