//! The HTTP server that the stand-ins share.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::combinators::BoxBody;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Maximum length of a request body in bytes: enough for a transaction with a few values of one
/// megabyte each in base64.
const MAX_BODY: usize = 8 * 1024 * 1024;

/// Makes the server drop the connection before or during the answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the connection is dropped")]
pub struct Dropped;

/// The body of an answer.
pub type Body = BoxBody<Bytes, Dropped>;
/// A part of an answer, or a dropped connection.
pub type Result<T> = std::result::Result<T, Dropped>;
/// An answer, or a dropped connection.
pub type Reply = Result<Response<Body>>;

/// A running server. Dropping the value ends it and all its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Returns the address that the server listens on.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends the server and all its connections, and waits until the address is free again.
    pub async fn stop(mut self) {
        self.task.abort();
        let _cancelled = (&mut self.task).await;
    }

    /// Waits until the server ends. It never ends by itself.
    pub async fn wait(mut self) {
        let _ended = (&mut self.task).await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts to serve `handler` on `listener`.
///
/// # Errors
///
/// Returns an error if the listener has no local address.
pub fn serve<H, F>(listener: TcpListener, handler: H) -> std::io::Result<Server>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let address = listener.local_addr()?;
    let task = tokio::spawn(accept(listener, handler));
    Ok(Server { address, task })
}

async fn accept<H, F>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Reply> + Send + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve_connection(stream, handler.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve_connection<H, F>(stream: TcpStream, handler: H)
where
    H: Fn(Request<Incoming>) -> F,
    F: Future<Output = Reply>,
{
    // With Nagle's algorithm each small chunk of a token stream would wait for the peer's delayed
    // acknowledgement.
    let _unsupported = stream.set_nodelay(true);
    let mut server = hyper::server::conn::http1::Builder::new();
    server.timer(TokioTimer::new());
    let connection = server.serve_connection(TokioIo::new(stream), service_fn(handler));
    if let Err(fault) = connection.await {
        log::debug!("connection ended: {fault}");
    }
}

/// Builds a JSON answer.
#[must_use]
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let full = Full::new(Bytes::from(text)).map_err(|never: Infallible| match never {});
    respond(status, "application/json", full.boxed())
}

/// Builds an answer whose parts come from a channel; a [`Dropped`] in the channel breaks the
/// connection there.
#[must_use]
pub fn stream(content_type: &'static str, parts: mpsc::Receiver<Result<Bytes>>) -> Response<Body> {
    let parts = Parts {
        parts,
        dropped: false,
    };
    respond(StatusCode::OK, content_type, parts.boxed())
}

fn respond(status: StatusCode, content_type: &'static str, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let content_type = hyper::header::HeaderValue::from_static(content_type);
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Reads a body to its end.
///
/// # Errors
///
/// Returns the answer to send if the body is too long or incomplete.
pub async fn read(request: Request<Incoming>) -> std::result::Result<Bytes, Box<Response<Body>>> {
    let body = Limited::new(request.into_body(), MAX_BODY).collect().await;
    let body = body.map_err(|fault| refuse(StatusCode::PAYLOAD_TOO_LARGE, &fault.to_string()))?;
    Ok(body.to_bytes())
}

/// Reads a JSON body; an empty body counts as `{}`.
///
/// # Errors
///
/// Returns the answer to send if the body cannot be read or is not a valid `T`.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> std::result::Result<T, Box<Response<Body>>> {
    let body = read(request).await?;
    let text = if body.is_empty() { b"{}" } else { &body[..] };
    serde_json::from_slice(text)
        .map_err(|fault| refuse(StatusCode::BAD_REQUEST, &fault.to_string()))
}

#[allow(clippy::unnecessary_box_returns)] // boxed because a `Result` should be small
fn refuse(status: StatusCode, message: &str) -> Box<Response<Body>> {
    Box::new(error(status, message))
}

/// Returns a copy of `current` with the fields in `changes` set.
///
/// # Errors
///
/// Returns the answer to send if a field is unknown or has an invalid value.
pub fn merge<T: Serialize + DeserializeOwned>(
    current: &T,
    changes: serde_json::Map<String, Value>,
) -> std::result::Result<T, Box<Response<Body>>> {
    let mut merged = serde_json::to_value(current).unwrap_or_default();
    if let Value::Object(fields) = &mut merged {
        fields.extend(changes);
    }
    serde_json::from_value(merged)
        .map_err(|fault| refuse(StatusCode::BAD_REQUEST, &fault.to_string()))
}

/// Builds a JSON error answer.
#[must_use]
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    json(
        status,
        &serde_json::json!({ "error": message, "message": message }),
    )
}

/// Builds a successful answer with the body `{}`.
#[must_use]
pub fn empty() -> Response<Body> {
    json(StatusCode::OK, &Value::Object(serde_json::Map::new()))
}

/// A body whose parts come from a channel.
struct Parts {
    parts: mpsc::Receiver<Result<Bytes>>,
    dropped: bool,
}

impl hyper::body::Body for Parts {
    type Data = Bytes;
    type Error = Dropped;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>>>> {
        if self.dropped {
            return Poll::Ready(Some(Err(Dropped)));
        }
        match self.parts.poll_recv(context) {
            Poll::Ready(Some(Err(Dropped))) => {
                // When a body fails, the server discards what it has not flushed. Returning
                // `Pending` once lets the server flush first, so that the reader gets all parts
                // before the break.
                self.dropped = true;
                context.waker().wake_by_ref();
                Poll::Pending
            }
            Poll::Ready(part) => Poll::Ready(part.map(|bytes| bytes.map(Frame::data))),
            Poll::Pending => Poll::Pending,
        }
    }
}
