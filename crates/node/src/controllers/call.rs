//! Calls of other VMs: one frame as the request, one frame as the answer.

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

/// The content type of a body of frames.
const CONTENT_TYPE: &str = "application/msgpack";

/// Why a call got no answer. The call may have taken effect.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("{reason}")]
pub struct Fault {
    /// The reason, for the log.
    pub reason: String,
}

/// The result of a call.
pub type Result<T> = std::result::Result<T, Fault>;

/// Sends a value to another VM and waits up to `time_limit` for the answer.
///
/// # Errors
///
/// Fails if the VM doesn't answer in time, or if the answer isn't a frame of the expected type.
pub async fn send<T: Serialize, R: DeserializeOwned>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    value: &T,
    time_limit: Millis,
) -> Result<R> {
    let answer = timeout(
        time_limit.as_duration(),
        post_frame(core, address, path, value, time_limit),
    );
    let bytes = answer.await.map_err(|_| fault("no answer in time"))??;
    decode(&bytes).ok_or_else(|| fault("the answer isn't a frame of the expected type"))
}

/// Decodes a body that consists of one frame.
#[must_use]
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Option<T> {
    frame::decode(&mut BytesMut::from(body)).ok()?
}

async fn post_frame<T: Serialize>(
    core: &Core,
    address: SocketAddr,
    path: &str,
    value: &T,
    time_limit: Millis,
) -> Result<Bytes> {
    let body = frame::encode(value).map_err(|f| fault(&f.to_string()))?;
    core.control.traffic.count(&body);
    let post = Post {
        address: &address.to_string(),
        path,
        content_type: CONTENT_TYPE,
        headers: &[],
        body,
    };
    let response = core.client.post(post).await;
    let response = response.map_err(|f| fault(&f.to_string()))?;
    let whole = body::read(response.into_body(), frame::MAX_BODY, time_limit).await;
    whole.map_err(|refusal| fault(&refusal.to_string()))
}

fn fault(reason: &str) -> Fault {
    Fault {
        reason: reason.to_owned(),
    }
}
