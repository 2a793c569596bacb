//! The HTTP client. Its errors tell whether a request may have arrived.

use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONTENT_TYPE;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;
use link::head;
use link::inbound;

use crate::http::connect::Connector;

/// The time limit for connecting. Data centres are a few milliseconds apart, and TCP sends a lost
/// first packet again after 1 s, so this allows for one lost packet.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long an idle connection is kept. Shorter than the listeners' timeout for headers, so that
/// the client closes first and no request is sent on a connection that the server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The most bytes of a connection that are read ahead. Bounds the length of a head, too.
const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// Why a request got no response.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Connecting failed: the request can't have arrived.
    #[display("no connection: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke: the request may have arrived.
    #[display("the connection broke off: {_0}")]
    Broken(#[error(not(source))] String),
    /// Bytes came that are no answer: the request may have arrived, and the process that has it lives.
    #[display("no answer in the protocol: {_0}")]
    Garbled(#[error(not(source))] String),
}

/// The outcome of a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// A client of VMs or of endpoints.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<Connector, Full<Bytes>>);

/// A POST request.
#[derive(Clone, Debug)]
pub struct Post<'a> {
    /// IP address and port.
    pub address: &'a str,
    /// The path.
    pub path: &'a str,
    /// The content type of the body.
    pub content_type: &'a str,
    /// Additional headers.
    pub headers: &'a [(&'a str, String)],
    /// The body.
    pub body: Bytes,
}

impl Client {
    /// Creates a client with pooled connections, for peers that answer each request once.
    #[must_use]
    pub fn of_vms() -> Self {
        Self::new(usize::MAX)
    }

    /// Creates a client that sends each request on a connection of its own. An endpoint's answer doesn't
    /// say to which request it belongs, and a faulty endpoint may send it a second time.
    #[must_use]
    pub fn of_endpoints() -> Self {
        Self::new(0)
    }

    fn new(max_idle: usize) -> Self {
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(MAX_BUFFER_BYTES)
            .build(Connector::new(CONNECT_TIMEOUT));
        Self(client)
    }

    /// Sends a GET request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Fails if connecting fails, or if the connection breaks before the headers arrive.
    pub async fn get(&self, address: &str, path: &str) -> Result<hyper::Response<Incoming>> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|fault| Fault::NotSent(fault.to_string()))?;
        self.send(request).await
    }

    /// Sends a POST request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Fails if connecting fails, or if the connection breaks before the headers arrive.
    pub async fn post(&self, post: Post<'_>) -> Result<hyper::Response<Incoming>> {
        let mut builder = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{}{}", post.address, post.path))
            .header(CONTENT_TYPE, post.content_type);
        for (name, value) in post.headers {
            builder = builder.header(*name, value);
        }
        let request = builder
            .body(Full::new(post.body))
            .map_err(|fault| Fault::NotSent(fault.to_string()))?;
        self.send(request).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<hyper::Response<Incoming>> {
        let answer = self.0.request(request).await;
        let answer = answer.map_err(|fault| fault_of(&fault))?;
        head::check(&answer).map_err(|fault| Fault::Garbled(fault.to_string()))?;
        Ok(answer)
    }
}

fn fault_of(fault: &legacy::Error) -> Fault {
    let source = std::error::Error::source(fault);
    let text = source.map_or_else(|| fault.to_string(), ToString::to_string);
    if fault.is_connect() {
        return Fault::NotSent(text);
    }
    let source = source.and_then(<dyn std::error::Error>::downcast_ref::<hyper::Error>);
    if source.is_some_and(is_garbled) {
        return Fault::Garbled(text);
    }
    Fault::Broken(text)
}

/// Returns whether the fault of an exchange is that bytes came which are no answer.
#[must_use]
pub fn is_garbled(fault: &hyper::Error) -> bool {
    fault.is_parse() || inbound::is_exceeded(fault)
}
