//! JSON over HTTP to the stand-ins' control endpoints and to the nodes' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use standin::client;

use super::TIMEOUT;

/// The pause between two attempts while a condition doesn't hold yet.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Returns the HTTP status of a GET request; `None` if there is no answer.
pub async fn http_status(address: SocketAddr, path: &str) -> Option<u16> {
    let response = client::send(address, "GET", path, &[], "").await?;
    Some(response.status().as_u16())
}

/// Requests JSON.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    client::get(address, path).await
}

/// Posts JSON, asserts that the status is 200 and returns the answer.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let (status, answer) = client::post(address, path, &[], body).await;
    assert_eq!(status, 200, "{path}: {answer}");
    answer
}

/// Requests JSON repeatedly until it meets a condition, and returns it.
pub async fn wait_until(
    address: SocketAddr,
    path: &str,
    condition: impl Fn(&Value) -> bool,
) -> Value {
    wait_for(path, async || {
        let value = get(address, path).await;
        condition(&value).then_some(value)
    })
    .await
}

/// Repeats an attempt until it returns a value.
pub async fn wait_for<T>(what: &str, mut attempt: impl AsyncFnMut() -> Option<T>) -> T {
    let attempts = async {
        loop {
            if let Some(found) = attempt().await {
                return found;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    let found = tokio::time::timeout(TIMEOUT, attempts).await;
    found.unwrap_or_else(|_| panic!("timed out waiting for: {what}"))
}
