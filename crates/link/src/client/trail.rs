//! What a connection has carried.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

/// What is told of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    /// The peer.
    pub address: SocketAddr,
    /// The port at this end; zero if it isn't known.
    pub local_port: u16,
    /// How long the connection has been open.
    pub age: Duration,
    /// The number of requests that it has carried.
    pub requests: u64,
    /// The time since the last answer ended; `None` if none has.
    pub since_answer: Option<Duration>,
}

/// The record of an open connection.
#[derive(Debug)]
pub(super) struct Trail {
    address: SocketAddr,
    local_port: u16,
    opened_at: Instant,
    answered_at: Option<Instant>,
    requests: u64,
}

impl Trail {
    /// Begins the record of a new connection.
    pub(super) fn new(address: SocketAddr, local_port: u16) -> Self {
        Self {
            address,
            local_port,
            opened_at: Instant::now(),
            answered_at: None,
            requests: 0,
        }
    }

    /// Records that a request is sent.
    pub(super) const fn note_request(&mut self) {
        self.requests += 1;
    }

    /// Records that the answer to the last request has ended.
    pub(super) fn note_answered(&mut self) {
        self.answered_at = Some(Instant::now());
    }

    /// Describes the connection.
    pub(super) fn history(&self) -> History {
        History {
            address: self.address,
            local_port: self.local_port,
            age: self.opened_at.elapsed(),
            requests: self.requests,
            since_answer: self.answered_at.map(|at| at.elapsed()),
        }
    }
}
