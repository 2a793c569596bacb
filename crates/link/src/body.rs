//! Message bodies: complete ones, and ones that are sent in parts as they are produced.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::sync::mpsc;

use crate::segments::Segments;

/// The response ended before it was complete. The connection is closed without the end of the
/// body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the answer broke off")]
pub struct Broken;

/// A step of a response that is sent in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// The next bytes.
    Data(Bytes),
    /// The response is complete.
    End,
}

/// The body of a response.
#[derive(Debug)]
pub enum Body {
    /// A complete body. `None` once it has been sent.
    Whole(Option<Bytes>),
    /// Parts as they are produced. If the sender is dropped before [`Part::End`], the response
    /// breaks off, so that half a response from a task that died never looks complete.
    Parts(mpsc::Receiver<Part>),
}

impl Body {
    /// Creates a complete body from `bytes`.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match &mut *self {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Parts(parts) => parts.poll_recv(context).map(|part| match part {
                Some(Part::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Broken)),
            }),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                SizeHint::with_exact(length as u64)
            }
            Self::Parts(_) => SizeHint::default(),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}

/// The body of a request: pieces that are sent one after the other under one content length, so
/// that a long history is never copied into one buffer on a small VM.
#[derive(Clone, Debug, Default)]
pub struct Payload {
    /// The pieces still to be sent.
    pieces: VecDeque<Bytes>,
    /// Bytes still to be sent.
    left: u64,
}

impl From<Bytes> for Payload {
    fn from(bytes: Bytes) -> Self {
        Self::of(vec![bytes])
    }
}

impl Payload {
    /// Creates a body from `pieces`.
    #[must_use]
    pub fn of(pieces: Vec<Bytes>) -> Self {
        let pieces: VecDeque<Bytes> = pieces.into_iter().filter(|p| !p.is_empty()).collect();
        let left = pieces.iter().map(|piece| piece.len() as u64).sum();
        Self { pieces, left }
    }
}

impl hyper::body::Body for Payload {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let piece = self.pieces.pop_front();
        self.left -= piece.as_ref().map_or(0, |piece| piece.len() as u64);
        Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left)
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }
}

/// The reason that a body could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The body is longer than allowed.
    #[display("the body is over the limit")]
    TooLong,
    /// The body broke off.
    #[display("the body broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

/// Reads and discards the rest of a body, up to `limit` bytes.
///
/// Closing a connection that has unread bytes resets it, and the peer may never see the response
/// that was sent before.
pub async fn discard<B>(body: B, limit: usize)
where
    B: hyper::body::Body + Unpin,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let mut body = Limited::new(body, limit);
    // Stops reading if the body exceeds the limit or breaks off.
    while let Some(Ok(_frame)) = body.frame().await {}
}

/// Reads a complete body of at most `limit` bytes.
///
/// # Errors
///
/// Fails if the body is longer or breaks off.
pub async fn read<B>(body: B, limit: usize) -> Result<Bytes, Fault>
where
    B: hyper::body::Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let expected = usize::try_from(body.size_hint().lower()).map_or(limit, |size| size.min(limit));
    let mut body = std::pin::pin!(Limited::new(body, limit));
    let mut all = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|fault| {
            if fault.is::<LengthLimitError>() {
                return Fault::TooLong;
            }
            Fault::Broken(fault.to_string())
        })?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if all.is_empty() && hyper::body::Body::is_end_stream(&*body) {
            return Ok(bytes);
        }
        append(&mut all, &bytes, expected);
    }
    Ok(Bytes::from(all))
}

/// Appends bytes to those of a body that have come before. Makes room for all that are expected at the
/// first, so that they aren't copied as more come.
fn append(all: &mut Vec<u8>, bytes: &[u8], expected: usize) {
    if all.is_empty() {
        all.reserve_exact(expected.max(bytes.len()));
    }
    all.extend_from_slice(bytes);
}

/// The bytes of a body that have come.
pub(crate) enum Collected {
    /// Those of one that states how many it has. The first ones make room for all.
    Sized(Vec<u8>, usize),
    /// Those of another.
    Unsized(Segments),
}

impl Collected {
    /// Collects a body of `expected` bytes; of any number if that is zero.
    pub(crate) fn of(expected: usize) -> Self {
        match expected {
            0 => Self::Unsized(Segments::default()),
            _ => Self::Sized(Vec::new(), expected),
        }
    }

    pub(crate) fn len(&self) -> usize {
        match self {
            Self::Sized(bytes, _) => bytes.len(),
            Self::Unsized(segments) => segments.len(),
        }
    }

    pub(crate) fn extend(&mut self, bytes: &[u8]) {
        match self {
            Self::Sized(all, expected) => append(all, bytes, *expected),
            Self::Unsized(segments) => segments.extend(bytes),
        }
    }

    pub(crate) fn join(self) -> Bytes {
        match self {
            Self::Sized(bytes, _) => Bytes::from(bytes),
            Self::Unsized(segments) => segments.join(),
        }
    }
}
