//! A plain HTTP client for tests and measurements. It sends what a caller without this project's
//! libraries sends, and panics where a test would fail anyway.

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine;
use base64::prelude::BASE64_STANDARD as BASE64;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use serde_json::json;

/// Far longer than any wait in a test takes; a test that reaches it has failed.
pub const TIMEOUT: Duration = Duration::from_secs(30);
/// The bearer token of the caller `tug`.
pub const TOKEN: &str = "tug-secret";

/// Sends a request; returns `None` if the connection broke before the answer.
///
/// # Panics
///
/// Panics if a header is invalid.
pub async fn send(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<Response<Incoming>> {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
    http.request(request.body(body).unwrap()).await.ok()
}

/// Posts JSON and returns the status and the JSON answer.
///
/// # Panics
///
/// Panics if the connection breaks before the end of the answer.
pub async fn post(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let response = send(address, "POST", path, headers, &body.to_string()).await;
    read_json(response.expect("an answer")).await
}

/// Posts JSON as the caller `tug` and returns the status and the JSON answer.
///
/// # Panics
///
/// Panics if the connection breaks before the end of the answer.
pub async fn ask(
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> (u16, Value) {
    let bearer = format!("Bearer {TOKEN}");
    let mut all_headers = vec![("authorization", bearer.as_str())];
    all_headers.extend(headers);
    post(address, path, &all_headers, body).await
}

/// Sends a GET request as the caller `tug` and returns the JSON answer.
///
/// # Panics
///
/// Panics if the connection breaks before the end of the answer.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let bearer = format!("Bearer {TOKEN}");
    let headers = [("authorization", bearer.as_str())];
    let response = send(address, "GET", path, &headers, "").await;
    read_json(response.expect("an answer")).await.1
}

/// Reads an answer to its end and returns its status and JSON body; the body is `null` if it is
/// not JSON.
///
/// # Panics
///
/// Panics if the connection breaks before the end of the body.
pub async fn read_json(response: Response<Incoming>) -> (u16, Value) {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.unwrap().to_bytes();
    (status, serde_json::from_slice(&body).unwrap_or_default())
}

/// Reads a stream until it ends or breaks; returns the text received and whether it ended with the
/// end marker.
pub async fn stream(response: Response<Incoming>) -> (String, bool) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = body.frame().await {
        bytes.extend_from_slice(frame.data_ref().map_or(&[], |data| data));
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let ended = text.ends_with("data: [DONE]\n\n");
    (text, ended)
}

/// Joins the content of all chunks in the text of a stream.
#[must_use]
pub fn content(events: &str) -> String {
    let lines = events
        .lines()
        .filter_map(|line| line.strip_prefix("data: "));
    let chunks = lines.filter_map(|line| serde_json::from_str::<Value>(line).ok());
    let text = |chunk: Value| {
        let delta = &chunk["choices"][0]["delta"]["content"];
        delta.as_str().map(str::to_owned)
    };
    chunks.filter_map(text).collect()
}

/// Builds a chat request with one user message.
#[must_use]
pub fn chat(text: &str) -> Value {
    json!({"model": "m", "messages": [{"role": "user", "content": text}]})
}

/// Polls `path` until `condition` holds for the answer, and returns that answer.
///
/// # Panics
///
/// Panics if the condition does not hold within [`TIMEOUT`].
pub async fn until(address: SocketAddr, path: &str, condition: impl Fn(&Value) -> bool) -> Value {
    let polling = async {
        loop {
            let answer = get(address, path).await;
            if condition(&answer) {
                return answer;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    let found = tokio::time::timeout(TIMEOUT, polling).await;
    found.unwrap_or_else(|_| panic!("{path} did not meet the condition in time"))
}

/// Writes the operators' configuration to the platform stand-in.
///
/// # Panics
///
/// Panics if the platform does not accept it.
pub async fn configure(platform: SocketAddr, config: &Value) {
    let key = BASE64.encode(b"config");
    let value = BASE64.encode(config.to_string());
    let put = json!({"key": key, "value": value});
    let (status, _) = post(platform, "/v3/kv/put", &[], &put).await;
    assert_eq!(status, 200);
}
