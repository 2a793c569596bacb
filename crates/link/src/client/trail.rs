//! What a connection has carried.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use xxhash_rust::xxh3::xxh3_64;

use crate::client::mark::Marks;

/// The most marked requests that a connection carries. Bounds what is remembered of them.
const MAX_MARKS: usize = 512;

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
    /// The hashes of the requests' marks, sorted.
    marks: Vec<u64>,
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
            marks: Vec::new(),
        }
    }

    /// Returns whether the answer to a request with this mark can be told from all others: a mark is carried
    /// once, and a request without one is the first.
    pub(super) fn may_carry(&self, marks: Marks, mark: Option<&[u8]>) -> bool {
        match (marks, mark) {
            (Marks::Unused, _) => true,
            (Marks::Repeated(_), None) => self.requests == 0,
            (Marks::Repeated(_), Some(mark)) => self.find(mark).is_err(),
        }
    }

    /// Returns whether the connection may carry no more requests.
    pub(super) const fn is_full(&self) -> bool {
        self.marks.len() >= MAX_MARKS
    }

    /// Records that a request with this mark is sent.
    pub(super) fn note_request(&mut self, mark: Option<&[u8]>) {
        self.requests += 1;
        if let Some(mark) = mark
            && let Err(at) = self.find(mark)
        {
            self.marks.insert(at, xxh3_64(mark));
        }
    }

    fn find(&self, mark: &[u8]) -> Result<usize, usize> {
        self.marks.binary_search(&xxh3_64(mark))
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

#[cfg(test)]
mod tests;
