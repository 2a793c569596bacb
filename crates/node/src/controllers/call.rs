//! Calls of other VMs: one frame there, one frame back.

use std::net::SocketAddr;

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;
use wire::clock::Millis;
use wire::frame;

use crate::core::Core;
use crate::http::body;
use crate::http::client::Post;

/// The type of a body of frames.
const FRAMES: &str = "application/msgpack";

/// Why a call has no answer; it may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Fault {
    /// Why, for the log.
    pub reason: String,
}

/// The outcome of a call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Sends a value to another VM and waits up to `span` for the answer.
///
/// # Errors
///
/// Fails where the VM doesn't answer in time or not with such a frame.
pub async fn send<T: Serialize, R: DeserializeOwned>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    value: &T,
    span: Millis,
) -> Result<R> {
    let answer = timeout(
        span.as_duration(),
        exchange(core, address, path, value, span),
    );
    let bytes = answer.await.map_err(|_| fault("no answer in time"))??;
    decode(&bytes).ok_or_else(|| fault("the answer is no such frame"))
}

/// Decodes the one frame of a body.
#[must_use]
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    frame::decode(&mut BytesMut::from(body)).ok()?
}

async fn exchange<T: Serialize>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    value: &T,
    span: Millis,
) -> Result<Bytes> {
    let body = frame::encode(value).map_err(|f| fault(&f.to_string()))?;
    core.control.traffic.count(&body);
    let post = Post {
        address: &address.to_string(),
        path,
        content_type: FRAMES,
        headers: &[],
        body,
    };
    let response = core.client.post(post).await;
    let response = response.map_err(|f| fault(&f.to_string()))?;
    let whole = body::read(response.into_body(), frame::MAX_BODY, span).await;
    whole.map_err(|refusal| fault(&refusal.to_string()))
}

fn fault(reason: &str) -> Fault {
    Fault {
        reason: reason.to_owned(),
    }
}
