//! Bounds the bytes that a peer may send in answer to one request.
//!
//! A faulty peer may send bytes that are no answer until the connection is closed. Some of them never
//! leave the protocol's decoder, so that no reader of answers could count them: interim responses, the
//! leading zeros of a chunk's size.

use std::error::Error;
use std::io;
use std::io::IoSlice;
use std::io::Read;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use derive_more::Display;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::socket;

/// The most bytes that are read before other tasks, and time limits, get the thread. A flood is always ready
/// to be read.
const MAX_TURN_BYTES: usize = 32 * 1024;

/// A stream whose peer may send only as many bytes as it is allowed. A read beyond that fails.
#[derive(Debug)]
pub struct Stream {
    socket: Socket,
    allowance: Allowance,
    renewal: Renewal,
    /// The bytes that were read since other tasks had the thread.
    turn_bytes: usize,
}

#[derive(Debug)]
enum Socket {
    Open(TcpStream),
    /// The peer has ended its side within an answer; the owner of the connection has the socket ([`Ended`]).
    Ended,
}

/// The socket of a connection whose peer has ended its side within an answer.
#[derive(Debug)]
pub struct Ended {
    socket: TcpStream,
    /// Whether part of the request couldn't be written.
    is_request_cut: bool,
}

/// When the peer is allowed to send as many bytes again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Renewal {
    /// When the owner of the connection says so.
    ByOwner,
    /// Whenever something is sent to it.
    WithEachWrite,
}

/// The bytes that a peer may still send. Clones share the count.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<Count>);

#[derive(Debug)]
struct Count {
    granted: AtomicU64,
    received: AtomicU64,
    /// Whether nothing was read since the last grant.
    is_new: AtomicBool,
    /// Whether the peer takes no more bytes for the time being.
    is_blocked: AtomicBool,
    /// Whether an answer is due or on its way.
    is_answering: AtomicBool,
    ended: Mutex<Option<Ended>>,
}

/// The peer sent more bytes than an answer may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, derive_more::Error)]
#[display("the peer sent more than the {granted} bytes that an answer may have")]
struct Exceeded {
    granted: u64,
}

impl Stream {
    /// Wraps a connection.
    #[must_use]
    pub const fn new(inner: TcpStream, allowance: Allowance, renewal: Renewal) -> Self {
        Self {
            socket: Socket::Open(inner),
            allowance,
            renewal,
            turn_bytes: 0,
        }
    }

    /// Reads a byte that has arrived, even if the runtime hasn't noticed it yet. It may be late to do so, and
    /// bytes that came before a request is written are no answer to it.
    fn read_at_once(socket: &TcpStream, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let byte = buffer.initialize_unfilled_to(buffer.remaining().min(1));
        match (&*SockRef::from(socket)).read(byte) {
            Ok(count) => {
                buffer.advance(count);
                Poll::Ready(Ok(()))
            }
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => Poll::Pending,
            Err(fault) => Poll::Ready(Err(fault)),
        }
    }

    fn note_write(&self) {
        match self.renewal {
            Renewal::ByOwner => {}
            Renewal::WithEachWrite => self.allowance.renew(),
        }
    }

    /// Hands the socket to the owner of the connection if the peer has ended its side within an answer. Dropped
    /// here, it wouldn't show a reset that follows.
    fn note_end(&mut self) {
        if !self.allowance.0.is_answering.load(Ordering::Relaxed) {
            return;
        }
        let socket = std::mem::replace(&mut self.socket, Socket::Ended);
        if let Socket::Open(socket) = socket {
            self.allowance.hand_over(socket);
        }
    }

    fn note_written<T>(&self, written: &Poll<io::Result<T>>) {
        let count = &self.allowance.0;
        count
            .is_blocked
            .store(written.is_pending(), Ordering::Relaxed);
    }
}

impl Ended {
    /// Returns whether the peer took the whole request and, for `span`, doesn't reset the connection.
    ///
    /// # Errors
    ///
    /// Fails with the reason for which the end of the connection isn't that of an answer.
    pub async fn confirm(self, span: Duration) -> io::Result<()> {
        let reset = |text: &str| io::Error::new(io::ErrorKind::ConnectionReset, text.to_owned());
        if self.is_request_cut {
            return Err(reset("the peer ended its side before it took the request"));
        }
        sleep(span).await;
        match self.socket.take_error()? {
            Some(fault) => Err(reset(&format!("after the peer ended its side: {fault}"))),
            None => Ok(()),
        }
    }
}

impl Allowance {
    /// Allows `bytes` bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(Count {
            granted: AtomicU64::new(bytes),
            received: AtomicU64::new(0),
            is_new: AtomicBool::new(false),
            is_blocked: AtomicBool::new(false),
            is_answering: AtomicBool::new(false),
            ended: Mutex::default(),
        }))
    }

    /// Allows `bytes` bytes from now on, whatever was received.
    pub fn grant(&self, bytes: u64) {
        self.0.granted.store(bytes, Ordering::Relaxed);
        self.0.is_new.store(true, Ordering::Relaxed);
        self.0.is_answering.store(true, Ordering::Relaxed);
        self.renew();
    }

    /// Allows as many bytes as at the last grant from now on.
    fn renew(&self) {
        self.0.received.store(0, Ordering::Relaxed);
    }

    /// Returns how many bytes were received since the last grant.
    #[must_use]
    pub fn received(&self) -> u64 {
        self.0.received.load(Ordering::Relaxed)
    }

    /// Notes that an answer has come whole: if the peer ends its side now, that isn't within an answer.
    pub fn note_answered(&self) {
        self.0.is_answering.store(false, Ordering::Relaxed);
        drop(self.take_ended());
    }

    /// Takes the socket, if the peer has ended its side within an answer.
    #[must_use]
    pub fn take_ended(&self) -> Option<Ended> {
        self.ended().take()
    }

    fn hand_over(&self, socket: TcpStream) {
        let is_request_cut = self.0.is_blocked.load(Ordering::Relaxed);
        *self.ended() = Some(Ended {
            socket,
            is_request_cut,
        });
    }

    fn ended(&self) -> MutexGuard<'_, Option<Ended>> {
        self.0.ended.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn note(&self, bytes: u64) -> Result<(), Exceeded> {
        let received = self.0.received.fetch_add(bytes, Ordering::Relaxed) + bytes;
        let granted = self.0.granted.load(Ordering::Relaxed);
        if received > granted {
            return Err(Exceeded { granted });
        }
        Ok(())
    }
}

/// Returns whether a fault has as its cause that the peer sent more than it may.
#[must_use]
pub fn is_exceeded(fault: &(dyn Error + 'static)) -> bool {
    let mut next = Some(fault);
    while let Some(cause) = next {
        let cause_io = cause.downcast_ref::<io::Error>();
        if cause_io.is_some_and(holds_exceeded) {
            return true;
        }
        next = cause.source();
    }
    false
}

fn holds_exceeded(fault: &io::Error) -> bool {
    let inner = fault.get_ref();
    inner.is_some_and(<dyn Error + Send + Sync>::is::<Exceeded>)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.turn_bytes > MAX_TURN_BYTES {
            self.turn_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let this = &mut *self;
        let Socket::Open(socket) = &mut this.socket else {
            return Poll::Ready(Ok(()));
        };
        let has_room = buffer.remaining() > 0;
        let before = buffer.filled().len();
        let mut read = Pin::new(&mut *socket).poll_read(context, buffer);
        if this.allowance.0.is_new.swap(false, Ordering::Relaxed) && read.is_pending() {
            read = Self::read_at_once(socket, buffer);
        }
        let bytes = buffer.filled().len() - before;
        if bytes > 0 && this.renewal == Renewal::ByOwner {
            socket::acknowledge(socket);
        }
        this.turn_bytes = match read {
            Poll::Ready(_) => this.turn_bytes + bytes,
            Poll::Pending => 0,
        };
        if let Err(fault) = this.allowance.note(bytes as u64) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
        }
        if matches!(read, Poll::Ready(Ok(()))) && bytes == 0 && has_room {
            this.note_end();
        }
        read
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.note_write();
        let written = Pin::new(self.socket.open()?).poll_write(context, bytes);
        self.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.note_write();
        let written = Pin::new(self.socket.open()?).poll_write_vectored(context, pieces);
        self.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        match &self.socket {
            Socket::Open(socket) => socket.is_write_vectored(),
            Socket::Ended => false,
        }
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.socket {
            Socket::Open(socket) => Pin::new(socket).poll_flush(context),
            Socket::Ended => Poll::Ready(Ok(())),
        }
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match &mut self.socket {
            Socket::Open(socket) => Pin::new(socket).poll_shutdown(context),
            Socket::Ended => Poll::Ready(Ok(())),
        }
    }
}

impl Socket {
    /// Returns the socket.
    ///
    /// # Errors
    ///
    /// Fails if the peer has ended its side: nothing is written any more.
    fn open(&mut self) -> io::Result<&mut TcpStream> {
        match self {
            Self::Open(socket) => Ok(socket),
            Self::Ended => Err(io::ErrorKind::BrokenPipe.into()),
        }
    }
}

impl Connection for Stream {
    fn connected(&self) -> Connected {
        match &self.socket {
            Socket::Open(socket) => socket.connected(),
            Socket::Ended => Connected::new(),
        }
    }
}
