//! Accepts and serves connections, and closes them without cutting off a request.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper_util::rt::TokioTimer;
use policy::connections;
use policy::connections::Id;
use policy::connections::Table;
use policy::connections::Verdict;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use wire::clock::Clock;
use wire::clock::Millis;

use crate::accept;
use crate::accept::Next;
use crate::body::Body;
use crate::connection;
use crate::ingress;
use crate::ingress::Connection;
use crate::ingress::Guarded;
use crate::ingress::Meaning;
use crate::ingress::eviction::Cause;
use crate::ingress::eviction::Eviction;
use crate::socket;

/// How long bytes sent to a caller may go unacknowledged. This is longer than any partition that a
/// caller would wait out.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a request may take that came just before its connection's time was up.
const LAST_ANSWER_TIMEOUT: Duration = Duration::from_secs(1);

/// The most connections, and the most bytes that they may hold, of a listener without limits of its own.
const DEFAULT_CONNECTIONS: usize = 4_096;
const DEFAULT_BYTES: u64 = 256 * 1024 * 1024;
/// How long a head may take, and a connection wait, at a listener without limits of its own.
const DEFAULT_TIME: Millis = Millis::new(60_000);
/// The largest head that a listener takes at all, in bytes, and that of one without limits of its own.
const MAX_HEAD_BYTES: usize = 256 * 1024;
const DEFAULT_HEAD_BYTES: usize = 64 * 1024;
/// What a head may have beyond the stated limit: callers may not count empty lines or the request line.
const HEAD_SLACK_BYTES: usize = 1024;
/// The shortest header field in bytes: a name, a colon and the end of the line.
const MIN_FIELD_BYTES: usize = 4;

/// What the callers of a listener may send and hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The limits of its connections.
    pub connections: connections::Limits,
    /// The largest head in bytes.
    pub head_bytes: usize,
    /// How many fields it may have.
    pub fields: Fields,
    /// What it means that a caller ends its half of a connection, unless the request's handler says it.
    pub half_close: Meaning,
}

/// How many fields a head may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fields {
    /// As many as the decoder takes without memory of its own: a hundred.
    Usual,
    /// As many as fit the head. The decoder reserves the memory for them with each request.
    Any,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: connections::Limits {
                count: DEFAULT_CONNECTIONS,
                bytes: DEFAULT_BYTES,
                head_time: DEFAULT_TIME,
                idle_time: DEFAULT_TIME,
            },
            head_bytes: DEFAULT_HEAD_BYTES,
            fields: Fields::Usual,
            half_close: Meaning::Leaves,
        }
    }
}

/// What became of the connections of a listener.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// How many were let go for others.
    pub let_go: u64,
    /// How many were ended as their time was up.
    pub expired: u64,
    /// How many were turned away without room.
    pub turned_away: u64,
}

/// The connections of a listener, and the signals by which the process shuts it down.
#[derive(Debug)]
pub struct Connections {
    open: AtomicUsize,
    state: Mutex<State>,
    head_bytes: AtomicUsize,
    fields: Fields,
    half_close: Meaning,
    clock: Clock,
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

#[derive(Debug)]
struct State {
    table: Table,
    /// Ends each connection; sorted by id, because ids only grow.
    evictions: Vec<(Id, Arc<Eviction>)>,
    figures: Figures,
}

impl State {
    /// Ends the connections that the table has let go. Returns how many.
    fn end_connections(&mut self, cause: Cause) -> u64 {
        let ended = self.table.take_ended();
        for id in &ended {
            if let Some(eviction) = self.take_eviction(*id) {
                // Each connection is let go once.
                let _earlier = eviction.set(cause);
            }
        }
        ended.len() as u64
    }

    fn take_eviction(&mut self, id: Id) -> Option<Arc<Eviction>> {
        let found = self
            .evictions
            .binary_search_by_key(&id, |(known, _)| *known);
        Some(self.evictions.remove(found.ok()?).1)
    }
}

impl Default for Connections {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Connections {
    /// Creates a listener without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Self {
        let state = State {
            table: Table::new(limits.connections),
            evictions: Vec::new(),
            figures: Figures::default(),
        };
        Self {
            open: AtomicUsize::new(0),
            state: Mutex::new(state),
            head_bytes: AtomicUsize::new(head_limit(limits.head_bytes)),
            fields: limits.fields,
            half_close: limits.half_close,
            clock: Clock::System,
            stopping: CancellationToken::new(),
            draining: CancellationToken::new(),
            closed: CancellationToken::new(),
        }
    }

    /// Sets the limits, also for the connections that are open; but for how many fields heads may have, and
    /// for what the end of a caller's half means.
    pub fn set_limits(&self, limits: Limits) {
        let head_bytes = head_limit(limits.head_bytes);
        self.head_bytes.store(head_bytes, Ordering::Relaxed);
        self.lock().table.set_limits(limits.connections);
    }

    /// Returns how many connections are open.
    #[must_use]
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Returns what became of the connections so far.
    #[must_use]
    pub fn figures(&self) -> Figures {
        self.lock().figures
    }

    /// Ends the connections whose time is up.
    pub fn expire(&self) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.table.expire(now);
        state.figures.expired += state.end_connections(Cause::Time);
    }

    /// Returns the largest head in bytes.
    pub(crate) fn head_bytes(&self) -> usize {
        self.head_bytes.load(Ordering::Relaxed)
    }

    /// Returns what the end of a caller's half means until a request's handler says it.
    pub(crate) const fn half_close(&self) -> Meaning {
        self.half_close
    }

    /// Returns whether connections were turned away within `span`.
    pub(crate) fn is_crowded(&self, span: Duration) -> bool {
        let full_at = self.lock().table.full_at();
        full_at.is_some_and(|at| self.clock.now().since(at) < Millis::from(span))
    }

    pub(crate) fn note_head(&self, id: Id, bytes: u64) {
        let now = self.clock.now();
        self.change(|table| table.note_head(id, bytes, now));
    }

    pub(crate) fn begin_request(&self, id: Id, bytes: u64, fields: u64) -> Verdict {
        let now = self.clock.now();
        self.change(|table| table.begin_request(id, bytes, fields, now))
    }

    pub(crate) fn end_request(&self, id: Id) {
        let now = self.clock.now();
        self.change(|table| table.end_request(id, now));
    }

    pub(crate) fn note_blocked(&self, id: Id) {
        let now = self.clock.now();
        self.change(|table| table.note_blocked(id, now));
    }

    pub(crate) fn note_unblocked(&self, id: Id) {
        let now = self.clock.now();
        self.change(|table| table.note_unblocked(id, now));
    }

    pub(crate) fn close(&self, id: Id) {
        self.open.fetch_sub(1, Ordering::Relaxed);
        let mut state = self.lock();
        state.table.close(id);
        let _closed = state.take_eviction(id);
    }

    /// Takes up a connection; `None` if there is no room for it.
    fn admit(self: &Arc<Self>) -> Option<Arc<Connection>> {
        let now = self.clock.now();
        let mut state = self.lock();
        let id = state.table.open(now);
        state.figures.let_go += state.end_connections(Cause::Room);
        let Some(id) = id else {
            state.figures.turned_away += 1;
            return None;
        };
        let eviction = Arc::new(Eviction::default());
        state.evictions.push((id, eviction.clone()));
        self.open.fetch_add(1, Ordering::Relaxed);
        Some(Connection::new(self.clone(), id, eviction))
    }

    /// Returns whether connections that were let go have to close before the next one is accepted.
    fn next_step(&self) -> Next {
        let count = self.lock().table.limits().count;
        if self.open() > count {
            return Next::Yield;
        }
        Next::Accept
    }

    fn change<T>(&self, change: impl FnOnce(&mut Table) -> T) -> T {
        let mut state = self.lock();
        let outcome = change(&mut state.table);
        state.figures.let_go += state.end_connections(Cause::Room);
        outcome
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the bytes that a head may have where `stated` are allowed.
fn head_limit(stated: usize) -> usize {
    stated.saturating_add(HEAD_SLACK_BYTES).min(MAX_HEAD_BYTES)
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
/// `handler`.
pub async fn run<H, F>(listener: TcpListener, connections: Arc<Connections>, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let spawn = |stream| {
        let Some(connection) = connections.admit() else {
            return Next::Accept;
        };
        let served = serve(stream, connections.clone(), connection, handler.clone());
        tokio::spawn(served);
        connections.next_step()
    };
    accept::run(listener, &connections.closed, spawn).await;
}

async fn serve<H, F>(
    stream: TcpStream,
    connections: Arc<Connections>,
    connection: Arc<Connection>,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    if let Err(fault) = socket::prepare(&stream, UNACKED_TIMEOUT) {
        log::debug!("setting socket options for a caller failed: {fault}");
    }
    // A connection that arrives while the process stops gets one response. Closing it unread would
    // turn its caller away although there is time to serve it.
    let is_stopping = connections.stopping.is_cancelled();
    let head_bytes = connection.head_bytes;
    let mut protocol = http1::Builder::new();
    protocol
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes + ingress::HEAD_READ_BYTES)
        .keep_alive(!is_stopping);
    if connections.fields == Fields::Any {
        protocol.max_headers(head_bytes / MIN_FIELD_BYTES);
    }
    if is_stopping {
        protocol
            .timer(TokioTimer::new())
            .header_read_timeout(connection::FIRST_REQUEST_TIMEOUT);
    }
    let tracked = connection.clone();
    let respond = move |mut request| {
        let guard = tracked.begin(&mut request);
        // Boxed, as each future that awaits another one by value has room for it twice.
        let response = Box::pin(handler(request));
        let tracked = tracked.clone();
        async move {
            let mut response = response.await;
            if tracked.ends_with_request() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            response.map(|body| Guarded {
                body,
                _guard: guard,
            })
        }
    };
    let mut stream = ingress::Stream::tracked(stream, connection.clone());
    let served = connection::serve(&mut stream, &protocol, &connections.draining, respond);
    let outcome = tokio::select! {
        biased;
        outcome = served => outcome,
        () = connection.let_go(LAST_ANSWER_TIMEOUT) => return,
    };
    if let Err(fault) = outcome {
        log::debug!("a caller's connection ended: {fault}");
        if fault.is_parse() {
            tokio::select! {
                biased;
                _ = connection.eviction.wait() => {}
                () = stream.linger() => {}
            }
        }
    }
}

#[cfg(test)]
mod tests;
