//! Bodies: reading with limits, and streaming.

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

/// The limit in bytes for discarding the rest of a refused request's body, where the limit for
/// bodies is lower.
const MIN_DISCARD_LIMIT: usize = 16 * 1024 * 1024;
/// The maximum time for discarding the rest of a refused request's body.
pub const DISCARD_TIMEOUT: Millis = Millis::new(1_000);

/// Reads the body of a caller's request.
#[derive(Debug)]
pub struct Reader {
    incoming: Incoming,
    state: State,
}

/// The state of a body's sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It sends the body.
    Sending,
    /// It waits for `100 Continue`, which the first read of the body sends.
    AwaitsContinue,
    /// It didn't send the whole body in time.
    Stalled,
}

impl Reader {
    /// Wraps the body of a request with these headers.
    #[must_use]
    pub fn new(headers: &HeaderMap, incoming: Incoming) -> Self {
        let expected = headers.get(EXPECT);
        let waits =
            expected.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
        let state = if waits {
            State::AwaitsContinue
        } else {
            State::Sending
        };
        Self { incoming, state }
    }

    /// Returns the state of the sender.
    #[must_use]
    pub const fn state(&self) -> State {
        self.state
    }

    /// Reads the whole body: at most `limit` bytes, within `time_limit`.
    ///
    /// # Errors
    ///
    /// Refuses a body that is too long, too slow or incomplete.
    pub async fn read(&mut self, limit: usize, time_limit: Millis) -> Result<Bytes, Refusal> {
        if self.state == State::AwaitsContinue && self.incoming.size_hint().lower() > limit as u64 {
            return Err(too_long(limit));
        }
        self.state = State::Sending;
        let body = read(&mut self.incoming, limit, time_limit).await;
        if body.as_ref().is_err_and(|r| r.code == Code::ReadTimeout) {
            self.state = State::Stalled;
        }
        body
    }

    /// Reads the rest of a refused request's body for at most `time_limit`, so that its sender gets
    /// the refusal: see [`body::discard`]. Does nothing if the sender awaits `100 Continue` or has
    /// stalled.
    ///
    /// Reads at least `limit` bytes, because requests may have bodies of that length.
    pub async fn discard(self, limit: usize, time_limit: Millis) {
        if self.state != State::Sending {
            return;
        }
        let discarded = body::discard(self.incoming, limit.max(MIN_DISCARD_LIMIT));
        let _too_slow = timeout(time_limit.as_duration(), discarded).await;
    }
}

/// Reads a whole body of at most `limit` bytes that arrives within `time_limit`.
///
/// # Errors
///
/// Refuses a body that is too long, too slow or incomplete.
pub async fn read<B>(body: B, limit: usize, time_limit: Millis) -> Result<Bytes, Refusal>
where
    B: hyper::body::Body<Data = Bytes, Error = hyper::Error>,
{
    let collected = timeout(
        time_limit.as_duration(),
        Limited::new(body, limit).collect(),
    )
    .await;
    match collected {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => Err(too_long(limit)),
        Ok(Err(fault)) => Err(Refusal::new(Code::BadJson, &fault.to_string())),
        Err(_elapsed) => Err(Refusal::new(
            Code::ReadTimeout,
            &format!("within {time_limit}"),
        )),
    }
}

fn too_long(limit: usize) -> Refusal {
    Refusal::new(Code::BodyTooLarge, &format!("at most {limit} bytes"))
}

/// A body whose chunks are sent as they arrive on a channel.
///
/// The channel is unbounded so that a slow reader never delays the turn. It holds at most one
/// answer, whose length is bounded by the turn's reservation.
pub struct Channel(pub mpsc::UnboundedReceiver<Bytes>);

impl hyper::body::Body for Channel {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let chunk = self.0.poll_recv(context);
        chunk.map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
    }
}
