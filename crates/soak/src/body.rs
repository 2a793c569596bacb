//! Request bodies that clients send at once or slowly.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Frame;
use hyper::body::SizeHint;
use tokio::time::Sleep;
use tokio::time::sleep;

/// The number of pieces of a body that is sent slowly.
const SLOW_PIECES: usize = 4;
/// The number of pauses between those pieces.
const SLOW_PAUSES: u32 = 3;
/// The pause before the second half of a body that stops: longer than any client stays.
const STOP_PAUSE: Duration = Duration::from_hours(1);

/// How a client sends a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// At once.
    AtOnce,
    /// In pieces, with this pause between them.
    Slow(Duration),
    /// Half of it, and then nothing more.
    Stops,
}

impl Pace {
    /// Returns how long sending takes, `None` if it never ends.
    #[must_use]
    pub fn span(self) -> Option<Duration> {
        match self {
            Self::AtOnce => Some(Duration::ZERO),
            Self::Slow(pause) => Some(pause * SLOW_PAUSES),
            Self::Stops => None,
        }
    }
}

/// A request's body.
#[derive(Debug)]
pub struct Body {
    pieces: VecDeque<Bytes>,
    remaining: u64,
    pause: Duration,
    /// The pause before the next piece.
    wait: Option<Pin<Box<Sleep>>>,
}

impl Body {
    /// Creates a body from these bytes.
    #[must_use]
    pub fn new(bytes: Bytes, pace: Pace) -> Self {
        let (count, pause) = match pace {
            Pace::AtOnce => (1, Duration::ZERO),
            Pace::Slow(pause) => (SLOW_PIECES, pause),
            Pace::Stops => (2, STOP_PAUSE),
        };
        Self {
            remaining: bytes.len() as u64,
            pieces: split(bytes, count),
            pause,
            wait: None,
        }
    }
}

fn split(mut bytes: Bytes, count: usize) -> VecDeque<Bytes> {
    let size = bytes.len().div_ceil(count);
    let mut pieces = VecDeque::new();
    while !bytes.is_empty() {
        pieces.push_back(bytes.split_to(size.min(bytes.len())));
    }
    pieces
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if let Some(wait) = &mut self.wait {
            std::task::ready!(wait.as_mut().poll(context));
            self.wait = None;
        }
        let Some(piece) = self.pieces.pop_front() else {
            return Poll::Ready(None);
        };
        self.remaining -= piece.len() as u64;
        if !self.pieces.is_empty() {
            self.wait = Some(Box::pin(sleep(self.pause)));
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.remaining)
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty()
    }
}

#[cfg(test)]
mod tests;
