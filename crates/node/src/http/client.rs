//! The client side: pooled connections to VMs and endpoints, with faults that tell whether a
//! request can have arrived.

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
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioTimer;

/// How long a connection may take to be made. Data centres are a few milliseconds apart and a
/// lost first packet is sent again after one second, so this allows for one loss.
const CONNECT: Duration = Duration::from_millis(1_500);
/// How long an unused connection is kept; below the listeners' wait for headers, so that the
/// client closes first and no request meets a closing connection.
const IDLE: Duration = Duration::from_secs(5);

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// No connection could be made: the request can't have arrived.
    #[display("no connection: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke off: the request may have arrived.
    #[display("the connection broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

/// The outcome of a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// A client with pooled connections.
#[derive(Clone, Debug)]
pub struct Client(legacy::Client<HttpConnector, Full<Bytes>>);

/// A request to send.
#[derive(Clone, Debug)]
pub struct Post<'a> {
    /// IP number and port.
    pub address: &'a str,
    /// The path.
    pub path: &'a str,
    /// The body's type.
    pub content_type: &'a str,
    /// Further headers.
    pub headers: &'a [(&'a str, String)],
    /// The body.
    pub body: Bytes,
}

impl Default for Client {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT));
        let client = legacy::Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE)
            .build(connector);
        Self(client)
    }
}

impl Client {
    /// Sends a request without a body and yields the answer once its headers are there.
    ///
    /// # Errors
    ///
    /// Fails where no connection is made or it breaks off before the headers.
    pub async fn get(&self, address: &str, path: &str) -> Result<hyper::Response<Incoming>> {
        let request = Request::builder()
            .uri(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(|fault| Fault::NotSent(fault.to_string()))?;
        self.0
            .request(request)
            .await
            .map_err(|fault| fault_of(&fault))
    }

    /// Sends a request and yields the answer once its headers are there.
    ///
    /// # Errors
    ///
    /// Fails where no connection is made or it breaks off before the headers.
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
        self.0
            .request(request)
            .await
            .map_err(|fault| fault_of(&fault))
    }
}

fn fault_of(fault: &legacy::Error) -> Fault {
    let text = match std::error::Error::source(fault) {
        Some(source) => source.to_string(),
        None => fault.to_string(),
    };
    if fault.is_connect() {
        return Fault::NotSent(text);
    }
    Fault::Broken(text)
}
