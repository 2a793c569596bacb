//! Finds out which process is at the other end of a connection.
//!
//! A process may end, and another one listen at its address. A connection belongs to one process, so what
//! is known of that holds for all later requests on it.
//!
//! The question names no request, so its answer can be told from others only by its place: as the first one
//! on its connection. It is asked on a connection of its own, which is closed afterwards, so
//! that a second answer meets no request. The answer holds for each connection that was made after the
//! process was known to listen, and before the one of the question was.

use std::fmt::Display;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use hyper::Request;
use hyper::StatusCode;
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::timeout;

use crate::body::Payload;
use crate::client;
use crate::client::Client;
use crate::client::Connection;
use crate::client::Fault;
use crate::client::Result;

/// How long the answer may take. It needs no work of the process.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
/// The most bytes of an answer's body.
const MAX_ANSWER_BYTES: usize = 256 * 1024;

/// Which process is to get a request, and how a process is asked when it started.
#[derive(Clone, Copy, Debug)]
pub struct Check {
    /// When the process started.
    pub born: u64,
    /// Builds the question.
    pub question: fn(SocketAddr) -> Request<Payload>,
    /// Decodes the body of a successful answer.
    pub decode: fn(&[u8]) -> Statement,
}

/// What a successful answer says of the process that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Statement {
    /// When it started.
    Born(u64),
    /// Other things.
    Other,
    /// Nothing: it isn't an answer to the question.
    Undecodable,
}

/// What is known of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Process {
    /// It wasn't asked, or couldn't answer.
    #[default]
    Unknown,
    /// It doesn't tell when it started.
    Silent,
    /// When it started.
    Born(u64),
}

impl Process {
    /// Returns an error if it isn't the expected process.
    const fn expect(self, check: Check) -> Result<()> {
        match self {
            Self::Born(born) if born != check.born => Err(Fault::OtherProcess(born)),
            _ => Ok(()),
        }
    }
}

/// What the questions at one address have shown.
#[derive(Debug, Default)]
pub(super) struct Observation {
    /// The process that has listened since the first of these times, until the second one at least.
    listening: Option<(Process, Instant, Instant)>,
    /// The last answer that showed nothing, and when it was known.
    failure: Option<(Instant, Result<Process>)>,
}

impl Observation {
    /// Returns the process to which a connection belongs, as far as that is known.
    fn process_of(&self, connection: &Connection) -> Option<Process> {
        let (process, since, until) = self.listening?;
        let is_covered = since <= connection.began_at && connection.opened_at <= until;
        is_covered.then_some(process)
    }

    /// Returns why there was no proof, if that became known after `since`.
    fn failure_after(&self, since: Instant) -> Option<Result<Process>> {
        let (known_at, failure) = self.failure.as_ref()?;
        (*known_at >= since).then(|| failure.clone())
    }

    /// Returns whether an answer can show to which process a connection belongs. The expected one listened
    /// before a new connection was made; before a kept one only if a question has shown it.
    fn could_cover(&self, connection: &Connection, age: Age, check: Check) -> bool {
        match (age, self.listening) {
            (Age::New, _) => true,
            (Age::Kept, None) => false,
            (Age::Kept, Some((process, since, _))) => {
                since <= connection.began_at && process.expect(check).is_ok()
            }
        }
    }

    /// Records what a question showed that was asked at a time, after a connection was made.
    fn note(
        &mut self,
        shown: &Result<Process>,
        asked_at: Instant,
        connection: &Connection,
        check: Check,
    ) {
        match *shown {
            Ok(Process::Unknown) => self.failure = Some((Instant::now(), shown.clone())),
            Ok(process) if process.expect(check).is_ok() => {
                let since = match self.listening {
                    Some((known, since, _)) if known == process => since,
                    _ => connection.began_at,
                };
                self.listening = Some((process, since, asked_at));
            }
            Ok(process) => {
                self.listening = None;
                let failure = process.expect(check).map(|()| process);
                self.failure = Some((Instant::now(), failure));
            }
            Err(_) => {
                self.listening = None;
                self.failure = Some((Instant::now(), shown.clone()));
            }
        }
    }
}

/// The observations, by address, sorted; a few tens of addresses.
pub(super) type Observations = Mutex<Vec<(SocketAddr, Arc<AsyncMutex<Observation>>)>>;

/// Whether a connection was made for the request that is to be sent on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Age {
    /// It was.
    New,
    /// It was used before.
    Kept,
}

impl Client {
    /// Checks that a connection belongs to the expected process, or to one that doesn't tell when it started.
    pub(super) async fn verify(
        self: &Arc<Self>,
        address: SocketAddr,
        mut connection: Connection,
        age: Age,
        check: Check,
    ) -> Result<Connection> {
        if connection.process == Process::Unknown {
            connection.process = self.identify(address, &connection, age, check).await?;
        }
        if connection.process == Process::Unknown {
            return Err(Fault::Unidentified(address));
        }
        connection.process.expect(check)?;
        Ok(connection)
    }

    /// Returns the process to which a connection belongs. Requests that wait for an answer share it.
    async fn identify(
        self: &Arc<Self>,
        address: SocketAddr,
        connection: &Connection,
        age: Age,
        check: Check,
    ) -> Result<Process> {
        let began_at = Instant::now();
        let observation = self.observation(address);
        let mut observation = observation.lock().await;
        if let Some(process) = observation.process_of(connection) {
            return Ok(process);
        }
        if !observation.could_cover(connection, age, check) {
            let text = format!("{address}: the connection may belong to an earlier process");
            return Err(Fault::NotSent(text));
        }
        if let Some(failure) = observation.failure_after(began_at) {
            return failure;
        }
        let asked_at = Instant::now();
        let asked = timeout(ANSWER_TIMEOUT, self.ask_separately(address, check)).await;
        let shown = asked.unwrap_or(Err(Fault::Silent(address)));
        // The connection of the request itself was made, so this says nothing of whether the peer is reachable.
        let shown = shown.map_err(|fault| {
            log::debug!("a process wasn't identified: {fault}");
            Fault::Unidentified(address)
        });
        observation.note(&shown, asked_at, connection, check);
        shown
    }

    fn observation(&self, address: SocketAddr) -> Arc<AsyncMutex<Observation>> {
        let mut known = client::lock(&self.observations);
        let found = known.binary_search_by_key(&address, |(key, _)| *key);
        let at = found.unwrap_or_else(|at| {
            known.insert(at, (address, Arc::default()));
            at
        });
        known[at].1.clone()
    }

    /// Asks the process that listens now, on a connection that carries nothing else.
    async fn ask_separately(
        self: &Arc<Self>,
        address: SocketAddr,
        check: Check,
    ) -> Result<Process> {
        let unproven = |why: &dyn Display| Fault::NotSent(format!("{address}: {why}"));
        let connection = self.connect(address).await?.connection;
        let sent = self.exchange(address, connection, (check.question)(address), None);
        let mut reply = sent.await.map_err(|(_, fault)| unproven(&fault))?;
        // Keeps the connection from being reused.
        let _unused = reply.body.connection.take();
        let bytes = reply.body.whole(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|fault| unproven(&fault))?;
        let status = reply.head.status;
        match status {
            StatusCode::OK => match (check.decode)(&bytes) {
                Statement::Born(born) => Ok(Process::Born(born)),
                Statement::Other => Ok(Process::Silent),
                Statement::Undecodable => Err(unproven(&"its report can't be decoded")),
            },
            StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Ok(Process::Unknown),
            _ if status.is_server_error() => Ok(Process::Unknown),
            _ if status.is_client_error() => Ok(Process::Silent),
            _ => Err(unproven(&format_args!("no report, but status {status}"))),
        }
    }
}
