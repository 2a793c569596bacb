//! Connections in: accepted, served, and closed without cutting a request off.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;

use crate::body::Body;
use crate::socket;

/// How long the listener pauses after a failed accept (no file descriptors left, say), so that it
/// doesn't spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long bytes sent to a caller may go unacknowledged: longer than any partition that a caller
/// would outwait.
const SILENCE: Duration = Duration::from_secs(10);

/// How long a listener that closes waits for the event loop to tell of connections that are made
/// already.
const CLOSE: Duration = Duration::from_millis(20);
/// The most connections that wait to be accepted when it closes: what the kernel queues.
const BACKLOG: usize = 4_096;
/// How long a connection that was made while the process stops may take to send its request.
const LAST_CALL: Duration = Duration::from_secs(1);

/// A listener's state that its process looks at.
#[derive(Debug, Default)]
pub struct Door {
    open: AtomicUsize,
    /// Cancelled when the process stops: a connection that is made from now on gets one answer.
    pub closing: CancellationToken,
    /// Cancelled some time later: kept connections are closed after the answer under way. Closed at
    /// once, an idle one could meet its caller's next request, which would be lost.
    pub leaving: CancellationToken,
    /// Cancelled when nobody may connect any more: the listener is closed.
    pub shut: CancellationToken,
}

impl Door {
    /// Yields how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

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
pub async fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts connections until `door` is shut, and answers each request with `handler`. A
/// connection may be idle for `idle`.
pub async fn run<H, F>(listener: TcpListener, door: Arc<Door>, idle: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let enter = |stream| {
        door.open.fetch_add(1, Ordering::Relaxed);
        let pass = Pass(door.clone());
        tokio::spawn(connection(stream, pass, idle, handler.clone()));
    };
    let mut closed = std::pin::pin!(async {
        door.shut.cancelled().await;
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
            Err(fault) => {
                log::warn!("accept failed: {fault}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    // What the kernel has accepted already is taken: closing the listener resets it.
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

async fn connection<H, F>(stream: TcpStream, pass: Pass, idle: Duration, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(fault) = socket::prepare(&stream, SILENCE) {
        log::debug!("socket options of a caller: {fault}");
    }
    let asked = AtomicBool::new(false);
    let service = service_fn(|request| {
        asked.store(true, Ordering::Relaxed);
        let answer = handler(request);
        async { Ok::<_, Infallible>(answer.await) }
    });
    // One that comes while the process stops gets one answer: closing it unread would send its
    // caller away although there is time to serve it.
    let stopping = pass.0.closing.is_cancelled();
    let idle = if stopping { idle.min(LAST_CALL) } else { idle };
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .keep_alive(!stopping);
    let mut served = std::pin::pin!(builder.serve_connection(TokioIo::new(stream), service));
    let ended = tokio::select! {
        ended = served.as_mut() => ended,
        () = pass.0.leaving.cancelled(), if !stopping => {
            served.as_mut().graceful_shutdown();
            // Part of a request may be here, and the rest never come: that would hold the stop up.
            tokio::select! {
                ended = served.as_mut() => ended,
                () = never_asked(&asked) => return,
            }
        }
    };
    if let Err(fault) = ended {
        log::debug!("a caller's connection ended: {fault}");
    }
}

/// Ends where a connection has brought no request for [`LAST_CALL`].
async fn never_asked(asked: &AtomicBool) {
    tokio::time::sleep(LAST_CALL).await;
    if asked.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}
