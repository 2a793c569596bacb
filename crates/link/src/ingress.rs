//! Bounds what callers send: reads little at a time, counts what each connection holds before its request is
//! known, and ends those that `policy::connections` lets go.

pub(crate) mod eviction;
mod half_close;

use std::error::Error;
use std::fmt;
use std::io;
use std::io::IoSlice;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::task::ready;
use std::time::Duration;

use hyper::Request;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use policy::connections::Id;
use policy::connections::Verdict;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::Sleep;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::connection::UNREAD_TIMEOUT;
use crate::ending::Ending;
use crate::ingress::eviction::Cause;
use crate::ingress::eviction::Eviction;
use crate::ingress::half_close::HalfClose;
pub use crate::ingress::half_close::Meaning;
use crate::listen::Connections;

/// The most bytes of a head that are read at once, and before other tasks get the thread. The decoder's
/// buffer grows to twice the bytes that it gets at once.
pub(crate) const HEAD_READ_BYTES: usize = 8 * 1024;
/// The most bytes of a body that are read at once.
const BODY_READ_BYTES: usize = 16 * 1024;
/// The most bytes of a body that are read before other tasks get the thread.
const BODY_TURN_BYTES: usize = 32 * 1024;
/// The bytes that a body may bring beyond its data: chunk framing, and requests behind it.
const FRAMING_BYTES: u64 = 64 * 1024;
/// The bytes of framing that a byte of data may bring. A chunk of one byte has five, or some more with
/// leading zeros.
const FRAMING_FACTOR: u64 = 16;
/// The most bytes that are read and thrown away behind a refused head, and how long.
const LINGER_BYTES: usize = 512 * 1024;
const LINGER_TIME: Duration = Duration::from_secs(1);

/// How often it is checked whether a caller that has ended its half has reset the connection since.
const RESET_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long a request may be undecided once its caller has ended its half; then the caller has left.
const UNDECIDED_TIME: Duration = Duration::from_millis(200);

/// How often it is checked whether the last request of a connection that was let go is answered.
const ANSWERED_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A body has brought too many bytes that are no data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Exceeded;

impl fmt::Display for Exceeded {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str("the caller sent more bytes than its request may have")
    }
}

impl Error for Exceeded {}

/// A connection of a listener, shared by its stream and its requests.
#[derive(Debug)]
pub struct Connection {
    owner: Arc<Connections>,
    id: Id,
    /// Set when the connection has to end.
    pub(crate) eviction: Arc<Eviction>,
    /// The largest head that its decoder takes, in bytes.
    pub(crate) head_bytes: usize,
    in_request: AtomicBool,
    /// Whether an answer waits for its reader.
    is_blocked: AtomicBool,
    /// The bytes that have come since the last request began or ended.
    came: AtomicU64,
    /// How many of them may come while a request is under way.
    bound: AtomicU64,
    /// What ended it.
    ending: OnceLock<Ending>,
    half_close: HalfClose,
}

impl Connection {
    pub(crate) fn new(owner: Arc<Connections>, id: Id, eviction: Arc<Eviction>) -> Arc<Self> {
        Arc::new(Self {
            head_bytes: owner.head_bytes(),
            owner,
            id,
            eviction,
            in_request: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            came: AtomicU64::new(0),
            bound: AtomicU64::new(u64::MAX),
            ending: OnceLock::new(),
            half_close: HalfClose::new(),
        })
    }

    /// Notes a complete head, and gives its request a [`Meter`]. The request ends when the returned guard is
    /// dropped.
    pub(crate) fn begin<B: Body>(self: &Arc<Self>, request: &mut Request<B>) -> RequestGuard {
        let bytes = self.came.swap(0, Ordering::Relaxed);
        let bound = match request.body().size_hint().exact() {
            Some(length) => length.saturating_add(FRAMING_BYTES),
            None => u64::MAX,
        };
        self.bound.store(bound, Ordering::Relaxed);
        self.half_close.decide(self.owner.half_close());
        self.in_request.store(true, Ordering::Relaxed);
        let fields = request.headers().len() as u64;
        let verdict = self.owner.begin_request(self.id, bytes, fields);
        request.extensions_mut().insert(Meter {
            connection: self.clone(),
            verdict,
        });
        RequestGuard(self.clone())
    }

    /// Returns whether it ends with the answer to its request: its decoder takes smaller heads than the
    /// listener does now, its caller has ended its half, or the listener has let it go.
    pub(crate) fn ends_with_request(&self) -> bool {
        let is_outdated = self.head_bytes < self.owner.head_bytes();
        is_outdated || self.is_half_closed() || self.eviction.initialized()
    }

    /// Completes when the listener has let the connection go. If that is as its time is up, it was idle, and a
    /// request that came just before is waited for; at most for `limit`.
    pub(crate) async fn let_go(&self, limit: Duration) {
        if *self.eviction.wait().await == Cause::Time {
            let answered = async {
                sleep(UNREAD_TIMEOUT).await;
                while self.in_request.load(Ordering::Relaxed) {
                    sleep(ANSWERED_POLL_INTERVAL).await;
                }
            };
            let _over = timeout(limit, answered).await;
        }
        self.note_ending(Ending::LetGo);
    }

    /// Returns whether its caller has ended its half.
    pub(crate) fn is_half_closed(&self) -> bool {
        self.half_close.is_seen()
    }

    /// Notes what ends the connection; what comes after the first ending is a consequence of it.
    pub(crate) fn note_ending(&self, ending: Ending) {
        self.ending.get_or_init(|| ending);
    }

    /// Notes bytes that have come.
    fn note_read(&self, bytes: usize) -> Result<(), Exceeded> {
        let came = self.came.fetch_add(bytes as u64, Ordering::Relaxed) + bytes as u64;
        if self.in_request.load(Ordering::Relaxed) {
            let is_over = came > self.bound.load(Ordering::Relaxed);
            return if is_over { Err(Exceeded) } else { Ok(()) };
        }
        // The last read may hold the beginning of a body.
        if came > (self.owner.head_bytes() + HEAD_READ_BYTES) as u64 {
            return Err(Exceeded);
        }
        self.owner.note_head(self.id, came);
        Ok(())
    }

    fn note_write<T>(&self, written: &Poll<io::Result<T>>) {
        if let Poll::Ready(Err(_)) = written {
            self.note_ending(Ending::Reset);
        }
        let is_blocked = written.is_pending();
        if self.is_blocked.swap(is_blocked, Ordering::Relaxed) == is_blocked {
            return;
        }
        if is_blocked {
            self.owner.note_blocked(self.id);
        } else {
            self.owner.note_unblocked(self.id);
        }
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.owner.close(self.id);
    }
}

/// Ends the request of a connection when dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<Connection>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        let connection = &self.0;
        connection.came.store(0, Ordering::Relaxed);
        connection.in_request.store(false, Ordering::Relaxed);
        connection.owner.end_request(connection.id);
        connection.half_close.decide(Meaning::Leaves);
    }
}

/// A request's view of its connection.
#[derive(Clone, Debug)]
pub struct Meter {
    connection: Arc<Connection>,
    verdict: Verdict,
}

impl Meter {
    /// Returns whether the listener has room for the request's head.
    #[must_use]
    pub const fn verdict(&self) -> Verdict {
        self.verdict
    }

    /// Returns whether the listener has turned connections away within `span`.
    #[must_use]
    pub fn is_crowded(&self, span: Duration) -> bool {
        self.connection.owner.is_crowded(span)
    }

    /// Says what it means for the request that its caller ends its half of the connection.
    pub fn decide(&self, meaning: Meaning) {
        self.connection.half_close.decide(meaning);
    }

    /// Returns whether the caller has ended its half of the connection.
    #[must_use]
    pub fn is_half_closed(&self) -> bool {
        self.connection.is_half_closed()
    }

    /// Returns what ended the connection; `None` while it is open.
    #[must_use]
    pub fn ending(&self) -> Option<Ending> {
        self.connection.ending.get().copied()
    }

    fn grant(&self, bytes: u64) {
        let bound = &self.connection.bound;
        let more = bytes.saturating_mul(FRAMING_FACTOR);
        let granted = bound.load(Ordering::Relaxed).saturating_add(more);
        bound.store(granted, Ordering::Relaxed);
    }
}

/// The body of a request that may bring only as much framing as fits its data.
#[derive(Debug)]
pub struct Metered<B> {
    body: B,
    meter: Option<Meter>,
}

impl<B: Body> Metered<B> {
    /// Bounds the framing of `body`, if it comes with a meter.
    #[must_use]
    pub fn new(body: B, meter: Option<Meter>) -> Self {
        if let Some(meter) = meter
            .as_ref()
            .filter(|_| body.size_hint().exact().is_none())
        {
            let came = meter.connection.came.load(Ordering::Relaxed);
            let bound = &meter.connection.bound;
            bound.store(came + FRAMING_BYTES, Ordering::Relaxed);
        }
        Self { body, meter }
    }
}

impl<B: Body<Data = bytes::Bytes> + Unpin> Body for Metered<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let polled = Pin::new(&mut self.body).poll_frame(context);
        if let (Poll::Ready(Some(Ok(frame))), Some(meter)) = (&polled, &self.meter) {
            let bytes = frame.data_ref().map_or(0, bytes::Bytes::len);
            meter.grant(bytes as u64);
        }
        // All that has come is read by then, and nothing follows.
        if let (Poll::Pending, Some(meter)) = (&polled, &self.meter)
            && meter.is_half_closed()
        {
            meter.decide(Meaning::Leaves);
        }
        polled
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// The body of an answer; the request is under way until it is dropped.
#[derive(Debug)]
pub(crate) struct Guarded<B> {
    pub(crate) body: B,
    pub(crate) _guard: RequestGuard,
}

impl<B: Body + Unpin> Body for Guarded<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// The stream of a connection that a listener has accepted.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    connection: Option<Arc<Connection>>,
    /// The bytes that were read since other tasks had the thread.
    turn_bytes: usize,
    /// Set once the caller has ended its half.
    half_closed: Option<HalfClosed>,
}

/// The wait of a stream whose caller has ended its half.
#[derive(Debug)]
struct HalfClosed {
    since: Instant,
    next_check: Pin<Box<Sleep>>,
}

impl HalfClosed {
    fn now() -> Self {
        Self {
            since: Instant::now(),
            next_check: Box::pin(sleep(RESET_POLL_INTERVAL)),
        }
    }
}

impl Stream {
    /// Wraps a connection whose listener counts nothing.
    #[must_use]
    pub const fn new(inner: TcpStream) -> Self {
        Self {
            inner,
            connection: None,
            turn_bytes: 0,
            half_closed: None,
        }
    }

    pub(crate) const fn tracked(inner: TcpStream, connection: Arc<Connection>) -> Self {
        Self {
            inner,
            connection: Some(connection),
            turn_bytes: 0,
            half_closed: None,
        }
    }

    /// Reads and throws away what a caller still sends behind a refused head, so that the refusal isn't lost
    /// with a reset.
    pub(crate) async fn linger(&mut self) {
        let discarded = async {
            self.inner.shutdown().await?;
            let mut piece = vec![0; HEAD_READ_BYTES];
            let mut left = LINGER_BYTES;
            while left > 0 {
                let count = self.inner.read(&mut piece).await?;
                if count == 0 {
                    break;
                }
                left = left.saturating_sub(count);
                tokio::task::yield_now().await;
            }
            Ok::<_, io::Error>(())
        };
        let _over = timeout(LINGER_TIME, discarded).await;
    }

    /// Returns how much may be read at once, and before other tasks get the thread.
    fn read_limits(&self) -> (usize, usize) {
        let connection = self.connection.as_ref();
        if connection.is_some_and(|known| !known.in_request.load(Ordering::Relaxed)) {
            return (HEAD_READ_BYTES, HEAD_READ_BYTES);
        }
        (BODY_READ_BYTES, BODY_TURN_BYTES)
    }

    /// Waits while the end of the caller's half doesn't end the connection.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Some(connection) = &self.connection else {
            return Poll::Ready(Ok(()));
        };
        let half_closed = self.half_closed.get_or_insert_with(HalfClosed::now);
        loop {
            let has_left = match connection.half_close.meaning(context.waker()) {
                Meaning::Undecided => half_closed.since.elapsed() >= UNDECIDED_TIME,
                Meaning::Leaves => true,
                Meaning::Waits => false,
            };
            if has_left {
                connection.note_ending(Ending::EndOfWriting);
                return Poll::Ready(Ok(()));
            }
            // Reading tells nothing more behind the end.
            if let Some(fault) = self.inner.take_error()? {
                connection.note_ending(Ending::Reset);
                return Poll::Ready(Err(fault));
            }
            ready!(half_closed.next_check.as_mut().poll(context));
            let next_check = Instant::now() + RESET_POLL_INTERVAL;
            half_closed.next_check.as_mut().reset(next_check);
        }
    }

    fn note_write<T>(&self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if let Some(connection) = &self.connection {
            connection.note_write(&written);
        }
        written
    }
}

/// Reads at most `most` bytes. Returns how many were read.
fn read_some(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    buffer: &mut ReadBuf<'_>,
    most: usize,
) -> Poll<io::Result<usize>> {
    if buffer.remaining() <= most {
        let before = buffer.filled().len();
        let read = Pin::new(stream).poll_read(context, buffer);
        let bytes = buffer.filled().len() - before;
        return read.map_ok(|()| bytes);
    }
    let mut part = ReadBuf::new(buffer.initialize_unfilled_to(most));
    let read = Pin::new(stream).poll_read(context, &mut part);
    let bytes = part.filled().len();
    buffer.advance(bytes);
    read.map_ok(|()| bytes)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.half_closed.is_some() {
            return self.poll_end(context);
        }
        let (most, turn) = self.read_limits();
        if self.turn_bytes >= turn {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = read_some(&mut self.inner, context, buffer, most);
        match &read {
            Poll::Ready(Ok(bytes)) => self.turn_bytes += bytes,
            Poll::Ready(Err(_)) | Poll::Pending => self.turn_bytes = 0,
        }
        let (Poll::Ready(outcome), Some(connection)) = (&read, &self.connection) else {
            return read.map_ok(|_| ());
        };
        match outcome {
            Ok(0) => return self.poll_end(context),
            Ok(bytes) => {
                if let Err(fault) = connection.note_read(*bytes) {
                    connection.note_ending(Ending::Protocol);
                    let fault = io::Error::new(io::ErrorKind::InvalidData, fault);
                    return Poll::Ready(Err(fault));
                }
            }
            Err(_) => connection.note_ending(Ending::Reset),
        }
        read.map_ok(|_| ())
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write(context, bytes);
        self.note_write(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.inner).poll_write_vectored(context, pieces);
        self.note_write(written)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
