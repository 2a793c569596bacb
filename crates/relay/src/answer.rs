//! Builds HTTP responses: refusals, runners' answers that are passed on, and plain text.

use adapter::header;
use bytes::Bytes;
use hyper::HeaderMap;
use hyper::Response;
use hyper::StatusCode;
use hyper::header::CONNECTION;
use hyper::header::CONTENT_LENGTH;
use hyper::header::CONTENT_TYPE;
use hyper::header::HeaderValue;
use link::body::Body;
use wire::code::Refusal;

/// Builds the response for a refusal of the request `id`.
#[must_use]
pub fn refusal(refusal: &Refusal, id: &str) -> Response<Body> {
    let text = refusal.to_json().to_string();
    let mut response = Response::new(Body::whole(text));
    let response_status =
        StatusCode::from_u16(refusal.code.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    *response.status_mut() = response_status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    header::set_request(headers, id);
    if response_status == StatusCode::UNAUTHORIZED {
        header::set_challenge(headers);
    }
    if let Some(span) = refusal.retry_after {
        header::set_retry_after(headers, span);
    }
    response
}

/// Builds the response that passes a runner's answer on, with its end-to-end headers only.
///
/// The length that the runner states is left out. The body is framed again on its way to the caller, and a
/// runner may state a length that isn't that of its body: beside chunks, or where there is no body.
#[must_use]
pub fn forwarded(status: StatusCode, headers: &HeaderMap, body: Body) -> Response<Body> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    let mut headers = header::end_to_end(headers);
    headers.remove(CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}

/// Builds a plain-text response.
#[must_use]
pub fn text(status: StatusCode, body: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    response
}

/// Asks the caller to open another connection for its next request.
pub fn close(response: &mut Response<Body>) {
    let headers = response.headers_mut();
    headers.insert(CONNECTION, HeaderValue::from_static("close"));
}
