//! The traffic over HTTP: listeners with limits at the door, bodies, and the client side.

pub mod body;
pub mod client;
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

/// The body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;
/// An answer.
pub type Response = hyper::Response<Body>;

/// Renders a whole answer.
#[must_use]
pub fn whole(status: u16, kind: &'static str, body: impl Into<Bytes>) -> Response {
    let mut response = Response::new(Full::new(body.into()).boxed());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

/// Renders a JSON answer.
#[must_use]
pub fn json(status: u16, value: &serde_json::Value) -> Response {
    whole(status, "application/json", value.to_string())
}
