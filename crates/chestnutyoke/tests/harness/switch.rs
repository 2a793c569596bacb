//! JSON over HTTP to the stand-ins' switches and counts, and to the nodes' admin listeners.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use standin::client;

use super::PATIENCE;

/// The pause between two looks at something that isn't as wished yet.
const LOOK: Duration = Duration::from_millis(10);

/// Reads a path's status; `None` where there is no answer.
pub async fn peek(address: SocketAddr, path: &str) -> Option<u16> {
    let response = client::send(address, "GET", path, &[], "").await?;
    Some(response.status().as_u16())
}

/// Reads JSON.
pub async fn get(address: SocketAddr, path: &str) -> Value {
    client::get(address, path).await
}

/// Posts JSON and expects it to be taken.
pub async fn post(address: SocketAddr, path: &str, body: &Value) -> Value {
    let (status, answer) = client::post(address, path, &[], body).await;
    assert_eq!(status, 200, "{path}: {answer}");
    answer
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
