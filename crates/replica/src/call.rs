//! Requests to a member over HTTP, and the decoding of its answers.
//!
//! Used by writers and readers, and by members that copy from each other.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Method;
use hyper::Request;
use link::body::Payload;
use link::client::Client;
use tokio::time::timeout;

use crate::list::List;
use crate::list::Member;
use crate::message;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::Body;

/// How long a member may take to answer: some hundred times a sync plus a trip between data
/// centres.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Sends a request to a member. Returns `None` if it fails in any way.
pub async fn ask(
    http: &Arc<Client>,
    address: SocketAddr,
    version: u64,
    body: Body,
) -> Option<Answer> {
    send(http, address, encode(version, body)?).await
}

/// Sends a request encoded by [`encode`] for the list. If the member uses an older list, sends it
/// this list and then the request again. Returns `None` if it fails in any way.
pub async fn ask_with_list(
    http: &Arc<Client>,
    member: &Member,
    list: &List,
    bytes: Bytes,
) -> Option<Answer> {
    let answer = send(http, member.address, bytes.clone()).await;
    if answer != Some(Answer::Older) {
        return answer;
    }
    let adopt = Body::Adopt(list.clone());
    ask(http, member.address, list.version, adopt).await?;
    send(http, member.address, bytes).await
}

/// Encodes a request once for all members that receive it. Returns `None` if it can't be encoded.
#[must_use]
pub fn encode(version: u64, body: Body) -> Option<Bytes> {
    match rmp_serde::to_vec(&Ask { version, body }) {
        Ok(bytes) => Some(Bytes::from(bytes)),
        Err(fault) => {
            log::error!("text=\"a request can't be encoded\" fault=\"{fault}\"");
            None
        }
    }
}

async fn send(http: &Arc<Client>, address: SocketAddr, body: Bytes) -> Option<Answer> {
    let request = Request::builder()
        .method(Method::POST)
        .uri(message::PATH)
        .header("host", address.to_string())
        .body(Payload::from(body))
        .ok()?;
    let exchange = async {
        let reply = http.send(address, request).await?;
        reply.body.whole(MAX_ANSWER_BYTES).await
    };
    let bytes = match timeout(ANSWER_TIMEOUT, exchange).await {
        Ok(Ok(bytes)) => bytes,
        Ok(Err(fault)) => {
            log::debug!("member {address}: {fault}");
            return None;
        }
        Err(_) => {
            log::debug!("member {address}: no answer in time");
            return None;
        }
    };
    match rmp_serde::from_slice(&bytes) {
        Ok(answer) => Some(answer),
        Err(fault) => {
            log::warn!(
                "text=\"a member's answer can't be decoded\" member={address} fault=\"{fault}\""
            );
            None
        }
    }
}
