//! Bodies: bounded reading, and sending in parts.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Frame;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::code::Code;
use wire::code::Refusal;

/// Reads a whole body of at most `limit` bytes that arrives within `span`.
///
/// # Errors
///
/// Refuses a body that is too long, too slow or broken off.
pub async fn read(body: Incoming, limit: usize, span: Millis) -> Result<Bytes, Refusal> {
    let collected = timeout(span.as_duration(), Limited::new(body, limit).collect()).await;
    match collected {
        Ok(Ok(whole)) => Ok(whole.to_bytes()),
        Ok(Err(fault)) if fault.is::<LengthLimitError>() => {
            let detail = format!("at most {limit} bytes");
            Err(Refusal::new(Code::BodyTooLarge, &detail))
        }
        Ok(Err(fault)) => Err(Refusal::new(Code::BadJson, &fault.to_string())),
        Err(_elapsed) => Err(Refusal::new(Code::ReadTimeout, &format!("within {span}"))),
    }
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
