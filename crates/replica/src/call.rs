//! Calls of a member: how a request goes out, and how its answer comes back.
//!
//! Serves writers and readers, and members that learn from each other.

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

/// How long a member may take to answer: some hundred times a sync and a way across data centres.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Asks a member; `None` where it fails in any way.
pub async fn ask(
    http: &Arc<Client>,
    address: SocketAddr,
    version: u64,
    body: Body,
) -> Option<Answer> {
    send(http, address, encode(version, body)?).await
}

/// Asks a member what [`encode`] made for the list; one that goes by an older list is told this one
/// and asked again. `None` where it fails in any way.
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

/// Encodes a request once for all members that get it; `None` where it can't be encoded.
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
                "text=\"a member's answer can't be read\" member={address} fault=\"{fault}\""
            );
            None
        }
    }
}
