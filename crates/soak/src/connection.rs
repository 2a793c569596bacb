//! A client's connection. It carries one request at a time and stays open until the VM closes it.

use std::net::SocketAddr;
use std::time::Duration;

use derive_more::Display;
use derive_more::Error;
use fakes::caller;
use fakes::caller::Info;
use http_body_util::BodyExt;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::body::Body;

/// The time-out of connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection could not be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("no connection to {_0}")]
pub struct Fault(#[error(not(source))] SocketAddr);

/// The outcome of opening a connection.
pub type Result<T> = std::result::Result<T, Fault>;

/// An open connection; closed when dropped, also if the client has given up on its answer.
#[derive(Debug)]
pub struct Connection {
    /// The index of the VM at its other end.
    pub vm: usize,
    /// When it was last used.
    pub used: Instant,
    sender: SendRequest<Body>,
    task: JoinHandle<()>,
    /// The rest of an answer that the client doesn't read.
    unread: Option<Incoming>,
}

/// The part of an answer that a client has received.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Its status.
    pub status: u16,
    /// What its headers say.
    pub info: Info,
    /// The part of its body that was received.
    pub body: String,
}

/// How an attempt ended, as its client sees it.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// With a complete answer.
    Whole(Answer),
    /// The connection closed during the answer.
    Cut(Answer),
    /// The connection closed before the answer.
    Closed,
    /// No byte of the request was sent.
    NotSent,
    /// The client left because its time was over; the answer may have begun.
    GaveUp(Option<Answer>),
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Connects to a VM.
    ///
    /// # Errors
    ///
    /// Fails if nothing accepts the connection in time.
    pub async fn open(vm: usize, address: SocketAddr) -> Result<Self> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let Ok(Ok(stream)) = connected else {
            return Err(Fault(address));
        };
        let handshaken = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshaken.map_err(|_| Fault(address))?;
        let task = tokio::spawn(async move {
            // A failure shows in the outcome of the request in flight.
            let _ended = connection.await;
        });
        Ok(Self {
            vm,
            used: Instant::now(),
            sender,
            task,
            unread: None,
        })
    }

    /// Returns whether another request can be sent.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// Sends a request and reads its answer until `until`.
    pub async fn send(&mut self, request: Request<Body>, until: Instant) -> Outcome {
        let sent = timeout_at(until, self.sender.try_send_request(request)).await;
        self.used = Instant::now();
        match sent {
            Err(_) => Outcome::GaveUp(None),
            Ok(Ok(response)) => self.read(response, until).await,
            Ok(Err(mut failed)) => match failed.take_message() {
                Some(_unsent) => Outcome::NotSent,
                None => Outcome::Closed,
            },
        }
    }

    async fn read(&mut self, response: Response<Incoming>, until: Instant) -> Outcome {
        let (head, mut incoming) = response.into_parts();
        let mut answer = Answer {
            status: head.status.as_u16(),
            info: caller::info(&head.headers),
            body: String::new(),
        };
        loop {
            let frame = timeout_at(until, incoming.frame()).await;
            self.used = Instant::now();
            match frame {
                Err(_) => {
                    self.unread = Some(incoming);
                    return Outcome::GaveUp(Some(answer));
                }
                Ok(None) => return Outcome::Whole(answer),
                Ok(Some(Err(_))) => return Outcome::Cut(answer),
                Ok(Some(Ok(frame))) => {
                    let data = frame.into_data().unwrap_or_default();
                    answer.body.push_str(&String::from_utf8_lossy(&data));
                }
            }
        }
    }
}
