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
use link::client;
use link::client::Client;
use tokio::time::Instant;
use tokio::time::error::Elapsed;
use tokio::time::timeout_at;

use crate::list::List;
use crate::list::Member;
use crate::message;
use crate::message::Answer;
use crate::message::Ask;
use crate::message::Body;

/// How long a member may take to answer: some hundred times as long as a sync and a trip between
/// data centres take together.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(700);
/// The longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 32 * 1024 * 1024;

/// Who is to answer a request.
#[derive(Clone, Copy, Debug)]
pub enum Recipient<'a> {
    /// Whichever disk the VM at this address has.
    Address(SocketAddr),
    /// This disk only. A VM that has lost it refuses the request.
    Disk(&'a Member),
}

impl Recipient<'_> {
    const fn address(self) -> SocketAddr {
        match self {
            Self::Address(address) => address,
            Self::Disk(member) => member.address,
        }
    }
}

/// Sends a request to whichever disk the VM at `address` has. Returns `None` if it fails in any
/// way.
pub async fn ask(
    http: &Arc<Client>,
    address: SocketAddr,
    version: u64,
    body: Body,
) -> Option<Answer> {
    let to = Recipient::Address(address);
    send(http, to, encode(version, body)?).await
}

/// Sends a request to a member's disk. Returns `None` if it fails in any way.
pub async fn ask_disk(
    http: &Arc<Client>,
    member: &Member,
    version: u64,
    body: Body,
) -> Option<Answer> {
    send(http, Recipient::Disk(member), encode(version, body)?).await
}

/// Sends a request encoded by [`encode`] for the list to a member's disk. If the member uses an older list, sends it
/// this list and then the request again. Returns `None` if it fails in any way.
pub async fn ask_with_list(
    http: &Arc<Client>,
    member: &Member,
    list: &List,
    bytes: Bytes,
) -> Option<Answer> {
    let answer = send(http, Recipient::Disk(member), bytes.clone()).await;
    if answer != Some(Answer::Older) {
        return answer;
    }
    resend_with_list(http, member, list, bytes).await
}

/// Sends a member that uses an older list this list, and then the request again. Returns `None` if
/// either fails in any way.
pub async fn resend_with_list(
    http: &Arc<Client>,
    member: &Member,
    list: &List,
    bytes: Bytes,
) -> Option<Answer> {
    let reply = reopen_with_list(http, member, list, bytes).await?;
    reply.read().await
}

/// The same, but only waits for the head of the answer.
pub async fn reopen_with_list(
    http: &Arc<Client>,
    member: &Member,
    list: &List,
    bytes: Bytes,
) -> Option<Reply> {
    let adopt = Body::Adopt(list.clone());
    ask(http, member.address, list.version, adopt).await?;
    open(http, Recipient::Disk(member), bytes).await
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

/// Why an answer wasn't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unread {
    /// It failed in some way.
    Failed,
    /// Its bytes weren't allowed.
    Stopped,
}

/// An answer whose head has come.
pub struct Reply {
    begun: client::Reply,
    deadline: Instant,
    address: SocketAddr,
}

impl Reply {
    /// Reads and decodes the answer. Returns `None` if that fails in any way.
    pub async fn read(self) -> Option<Answer> {
        self.read_while(|_| true).await.ok()
    }

    /// The same, but only while `may_read` allows the bytes that the answer has: first as its head states them.
    ///
    /// # Errors
    ///
    /// Fails if the bytes aren't allowed, and if reading or decoding fails in any way.
    pub async fn read_while(self, mut may_read: impl FnMut(u64) -> bool) -> Result<Answer, Unread> {
        let address = self.address;
        let body = self.begun.body;
        let stated = body.size();
        if !may_read(stated) {
            return Err(Unread::Stopped);
        }
        let may_grow = |bytes: usize| may_read(stated.max(bytes as u64));
        let whole = body.whole_stated_while(MAX_ANSWER_BYTES, may_grow);
        let read = match timeout_at(self.deadline, whole).await {
            Ok(Err(client::Unread::Stopped(_))) => return Err(Unread::Stopped),
            read => read.map(|read| read.map_err(client::Fault::from)),
        };
        let bytes = note(address, read).ok_or(Unread::Failed)?;
        rmp_serde::from_slice(&bytes).map_err(|fault| {
            log::warn!(
                "text=\"a member's answer can't be decoded\" member={address} fault=\"{fault}\""
            );
            Unread::Failed
        })
    }
}

/// Sends a request encoded by [`encode`] and waits for the head of the answer. Returns `None` if it
/// fails in any way.
pub async fn open(http: &Arc<Client>, to: Recipient<'_>, body: Bytes) -> Option<Reply> {
    let deadline = Instant::now() + ANSWER_TIMEOUT;
    let address = to.address();
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(message::PATH)
        .header("host", address.to_string());
    if let Recipient::Disk(member) = to {
        request = request.header(message::DISK_HEADER, member.disk);
    }
    let request = request.body(Payload::from(body)).ok()?;
    let sent = timeout_at(deadline, http.send(address, request)).await;
    Some(Reply {
        begun: note(address, sent)?,
        deadline,
        address,
    })
}

async fn send(http: &Arc<Client>, to: Recipient<'_>, body: Bytes) -> Option<Answer> {
    open(http, to, body).await?.read().await
}

/// Logs why a step of an exchange failed.
fn note<T>(address: SocketAddr, outcome: Result<client::Result<T>, Elapsed>) -> Option<T> {
    match outcome {
        Ok(Ok(value)) => Some(value),
        Ok(Err(fault)) => {
            log::debug!("member {address}: {fault}");
            None
        }
        Err(_) => {
            log::debug!("member {address}: no answer in time");
            None
        }
    }
}
