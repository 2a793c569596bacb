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
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::task::Context;
use std::task::Poll;

use derive_more::Display;
use hyper_util::client::legacy::connect::Connected;
use hyper_util::client::legacy::connect::Connection;
use socket2::SockRef;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::socket;

/// The most bytes that are read before other tasks, and time limits, get the thread. A flood is always ready
/// to be read.
const MAX_TURN_BYTES: usize = 32 * 1024;

/// A stream whose peer may send only as many bytes as it is allowed. A read beyond that fails.
#[derive(Debug)]
pub struct Stream {
    inner: TcpStream,
    allowance: Allowance,
    renewal: Renewal,
    /// The bytes that were read since other tasks had the thread.
    turn_bytes: usize,
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
            inner,
            allowance,
            renewal,
            turn_bytes: 0,
        }
    }

    /// Reads a byte that has arrived, even if the runtime hasn't noticed it yet. It may be late to do so, and
    /// bytes that came before a request is written are no answer to it.
    fn read_at_once(&self, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let byte = buffer.initialize_unfilled_to(buffer.remaining().min(1));
        match (&*SockRef::from(&self.inner)).read(byte) {
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
}

impl Allowance {
    /// Allows `bytes` bytes.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        Self(Arc::new(Count {
            granted: AtomicU64::new(bytes),
            received: AtomicU64::new(0),
            is_new: AtomicBool::new(false),
        }))
    }

    /// Allows `bytes` bytes from now on, whatever was received.
    pub fn grant(&self, bytes: u64) {
        self.0.granted.store(bytes, Ordering::Relaxed);
        self.0.is_new.store(true, Ordering::Relaxed);
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
        let before = buffer.filled().len();
        let mut read = Pin::new(&mut self.inner).poll_read(context, buffer);
        if self.allowance.0.is_new.swap(false, Ordering::Relaxed) && read.is_pending() {
            read = self.read_at_once(buffer);
        }
        let bytes = buffer.filled().len() - before;
        self.turn_bytes = match read {
            Poll::Ready(_) => self.turn_bytes + bytes,
            Poll::Pending => 0,
        };
        if bytes > 0 && self.renewal == Renewal::ByOwner {
            socket::acknowledge(&self.inner);
        }
        if let Err(fault) = self.allowance.note(bytes as u64) {
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, fault)));
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
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        pieces: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.note_write();
        Pin::new(&mut self.inner).poll_write_vectored(context, pieces)
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

impl Connection for Stream {
    fn connected(&self) -> Connected {
        self.inner.connected()
    }
}
