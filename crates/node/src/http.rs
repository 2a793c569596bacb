//! HTTP: listeners with connection limits, bodies, server-sent events and the client.

pub mod body;
pub mod client;
mod connect;
pub mod listen;
pub mod sse;

use std::convert::Infallible;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::combinators::BoxBody;
use hyper::StatusCode;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;

/// The body of a response.
pub type Body = BoxBody<Bytes, Infallible>;
/// A response.
pub type Response = hyper::Response<Body>;

/// Returns a response with a complete body.
#[must_use]
pub fn response(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Returns a JSON response.
#[must_use]
pub fn json(status: u16, value: &serde_json::Value) -> Response {
    response(status, "application/json", value.to_string())
}
