//! Answers of the system's own: refusals with a code.

use adapter::header;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use link::body::Body;
use wire::code::Refusal;

/// Renders a refusal of the request `id`.
#[must_use]
pub fn refusal(refusal: &Refusal, id: &str) -> Response<Body> {
    let text = refusal.to_json().to_string();
    let mut response = Response::new(Body::whole(text));
    *response.status_mut() =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    header::set_request(headers, id);
    if let Some(span) = refusal.retry_after {
        header::set_retry_after(headers, span);
    }
    response
}

/// Renders an answer of a runner as it came.
#[must_use]
pub fn forwarded(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = header::end_to_end(headers);
    response
}

/// Renders plain text.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    response
}

/// Asks the client to take another connection for its next request.
pub fn close(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
