//! An HTTP client that pools connections by address and sends one request at a time on each.
//!
//! `hyper_util`'s pooled client doesn't report whether a request was written, and leaves an
//! abandoned exchange to its own task. Both matter to a scheduler: a request that was never written
//! may be sent elsewhere even if it must not run twice, and dropping an exchange closes its
//! connection at once, which is how a runner learns that nobody waits for its response any more.

mod mark;
mod process;
mod reply_body;
mod trail;
mod unsolicited;

use std::fmt;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use derive_more::Display;
use derive_more::Error;
use hyper::Request;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::http::response;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::body::Payload;
pub use crate::client::mark::Foreign;
pub use crate::client::mark::Marks;
use crate::client::process::Age;
pub use crate::client::process::Check;
use crate::client::process::Observations;
use crate::client::process::Process;
pub use crate::client::process::Statement;
pub use crate::client::reply_body::Body;
pub use crate::client::reply_body::Unread;
pub use crate::client::trail::History;
use crate::client::trail::Trail;
use crate::client::unsolicited::Unsolicited;
use crate::head;
use crate::inbound;
use crate::inbound::Allowance;
use crate::inbound::Renewal;
use crate::socket;

/// The most bytes that a peer may send before the head of its answer is complete, as a multiple of what
/// is read ahead: the interim responses, the head, and the first part of the body.
const HEAD_BUFFERS: u64 = 4;

/// The reason that a request has no response.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The connection wasn't established in time, as in a network partition, or the process didn't say in
    /// time which it is. The request wasn't written.
    #[display("connection timed out: {_0}")]
    Silent(#[error(not(source))] SocketAddr),
    /// No byte of the request was written, so it can't have arrived.
    #[display("not sent: {_0}")]
    NotSent(#[error(not(source))] String),
    /// The connection broke off. The request may have arrived.
    #[display("the connection broke off: {_0}")]
    Broken(#[error(not(source))] String),
    /// Another process than the expected one is at the address; it started at the given time. The request
    /// wasn't written.
    #[display("another process, started at {_0}, is at the address")]
    OtherProcess(#[error(not(source))] u64),
    /// The answer that came isn't known to be the request's. The request may have arrived.
    #[display("{_0}")]
    Foreign(#[error(not(source))] Box<Foreign>),
    /// The process at the address couldn't say which it is, though such processes tell. The request wasn't
    /// written.
    #[display("the process at {_0} can't say which it is")]
    Unidentified(#[error(not(source))] SocketAddr),
    /// No byte of an answer came in time. The request may have arrived.
    #[display("no answer in time from {_0}")]
    Late(#[error(not(source))] SocketAddr),
}

/// The outcome of a request.
pub type Result<T> = std::result::Result<T, Fault>;

/// Limits on making and keeping connections.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// How long establishing a connection may take.
    pub connect_timeout: Duration,
    /// How long sent bytes may go unacknowledged.
    pub unacked_timeout: Duration,
    /// How long an unused connection is kept.
    pub idle_timeout: Duration,
    /// How long a connection stays unused after a response before it is reused. A faulty runner sends a second
    /// response some milliseconds after the first. A request that is sent before it comes is lost behind it; an
    /// unused connection is closed.
    pub reuse_delay: Duration,
    /// The most unused connections that are kept for each address.
    pub max_idle: usize,
    /// The most bytes of a connection that are read ahead, at least 8 KB. Bounds the length of a head, too.
    pub max_buffer: usize,
    /// The most bytes that a peer may send after the head of an answer, with the framing.
    pub max_answer: u64,
}

impl Limits {
    const fn max_head(&self) -> u64 {
        self.max_buffer as u64 * HEAD_BUFFERS
    }
}

/// How long a request waits; for ever without a bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wait {
    /// For a connection.
    pub connection: Option<Duration>,
    /// For the head of the answer.
    pub head: Option<time::Instant>,
}

/// A client with pooled connections.
#[derive(Debug)]
pub struct Client {
    limits: Limits,
    marks: Marks,
    /// Unused connections, sorted by address; a few tens of addresses.
    pools: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
    observations: Observations,
    made: AtomicU64,
    unsolicited: Arc<Unsolicited>,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    unused_since: Instant,
    expires_at: Instant,
}

/// An open connection, which is closed when dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Payload>,
    task: JoinHandle<()>,
    allowance: Allowance,
    process: Process,
    /// When it was begun to be made.
    began_at: Instant,
    /// When it was made.
    opened_at: Instant,
    /// Shared with the task.
    trail: Arc<Mutex<Trail>>,
}

impl Connection {
    fn trail(&self) -> MutexGuard<'_, Trail> {
        lock(&self.trail)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// A response whose body is still to be read.
#[derive(Debug)]
pub struct Reply {
    /// Status and headers.
    pub head: response::Parts,
    /// The body.
    pub body: Body,
    /// How long it took to establish the connection; `None` if it was a kept one.
    pub connected_in: Option<Duration>,
}

/// What became of a request that waits only for some time for a connection.
#[derive(Debug)]
pub enum Sent {
    /// It was answered.
    Answered(Box<Reply>),
    /// No byte of it was written, as no connection was established in that time. The attempt may go on.
    Waiting(Connecting),
}

/// An attempt to establish a connection, which ends when dropped.
pub struct Connecting {
    client: Arc<Client>,
    address: SocketAddr,
    attempt: Pin<Box<dyn Future<Output = Result<Established>> + Send>>,
}

impl fmt::Debug for Connecting {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.debug_struct("Connecting")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Connecting {
    /// Waits for the connection and keeps it for the next request. Returns how long it took.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made.
    pub async fn finish(self) -> Result<Duration> {
        let established = self.attempt.await?;
        Ok(self.client.keep(self.address, established))
    }
}

/// A new connection, and how long it took to establish it.
struct Established {
    connection: Connection,
    took: Duration,
}

impl Client {
    /// Creates a client without connections, for peers that answer each request once.
    #[must_use]
    pub fn new(limits: Limits) -> Arc<Self> {
        Self::with_marks(limits, Marks::Unused)
    }

    /// Creates a client without connections, for peers that repeat a request's mark in the answer.
    #[must_use]
    pub fn with_marks(limits: Limits, marks: Marks) -> Arc<Self> {
        Arc::new(Self {
            limits,
            marks,
            pools: Mutex::default(),
            observations: Observations::default(),
            made: AtomicU64::new(0),
            unsolicited: Arc::default(),
        })
    }

    /// Returns how many connections were made so far.
    #[must_use]
    pub fn made(&self) -> u64 {
        self.made.load(Ordering::Relaxed)
    }

    /// Returns how many connections were closed so far as bytes came that no request had asked for.
    #[must_use]
    pub fn unsolicited(&self) -> u64 {
        self.unsolicited.count()
    }

    /// Takes the descriptions of such connections since the last call; of many, only the first.
    #[must_use]
    pub fn take_unsolicited(&self) -> Vec<History> {
        self.unsolicited.take()
    }

    /// Sends a request and returns the response once its headers have arrived.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made or it breaks off before the headers.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Payload>,
    ) -> Result<Reply> {
        let request = match self.send_kept(address, request, None, None).await {
            Kept::Answered(reply) => return reply,
            Kept::Unsent(request) => request,
        };
        let established = self.connect(address).await?;
        self.send_new(address, established, request, None).await
    }

    /// The same, but waits only as long as `wait` says.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made, it breaks off before the headers, or they don't come in time.
    pub async fn send_within(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Payload>,
        wait: Wait,
    ) -> Result<Sent> {
        self.send_checked(address, request, wait, None).await
    }

    /// The same, but only to the process that `check` describes, or one that doesn't tell when it started.
    ///
    /// # Errors
    ///
    /// Fails also if another process is at the address, or it can't be asked or can't answer.
    pub async fn send_checked(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Payload>,
        wait: Wait,
        check: Option<Check>,
    ) -> Result<Sent> {
        let kept = self.send_kept(address, request, wait.head, check);
        let request = match kept.await {
            Kept::Answered(reply) => return reply.map(Box::new).map(Sent::Answered),
            Kept::Unsent(request) => request,
        };
        let client = self.clone();
        let mut attempt = Box::pin(async move { client.connect(address).await });
        let established = match wait.connection {
            Some(first_wait) => timeout(first_wait, &mut attempt).await,
            None => Ok((&mut attempt).await),
        };
        let Ok(established) = established else {
            return Ok(Sent::Waiting(Connecting {
                client: self.clone(),
                address,
                attempt,
            }));
        };
        let Established { connection, took } = established?;
        let connection = match check {
            Some(check) => self.verify(address, connection, Age::New, check).await?,
            None => connection,
        };
        let established = Established { connection, took };
        let sent = self.send_new(address, established, request, wait.head);
        sent.await.map(Box::new).map(Sent::Answered)
    }

    /// Sends a request on a kept connection, if there is one that is still open.
    async fn send_kept(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Payload>,
        head_until: Option<time::Instant>,
        check: Option<Check>,
    ) -> Kept {
        let mut request = request;
        while let Some(connection) = self.checkout(address, &request) {
            let connection = match check {
                Some(check) => match self.verify(address, connection, Age::Kept, check).await {
                    Ok(connection) => connection,
                    Err(fault @ Fault::Unidentified(_)) => return Kept::Answered(Err(fault)),
                    // A new connection shows which process is at the address now.
                    Err(_) => continue,
                },
                None => connection,
            };
            let sent = self.exchange(address, connection, request, head_until);
            match sent.await {
                Ok(reply) => return Kept::Answered(Ok(reply)),
                // The pooled connection had been closed and the request was returned unsent.
                Err((Some(unsent), _)) => request = unsent,
                Err((None, fault)) => return Kept::Answered(Err(fault)),
            }
        }
        Kept::Unsent(request)
    }

    async fn send_new(
        self: &Arc<Self>,
        address: SocketAddr,
        established: Established,
        request: Request<Payload>,
        head_until: Option<time::Instant>,
    ) -> Result<Reply> {
        let Established { connection, took } = established;
        let sent = self.exchange(address, connection, request, head_until);
        let mut reply = sent.await.map_err(|(_, fault)| fault)?;
        reply.connected_in = Some(took);
        Ok(reply)
    }

    /// Checks whether a connection can be made, and keeps it for the next request. Returns how long it
    /// took.
    ///
    /// # Errors
    ///
    /// Fails if no connection can be made.
    pub async fn probe(&self, address: SocketAddr) -> Result<Duration> {
        let established = self.connect(address).await?;
        Ok(self.keep(address, established))
    }

    fn keep(&self, address: SocketAddr, established: Established) -> Duration {
        self.checkin(address, established.connection, self.limits.idle_timeout);
        established.took
    }

    /// Closes the unused connections to the address of a peer that is gone, and forgets what it said.
    pub fn forget(&self, address: SocketAddr) {
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        if let Ok(at) = pools.binary_search_by_key(&address, |(key, _)| *key) {
            pools.remove(at);
        }
        drop(pools);
        let mut observations = lock(&self.observations);
        observations.retain(|(known, _)| *known != address);
    }

    /// Closes connections that have been unused for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, idle) in pools.iter_mut() {
            idle.retain(|kept| kept.expires_at > now && !kept.connection.sender.is_closed());
        }
        pools.retain(|(_, idle)| !idle.is_empty());
        let mut observations = lock(&self.observations);
        observations.retain(|(address, observation)| {
            let is_used = Arc::strong_count(observation) > 1;
            is_used || pools.binary_search_by_key(address, |(key, _)| *key).is_ok()
        });
    }

    /// Takes an unused connection on which the answer to a request can be told from all others.
    fn checkout(&self, address: SocketAddr, request: &Request<Payload>) -> Option<Connection> {
        let mark = self.marks.read(request.headers());
        let now = Instant::now();
        let reusable_since = now.checked_sub(self.limits.reuse_delay).unwrap_or(now);
        let mut pools = self.pools.lock().unwrap_or_else(PoisonError::into_inner);
        let at = pools.binary_search_by_key(&address, |(key, _)| *key).ok()?;
        let idle = &mut pools[at].1;
        idle.retain(|kept| kept.expires_at > now && !kept.connection.sender.is_closed());
        let usable = |kept: &Idle| {
            kept.unused_since <= reusable_since
                && kept.connection.sender.is_ready()
                && kept.connection.trail().may_carry(self.marks, mark)
        };
        let at = idle.iter().rposition(usable)?;
        Some(idle.remove(at).connection)
    }

    fn checkin(&self, address: SocketAddr, connection: Connection, idle_timeout: Duration) {
        if connection.sender.is_closed() || connection.trail().is_full() {
            return;
        }
        let unused_since = Instant::now();
        let kept = Idle {
            connection,
            unused_since,
            expires_at: unused_since + idle_timeout,
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

    async fn connect(&self, address: SocketAddr) -> Result<Established> {
        let not_sent = |text: String| Fault::NotSent(format!("{address}: {text}"));
        let began_at = Instant::now();
        let connected = timeout(self.limits.connect_timeout, TcpStream::connect(address));
        let stream = match connected.await {
            Ok(Ok(stream)) => stream,
            Ok(Err(fault)) => return Err(not_sent(fault.to_string())),
            Err(_) => return Err(Fault::Silent(address)),
        };
        let opened_at = Instant::now();
        let local_port = stream.local_addr().map_or(0, |local| local.port());
        let trail = Arc::new(Mutex::new(Trail::new(address, local_port)));
        if let Err(fault) = socket::prepare(&stream, self.limits.unacked_timeout) {
            log::debug!("setting socket options for {address} failed: {fault}");
        }
        self.made.fetch_add(1, Ordering::Relaxed);
        let allowance = Allowance::new(self.limits.max_head());
        let stream = inbound::Stream::new(stream, allowance.clone(), Renewal::ByOwner);
        let mut protocol = http1::Builder::new();
        protocol.max_buf_size(self.limits.max_buffer);
        let handshake = protocol.handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|fault| not_sent(fault.to_string()))?;
        let (unsolicited, shared) = (self.unsolicited.clone(), trail.clone());
        let task = tokio::spawn(async move {
            if let Err(fault) = connection.await {
                if unsolicited::is_cause(&fault) {
                    unsolicited.note(lock(&shared).history());
                }
                log::debug!("connection to {address} ended: {fault}");
            }
        });
        Ok(Established {
            connection: Connection {
                sender,
                task,
                allowance,
                process: Process::default(),
                began_at,
                opened_at,
                trail,
            },
            took: opened_at - began_at,
        })
    }

    /// Sends a request on a connection. The error contains the request if it was not written.
    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        request: Request<Payload>,
        head_until: Option<time::Instant>,
    ) -> std::result::Result<Reply, (Option<Request<Payload>>, Fault)> {
        connection.allowance.grant(self.limits.max_head());
        let mark = self.marks.read(request.headers()).map(<[u8]>::to_vec);
        connection.trail().note_request(mark.as_deref());
        let sent = connection.sender.try_send_request(request);
        let sent = match head_until {
            Some(until) => timeout_at(until, sent).await,
            None => Ok(sent.await),
        };
        let Ok(sent) = sent else {
            return Err((None, late(address, &connection.allowance)));
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut failed) => {
                let unsent = failed.take_message();
                let cause = failed.into_error();
                if unsolicited::is_cause_of(&cause) {
                    self.unsolicited.note(connection.trail().history());
                }
                let text = format!("{address}: {cause}");
                let fault = match unsent {
                    Some(_) => Fault::NotSent(text),
                    None => Fault::Broken(text),
                };
                return Err((unsent, fault));
            }
        };
        if let Err(fault) = head::check(&response) {
            return Err((None, Fault::Broken(format!("{address}: {fault}"))));
        }
        connection.allowance.grant(self.limits.max_answer);
        let states_end = head::states_end(&response);
        let (head, incoming) = response.into_parts();
        let answer_mark = self.marks.read(&head.headers);
        if answer_mark != mark.as_deref() {
            let history = connection.trail().history();
            let foreign = Foreign::new(head.status, answer_mark, history);
            return Err((None, Fault::Foreign(Box::new(foreign))));
        }
        Ok(Reply {
            head,
            body: Body {
                incoming,
                connection: Some(connection),
                client: self.clone(),
                address,
                idle_timeout: self.limits.idle_timeout,
                states_end,
            },
            connected_in: None,
        })
    }
}

fn lock<T>(shared: &Mutex<T>) -> MutexGuard<'_, T> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns why there is no head when the time for it is over. A peer that has begun to answer sends
/// something else.
fn late(address: SocketAddr, allowance: &Allowance) -> Fault {
    match allowance.received() {
        0 => Fault::Late(address),
        bytes => Fault::Broken(format!("{address}: no head in {bytes} bytes")),
    }
}

/// What became of a request that is sent on a kept connection only.
enum Kept {
    /// It was sent.
    Answered(Result<Reply>),
    /// No kept connection was open.
    Unsent(Request<Payload>),
}
