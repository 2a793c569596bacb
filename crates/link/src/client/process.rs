//! Finds out which process is at the other end of a connection.
//!
//! A process may end, and another one listen at its address. A connection belongs to one process, so what
//! that says of itself on the connection holds for all later requests on it: it is asked once.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Request;
use hyper::StatusCode;
use tokio::time::timeout;

use crate::body;
use crate::body::Payload;
use crate::client::Client;
use crate::client::Connection;
use crate::client::Established;
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
    /// Decodes the answer's body; `None` if it doesn't tell.
    pub decode: fn(&[u8]) -> Option<u64>,
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

/// A connection whose process is the expected one, or doesn't tell.
#[derive(Debug)]
pub(super) enum Verified {
    /// It is open.
    Open(Connection),
    /// The process closed it after its answer.
    Closed(Process),
}

impl Client {
    /// Returns a connection to the process that `check` describes.
    ///
    /// If that closes the new connection after its answer, another one is made, and the process is asked
    /// on a third. As it was there before the second one was made and still is, that one is its own.
    pub(super) async fn verify_new(
        &self,
        address: SocketAddr,
        established: Established,
        check: Check,
    ) -> Result<Established> {
        let Established { connection, took } = established;
        if let Verified::Open(connection) = verify(connection, address, check).await? {
            return Ok(Established { connection, took });
        }
        let mut next = self.connect(address).await?;
        let witness = self.connect(address).await?;
        let verified = verify(witness.connection, address, check).await?;
        next.connection.process = match &verified {
            Verified::Open(witness) => witness.process,
            Verified::Closed(process) => *process,
        };
        Ok(next)
    }
}

/// Asks the process at the other end of a connection, unless that was done before.
pub(super) async fn verify(
    mut connection: Connection,
    address: SocketAddr,
    check: Check,
) -> Result<Verified> {
    if connection.process == Process::Unknown {
        let asked = timeout(ANSWER_TIMEOUT, ask(&mut connection, address, check)).await;
        connection.process = asked.map_err(|_| Fault::Silent(address))??;
    }
    match connection.process {
        Process::Born(born) if born != check.born => Err(Fault::OtherProcess(born)),
        process if connection.sender.ready().await.is_err() => Ok(Verified::Closed(process)),
        _ => Ok(Verified::Open(connection)),
    }
}

async fn ask(connection: &mut Connection, address: SocketAddr, check: Check) -> Result<Process> {
    connection.allowance.grant(2 * MAX_ANSWER_BYTES as u64);
    let sent = connection
        .sender
        .send_request((check.question)(address))
        .await;
    let response = sent.map_err(|fault| Fault::NotSent(format!("{address}: {fault}")))?;
    let status = response.status();
    let read = body::read(response.into_body(), MAX_ANSWER_BYTES).await;
    let bytes = read.map_err(|fault| Fault::NotSent(format!("{address}: {fault}")))?;
    Ok(match status {
        StatusCode::OK => (check.decode)(&bytes).map_or(Process::Silent, Process::Born),
        StatusCode::TOO_MANY_REQUESTS => Process::Unknown,
        status if status.is_server_error() => Process::Unknown,
        _ => Process::Silent,
    })
}
