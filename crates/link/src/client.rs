//! Connections out: pooled by address, one request at a time on each.
//!
//! `hyper_util`'s pooled client doesn't tell whether a request was written, and leaves an
//! abandoned exchange to its own task; both matter to a scheduler. A request that never left may
//! go elsewhere even where it must not run twice, and an exchange that is dropped closes its
//! connection at once, which is how a runner learns that nobody waits any more.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::body::Payload;
use crate::socket;

/// Why a request has no answer.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// Nobody answered in time: the request wasn't written. A partition shows so.
    #[display("no connection in time: {_0}")]
    Silent(#[error(not(source))] SocketAddr),
    /// No byte of the request was written: it can't have arrived.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke off: the request may have arrived.
    #[display("the connection broke off: {_0}")]
    Broken(#[error(not(source))] String),
}

/// The outcome of a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// How connections are made and kept.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long a connection may take to be made.
    pub connect_timeout: Duration,
    /// How long sent bytes may go unacknowledged.
    pub unacked_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// How long a connection rests after an answer before it is used again. A faulty runner sends
    /// a second answer some milliseconds after the first; on a connection in use it would meet the
    /// next request, on a resting one it closes the connection.
    pub reuse_delay: Duration,
    /// The most unused connections that are kept for an address.
    pub max_idle: usize,
}

/// A client with pooled connections.
#[derive(Debug)]
pub struct Client {
    limits: Limits,
    /// By address; a few tens.
    pools: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
    made: AtomicU64,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    until: Instant,
}

/// An open connection; closed when dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Payload>,
    task: JoinHandle<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// An answer whose body is still to be read.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: Body,
}

/// The body of an answer. Dropped before its end, it closes the connection.
#[derive(Debug)]
pub struct Body {
    incoming: Incoming,
    connection: Option<Connection>,
    client: Arc<Client>,
    address: SocketAddr,
    idle_timeout: Duration,
}

impl Client {
    /// Makes a client without connections.
    #[must_use]
    pub fn new(limits: Limits) -> Arc<Self> {
        Arc::new(Self {
            limits,
            pools: Mutex::default(),
            made: AtomicU64::new(0),
        })
    }

    /// Yields how many connections were made so far.
    #[must_use]
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    /// Sends a request and yields the answer once its headers are there.
    ///
    /// # Errors
    ///
    /// Fails where no connection is made or it breaks off before the headers.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Payload>,
    ) -> Result<Reply> {
        let mut request = request;
        while let Some(connection) = self.checkout(address) {
            match self.exchange(address, connection, request).await {
                Ok(reply) => return Ok(reply),
                // The kept connection had been closed; the request comes back unsent.
                Err((Some(unsent), _)) => request = unsent,
                Err((None, fault)) => return Err(fault),
            }
        }
        let connection = self.connect(address).await?;
        let sent = self.exchange(address, connection, request).await;
        sent.map_err(|(_, fault)| fault)
    }

    /// Makes a connection and keeps it for the next request, to learn whether that is possible.
    ///
    /// # Errors
    ///
    /// Fails where no connection is made.
    pub async fn probe(&self, address: SocketAddr) -> Result<()> {
        let connection = self.connect(address).await?;
        self.checkin(address, connection, self.limits.idle_timeout);
        Ok(())
    }

    /// Drops the connections to an address, for a peer that is gone.
    pub fn forget(&self, address: SocketAddr) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = pools.binary_search_by_key(&address, |(key, _)| *key) {
            pools.remove(at);
        }
    }

    /// Closes connections that were unused for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, idle) in pools.iter_mut() {
            idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        }
        pools.retain(|(_, idle)| !idle.is_empty());
    }

    fn checkout(&self, address: SocketAddr) -> Option<Connection> {
        let now = Instant::now();
        let rested = now.checked_sub(self.limits.reuse_delay).unwrap_or(now);
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let at = pools.binary_search_by_key(&address, |(key, _)| *key).ok()?;
        let idle = &mut pools[at].1;
        idle.retain(|kept| kept.until > now && !kept.connection.sender.is_closed());
        let usable = |kept: &Idle| kept.since <= rested && kept.connection.sender.is_ready();
        let at = idle.iter().rposition(usable)?;
        Some(idle.remove(at).connection)
    }

    fn checkin(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        if connection.sender.is_closed() {
            return;
        }
        let since = Instant::now();
        let kept = Idle {
            connection,
            since,
            until: since + idle_timeout,
        };
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let found = pools.binary_search_by_key(&address, |(key, _)| *key);
        let at = found.unwrap_or_else(|at| {
            pools.insert(at, (address, Vec::new()));
            at
        });
        let idle = &mut pools[at].1;
        if idle.len() >= self.limits.max_idle {
            idle.remove(0);
        }
        idle.push(kept);
    }

    async fn connect(&self, address: SocketAddr) -> Result<Connection> {
        let not_sent = |text: String| Fault::NotSent(format!("{address}: {text}"));
        let connected =
            tokio::time::timeout(self.limits.connect_timeout, TcpStream::connect(address));
        let stream = match connected.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => return Err(not_sent(fault.to_string())),
            Err(_) => return Err(Fault::Silent(address)),
        };
        if let Err(fault) = socket::prepare(&stream, self.limits.unacked_timeout) {
            log::debug!("socket options of {address}: {fault}");
        }
        self.made.fetch_add(1, Ordering::Relaxed);
        let shaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = shaken.map_err(|fault| not_sent(fault.to_string()))?;
        let task = tokio::spawn(async move {
            if let Err(fault) = connection.await {
                log::debug!("connection to {address} ended: {fault}");
            }
        });
        Ok(Connection { sender, task })
    }

    /// Sends over a connection; a request that was not written comes back.
    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Payload>,
    ) -> std::result::Result<Reply, (Option<Request<Payload>>, Fault)> {
        let sent = connection.sender.try_send_request(request).await;
        let response = match sent {
            Ok(response) => response,
            Err(mut failed) => {
                let unsent = failed.take_message();
                let text = format!("{address}: {}", failed.into_error());
                let fault = match unsent {
                    Some(_) => Fault::NotSent(text),
                    None => Fault::Broken(text),
                };
                return Err((unsent, fault));
            }
        };
        let (head, incoming) = response.into_parts();
        Ok(Reply {
            head,
            body: Body {
                incoming,
                connection: Some(connection),
                client: self.clone(),
                address,
                idle_timeout: self.limits.idle_timeout,
            },
        })
    }
}

impl Body {
    /// Sets how long the connection is kept unused, where the peer tells how long it does.
    pub fn set_idle_timeout(&mut self, timeout: Duration) {
        self.idle_timeout = timeout;
    }

    /// Yields the next bytes; `None` at the end of a whole body.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks off before the end.
    pub async fn data(&mut self) -> Result<Option<Bytes>> {
        loop {
            let Some(frame) = self.incoming.frame().await else {
                if let Some(connection) = self.connection.take() {
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

    /// Reads the whole body, of at most `limit` bytes.
    ///
    /// # Errors
    ///
    /// Fails where it breaks off or is longer.
    pub async fn whole(mut self, limit: usize) -> Result<Bytes> {
        let mut all = Vec::new();
        while let Some(bytes) = self.data().await? {
            if all.len() + bytes.len() > limit {
                return Err(Fault::Broken(format!("more than {limit} bytes")));
            }
            if all.is_empty() && self.ended() {
                self.data().await?;
                return Ok(bytes);
            }
            all.extend_from_slice(&bytes);
        }
        Ok(Bytes::from(all))
    }

    fn ended(&self) -> bool {
        hyper::body::Body::is_end_stream(&self.incoming)
    }
}
