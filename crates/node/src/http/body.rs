//! Bodies: bounded reading, and sending in parts.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::HeaderMap;
use hyper::body::Body as _;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::EXPECT;
use link::body;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

/// The longest rest of a refused request's body that is read where none so long is taken, in bytes.
const DISCARDED: usize = 16 * 1024 * 1024;
/// How long the rest of a refused request's body is read at most.
pub const DISCARD: Millis = Millis::new(1_000);

/// The body of a caller's request, as it arrives.
#[derive(Debug)]
pub struct Arrival {
    incoming: Incoming,
    sender: Sender,
}

/// What the sender of a body does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sender {
    /// It sends.
    Sends,
    /// It waits until it is asked for the body, which reading it does.
    Waits,
    /// It didn't send all in its time.
    Stalls,
}

impl Arrival {
    /// Takes the body of a request with these headers.
    #[must_use]
    pub fn new(headers: &HeaderMap, incoming: Incoming) -> Self {
        let expected = headers.get(EXPECT);
        let waits =
            expected.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        let sender = if waits { Sender::Waits } else { Sender::Sends };
        Self { incoming, sender }
    }

    /// Yields what the sender does.
    #[must_use]
    pub const fn sender(&self) -> Sender {
        self.sender
    }

    /// Reads all of it: at most `limit` bytes, within `span`.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too long, too slow or broken off.
    pub async fn read(&mut self, limit: usize, span: Millis) -> Result<Bytes, Refusal> {
        if self.sender == Sender::Waits && self.incoming.size_hint().lower() > limit as u64 {
            return Err(too_long(limit));
        }
        self.sender = Sender::Sends;
        let whole = read(&mut self.incoming, limit, span).await;
        if whole.as_ref().is_err_and(|r| r.code == Code::ReadTimeout) {
            self.sender = Sender::Stalls;
        }
        whole
    }

    /// Reads the rest of a refused request's body for at most `span`, so that its sender gets the
    /// refusal: see [`body::discard`]. One that isn't sent isn't asked or waited for.
    ///
    /// Bodies of `limit` bytes are read whole, as requests may have them.
    pub async fn discard(self, limit: usize, span: Millis) {
        if self.sender != Sender::Sends {
            return;
        }
        let discarded = body::discard(self.incoming, limit.max(DISCARDED));
        let _too_slow = timeout(span.as_duration(), discarded).await;
    }
}

/// Reads a whole body of at most `limit` bytes that arrives within `span`.
///
/// # Errors
///
/// Refuses a body that is too long, too slow or broken off.
pub async fn read<B>(body: B, limit: usize, span: Millis) -> Result<Bytes, Refusal>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error>,
{
    let collected = timeout(span.as_duration(), Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(too_long(limit)),
        Ok(Err(fault)) => Err(Refusal::new(Code::BadJson, &fault.to_string())),
        Err(_elapsed) => Err(Refusal::new(Code::ReadTimeout, &format!("within {span}"))),
    }
}

fn too_long(limit: usize) -> Refusal {
    Refusal::new(Code::BodyTooLarge, &format!("at most {limit} bytes"))
}

/// A body that is sent in parts as they come.
///
/// The channel is unbounded so that a caller who reads slowly never holds up the turn; what waits
/// in it is at most one answer, whose length the turn's reservation bounds.
pub struct Parts(pub mpsc::UnboundedReceiver<Bytes>);

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let part = self.0.poll_recv(context);
        part.map(|part| part.map(|bytes| Ok(Frame::data(bytes))))
    }
}
