//! Serves the requests of one connection, and closes it without cutting off a request.

use std::convert::Infallible;
use std::error::Error;
use std::future::Future;
use std::time::Duration;

use hyper::Request;
use hyper::Response;
use hyper::body::Body;
use hyper::body::Incoming;
use hyper::header::CONNECTION;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

use crate::ingress::Stream;

/// While the server stops, how long after its start a connection may still send its first request.
pub const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// The least time that a connection without a request gets after the drain begins, so that a
/// request in transit can arrive.
const IN_TRANSIT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long an idle connection stays open once it has to end. Meanwhile the runtime asks the kernel which
/// connections have something to read, and serves a request that came before.
pub(crate) const UNREAD_TIMEOUT: Duration = Duration::from_millis(1);

/// Serves a connection with the options of `protocol` until it ends or, once `draining` is
/// cancelled, until its last response.
///
/// A connection on which no request has arrived by then gets some time for its first one. If it were
/// closed at once, a request that the caller has just sent would be lost, and the caller couldn't
/// tell whether it ran. A connection on which nothing, or only part of a request, arrives in that
/// time is closed, because it would delay the shutdown.
///
/// # Errors
///
/// Fails if the connection breaks off or receives something that can't be parsed.
pub async fn serve<H, F, B>(
    stream: &mut Stream,
    protocol: &http1::Builder,
    draining: &CancellationToken,
    handler: H,
) -> hyper::Result<()>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let connected_at = Instant::now();
    let requested = CancellationToken::new();
    let service = service_fn(|request| {
        requested.cancel();
        let response = handler(request);
        async {
            let mut response = response.await;
            if draining.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut served = std::pin::pin!(protocol.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended,
        () = draining.cancelled() => {}
    }
    let deadline = (connected_at + FIRST_REQUEST_TIMEOUT).max(Instant::now() + IN_TRANSIT_TIMEOUT);
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended,
        () = requested.cancelled() => {}
        () = sleep_until(deadline) => return Ok(()),
    }
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended,
        () = sleep(UNREAD_TIMEOUT) => {}
    }
    // Doesn't shut down earlier, because hyper closes a connection at once if it has had no request.
    served.as_mut().graceful_shutdown();
    served.await
}

#[cfg(test)]
mod tests;
