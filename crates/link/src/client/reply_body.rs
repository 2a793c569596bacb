//! The body of a response.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::body::Collected;
use crate::client::Client;
use crate::client::Connection;
use crate::client::Fault;
use crate::client::Result;

/// How long after the end of a body that ends with its connection a reset may follow. A peer that crashes or gives
/// up within an answer closes its sockets within the time in which its process ends.
const RESET_WAIT: Duration = Duration::from_millis(100);

/// The reason that the body of a response wasn't read to its end.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Unread {
    /// It broke off, or is longer than it may be.
    #[display("{_0}")]
    Broken(Fault),
    /// It wasn't allowed to grow.
    #[display("no memory after {_0} bytes")]
    Stopped(#[error(not(source))] usize),
}

impl From<Unread> for Fault {
    fn from(unread: Unread) -> Self {
        match unread {
            Unread::Broken(fault) => fault,
            Unread::Stopped(_) => Self::Broken(unread.to_string()),
        }
    }
}

/// The body of a response. Dropping it before its end closes the connection.
#[derive(Debug)]
pub struct Body {
    pub(super) incoming: Incoming,
    pub(super) connection: Option<Connection>,
    pub(super) client: Arc<Client>,
    pub(super) address: SocketAddr,
    pub(super) idle_timeout: Duration,
    pub(super) states_end: bool,
}

impl Body {
    /// Overrides how long the connection is kept unused, for peers that announce their own
    /// time-out.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = timeout;
    }

    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks off before the end.
    pub async fn data(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                if let Some(connection) = self.connection.take() {
                    if !self.states_end {
                        return confirm_end(&connection).await;
                    }
                    connection.trail().note_answered();
                    connection.allowance.note_answered();
                    self.client
                        .checkin(self.address, connection, self.idle_timeout);
                }
                return Ok(None);
            };
            let frame = frame.map_err(|fault| Fault::Broken(fault.to_string()))?;
            if let Ok(bytes) = frame.into_data() {
                return Ok(Some(bytes));
            }
        }
    }

    /// Returns whether the head says where the body ends.
    #[must_use]
    pub const fn states_end(&self) -> bool {
        self.states_end
    }

    /// Returns the bytes that the body has according to its head; zero if that doesn't say.
    #[must_use]
    pub fn size(&self) -> u64 {
        hyper::body::Body::size_hint(&self.incoming).lower()
    }

    /// Returns whether the head says how many bytes the body has.
    #[must_use]
    pub fn states_size(&self) -> bool {
        hyper::body::Body::size_hint(&self.incoming)
            .exact()
            .is_some()
    }

    /// Reads the complete body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer or breaks off.
    pub async fn whole(self, limit: usize) -> Result<Bytes> {
        let read = self.whole_while(limit, |_| true).await;
        read.map_err(Fault::from)
    }

    /// Reads the complete body of an answer of the same software, which always says where its bodies end. A message
    /// that breaks off may look like a whole one of an earlier version.
    ///
    /// # Errors
    ///
    /// As [`Body::whole`], and if the head doesn't say where the body ends.
    pub async fn whole_stated(self, limit: usize) -> Result<Bytes> {
        let read = self.whole_stated_while(limit, |_| true).await;
        read.map_err(Fault::from)
    }

    /// The same, but only while `may_grow` allows the number of bytes that have come.
    ///
    /// # Errors
    ///
    /// As [`Body::whole_while`], and if the head doesn't say where the body ends.
    pub async fn whole_stated_while(
        self,
        limit: usize,
        may_grow: impl FnMut(usize) -> bool,
    ) -> std::result::Result<Bytes, Unread> {
        if !self.states_end {
            return Err(Unread::Broken(Fault::Broken(
                "the answer doesn't state where its body ends".to_owned(),
            )));
        }
        self.whole_while(limit, may_grow).await
    }

    /// Reads the rest of the body and keeps nothing of it, so that the connection can be reused.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer than `limit` bytes or breaks off.
    pub async fn discard(mut self, limit: usize) -> Result<()> {
        let mut left = limit;
        while let Some(bytes) = self.data().await? {
            let rest = left.checked_sub(bytes.len());
            left = rest.ok_or_else(|| Fault::Broken(format!("body longer than {limit} bytes")))?;
        }
        Ok(())
    }

    /// The same, but only while `may_grow` allows the number of bytes that have come.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer, breaks off or isn't allowed to grow.
    pub async fn whole_while(
        mut self,
        limit: usize,
        mut may_grow: impl FnMut(usize) -> bool,
    ) -> std::result::Result<Bytes, Unread> {
        let too_long = || Unread::Broken(Fault::Broken(format!("body longer than {limit} bytes")));
        let expected = usize::try_from(self.size()).unwrap_or(usize::MAX);
        if expected > limit {
            return Err(too_long());
        }
        let mut all = Collected::of(expected);
        while let Some(bytes) = self.data().await.map_err(Unread::Broken)? {
            let received = all.len() + bytes.len();
            if received > limit {
                return Err(too_long());
            }
            if !may_grow(received) {
                return Err(Unread::Stopped(received));
            }
            if all.len() == 0 && self.has_ended() {
                self.data().await.map_err(Unread::Broken)?;
                return Ok(bytes);
            }
            all.extend(&bytes);
        }
        Ok(all.join())
    }

    fn has_ended(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.incoming)
    }
}

/// Returns the end of a body that ends with its connection. A peer that breaks off may end its side first.
///
/// # Errors
///
/// Fails if the peer hasn't taken the whole request, or resets the connection.
async fn confirm_end(connection: &Connection) -> Result<Option<Bytes>> {
    let Some(ended) = connection.allowance.take_ended() else {
        return Err(Fault::Broken(
            "it isn't known how the connection ended".to_owned(),
        ));
    };
    let confirmed = ended.confirm(RESET_WAIT).await;
    confirmed.map_err(|fault| Fault::Broken(fault.to_string()))?;
    Ok(None)
}
