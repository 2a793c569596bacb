//! JSON over HTTP to the stand-ins' switches and counts, and to the nodes' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::Request;
use hyper_util::client::legacy;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

use super::PATIENCE;

/// The pause between two looks at something that isn't as wished yet.
const LOOK: Duration = Duration::from_millis(10);

async fn send(address: SocketAddr, method: &str, path: &str, body: String) -> Option<(u16, Bytes)> {
    let http = legacy::Client::builder(TokioExecutor::new()).build_http();
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(Bytes::from(body)))
        .unwrap();
    let response = http.request(request).await.ok()?;
    let status = response.status().as_u16();
    let body = response.into_body().collect().await.ok()?;
    Some((status, body.to_bytes()))
}

/// Reads a path's status and body; `None` where there is no answer.
pub async fn peek(address: SocketAddr, path: &str) -> Option<(u16, Bytes)> {
    send(address, "GET", path, String::new()).await
}

/// Reads JSON.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    let answer = peek(address, path).await;
    let (status, body) = answer.unwrap_or_else(|| panic!("no answer at {path}"));
    assert_eq!(status, 200, "{path}: {}", String::from_utf8_lossy(&body));
    serde_json::from_slice(&body).unwrap()
}

/// Posts JSON and expects it to be taken.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let answer = send(address, "POST", path, body.to_string()).await;
    let (status, body) = answer.unwrap_or_else(|| panic!("no answer at {path}"));
    assert_eq!(status, 200, "{path}: {}", String::from_utf8_lossy(&body));
    serde_json::from_slice(&body).unwrap()
}

/// Reads JSON again until it is as wished.
pub async fn until(address: SocketAddr, path: &str, wished: impl Fn(&Value) -> bool) -> Value {
    until_some(path, async || {
        let value = get(address, path).await;
        wished(&value).then_some(value)
    })
    .await
}

/// Tries again until there is something.
pub async fn until_some<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    let tried = async {
        loop {
            if let Some(found) = attempt().await {
                return found;
            }
            tokio::time::sleep(LOOK).await;
        }
    };
    let found = tokio::time::timeout(PATIENCE, tried).await;
    found.unwrap_or_else(|_| panic!("it never came: {what}"))
}
