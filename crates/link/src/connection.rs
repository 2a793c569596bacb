//! One connection in: serves its requests, and ends it without cutting one off.

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
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;

/// How long a new connection may take to bring its first request where it is to end.
pub const FIRST: Duration = Duration::from_secs(1);
/// How long an older one may: for a request that is on its way.
const ON_THE_WAY: Duration = Duration::from_millis(100);

/// Serves a connection as `protocol` tells until it ends, or until its last answer once `leaving` is
/// cancelled.
///
/// A connection that has brought no request by then gets a while for its first one. Closed at once,
/// it would take a request with it that its caller has just sent, and the caller couldn't tell
/// whether it ran. One that brings nothing, or half a request, is closed when that while is over:
/// it would hold a stop up.
///
/// # Errors
///
/// Fails where the connection breaks or brings what can't be read.
pub async fn serve<H, F, B>(
    stream: TcpStream,
    protocol: &http1::Builder,
    leaving: &CancellationToken,
    handler: H,
) -> hyper::Result<()>
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Response<B>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let made = Instant::now();
    let asked = CancellationToken::new();
    let service = service_fn(|request| {
        asked.cancel();
        let answer = handler(request);
        async {
            let mut answer = answer.await;
            if leaving.is_cancelled() {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut served = std::pin::pin!(protocol.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended,
        () = leaving.cancelled() => {}
    }
    let last = (made + FIRST).max(Instant::now() + ON_THE_WAY);
    tokio::select! {
        biased;
        ended = served.as_mut() => return ended,
        () = asked.cancelled() => {}
        () = sleep_until(last) => return Ok(()),
    }
    // Only now: hyper closes a connection at once that has had no request.
    served.as_mut().graceful_shutdown();
    served.await
}

#[cfg(test)]
mod tests;
