//! Listeners: accept connections, keep their number and pace within limits, and close without
//! cutting a request off.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
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
/// How long the listener pauses after a failed accept (no file descriptors left, say), so that it
/// doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The most connections that a closing listener still takes of those that wait to be accepted: a
/// flood of them can't keep it open. As many as the kernel lets wait.
const BACKLOG: u32 = 1_024;
/// How long a listener that closes still accepts: the kernel's news of a connection that it has made
/// may not have come yet, and closed before, the listener would reset it. Many turns of the event
/// loop.
const CLOSE: Duration = Duration::from_millis(20);
/// How long a connection without a request is kept when the listener closes: a first request that
/// was sent before may still be on its way.
const FIRST: Duration = Duration::from_millis(100);

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
pub struct Door {
    open: AtomicU32,
    total: u32,
    urgent: u32,
    receive: Millis,
}

impl Door {
    /// Makes the door of a listener that takes `total` connections, `urgent` of them kept for
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
struct Pass(Arc<Door>);

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
/// `handler`. What waits to be accepted by then is taken, too, as its callers have their connections
/// already.
pub async fn run<H, F>(
    listener: TcpListener,
    door: Arc<Door>,
    life: Life,
    core: Arc<Core>,
    handler: H,
) where
    H: Fn(Arc<Core>, Request<Incoming>, Room) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response> + Send + 'static,
{
    let enter = |stream| {
        let (pass, room) = door.enter();
        let end = life.end.clone();
        let served = connection(stream, pass, room, end, core.clone(), handler);
        life.tasks.spawn(served);
    };
    let mut closed = std::pin::pin!(async {
        life.end.cancelled().await;
        tokio::time::sleep(CLOSE).await;
    });
    loop {
        let accepted = tokio::select! {
            biased;
            () = closed.as_mut() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _from)) => enter(stream),
            Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
        }
    }
    for _ in 0..BACKLOG {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = std::future::ready(()) => return,
        };
        let Ok((stream, _from)) = accepted else {
            return;
        };
        enter(stream);
    }
}

async fn connection<H, F>(
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
    let asked = AtomicBool::new(false);
    let service = service_fn(|request| {
        asked.store(true, Ordering::Relaxed);
        let answer = handler(core.clone(), request, room);
        let core = core.clone();
        async move { Ok::<_, Infallible>(last(&core, answer.await)) }
    });
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(pass.0.receive.as_duration())
        .max_buf_size(MAX_BUFFER)
        // A connection in the room kept for urgent work isn't kept open between requests.
        .keep_alive(room == Room::Free);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        biased;
        _ended = served.as_mut() => return,
        () = end.cancelled() => served.as_mut().graceful_shutdown(),
    }
    // Hyper closes a connection that is idle after an answer, and takes one that never had a request
    // for busy: each such one would hold the shutdown up until the time for headers is over.
    let ended = tokio::time::timeout(FIRST, served.as_mut()).await;
    if ended.is_err() && asked.load(Ordering::Relaxed) {
        let _ended = served.await;
    }
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
