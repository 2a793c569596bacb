//! Tells whether an answer belongs to the request that waits for it.
//!
//! A faulty peer may answer a request a second time, at the point where the answer to the next one on the
//! same connection is expected. The place of an answer proves nothing then; a mark that peers repeat does.

use std::fmt;

use hyper::HeaderMap;
use hyper::StatusCode;

use crate::client::trail::History;

/// The most characters of an answer's mark that are told.
const MAX_TOLD_CHARS: usize = 64;

/// How a peer's answers show to which request they belong.
#[derive(Clone, Copy, Debug)]
pub enum Marks {
    /// They don't. The peer answers each request once.
    Unused,
    /// They repeat what this reads from the headers of their request, also if that is nothing.
    Repeated(fn(&HeaderMap) -> Option<&[u8]>),
}

/// An answer that belongs to another request, or doesn't say to which.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Foreign {
    /// The answer's status.
    pub status: StatusCode,
    /// The answer's mark, shortened; `None` if it has none.
    pub mark: Option<String>,
    /// The connection on which it came, the request on whose place it came included.
    pub history: History,
}

impl Marks {
    /// Reads a message's mark; `None` if it has none.
    pub(super) fn read(self, headers: &HeaderMap) -> Option<&[u8]> {
        match self {
            Self::Unused => None,
            Self::Repeated(read) => read(headers),
        }
    }
}

impl Foreign {
    /// Describes an answer with this mark.
    pub(super) fn new(status: StatusCode, mark: Option<&[u8]>, history: History) -> Self {
        let told = |mark: &[u8]| {
            let text = String::from_utf8_lossy(mark);
            text.chars().take(MAX_TOLD_CHARS).collect()
        };
        Self {
            status,
            mark: mark.map(told),
            history,
        }
    }
}

impl fmt::Display for Foreign {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.mark {
            Some(_) => out.write_str("the answer belongs to another request"),
            None => out.write_str("the answer doesn't say to which request it belongs"),
        }
    }
}
