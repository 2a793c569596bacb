//! The HTTP client that operators' subcommands use for a VM's admin listener.

use std::net::SocketAddr;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

/// Why a call to the admin listener failed.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The listener can't be reached, or the connection broke off.
    #[display("no answer from {address}: {cause}")]
    #[from(ignore)]
    Connection {
        /// The listener.
        address: SocketAddr,
        /// What went wrong.
        cause: String,
    },
    /// The VM refused the call.
    #[display("{_0}")]
    #[from(ignore)]
    Refused(#[error(not(source))] String),
    /// The answer isn't JSON.
    #[display("the answer isn't JSON: {_0}")]
    Json(serde_json::Error),
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Calls the admin listener and returns its JSON answer.
///
/// # Errors
///
/// Fails if the listener can't be reached or refuses the call.
pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: Option<&Value>,
) -> Result<Value> {
    let connection_fault = |cause: String| Fault::Connection { address, cause };
    let bytes = body.map_or_else(Bytes::new, |value| Bytes::from(value.to_string()));
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(bytes))
        .map_err(|fault| connection_fault(fault.to_string()))?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|fault| connection_fault(fault.to_string()))?;
    let status = response.status();
    let collected = response.into_body().collect().await;
    let answer = collected
        .map_err(|fault| connection_fault(fault.to_string()))?
        .to_bytes();
    if status.is_success() {
        return Ok(serde_json::from_slice(&answer)?);
    }
    Err(Fault::Refused(refusal(&answer)))
}

/// Renders the code and message of a refusal, or the whole body if it has none.
fn refusal(body: &[u8]) -> String {
    let parsed: Value = serde_json::from_slice(body).unwrap_or_default();
    let error = &parsed["error"];
    match (error["code"].as_str(), error["message"].as_str()) {
        (Some(code), Some(message)) => format!("{code}: {message}"),
        _ => String::from_utf8_lossy(body).into_owned(),
    }
}
