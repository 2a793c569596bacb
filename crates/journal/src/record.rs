//! The facts that a journal holds.
//!
//! Exists for the failure "a takeover can't tell what had happened": whatever a later owner must
//! know is a record, and a record names all that it depends on.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use crate::copy::Holder;

/// The most bytes of the records of one append, encoded. The rest of the platform's largest value
/// is for the batch's own fields.
pub const MAX_BYTES: usize = platform::edge::MAX_VALUE - 1024;

/// The value of one journal key: records that take effect together, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The VM that wrote it.
    pub writer: id::Vm,
    /// Drawn at random for each batch; settles an append whose answer was lost.
    pub nonce: u64,
    /// The facts.
    pub records: Vec<Record>,
}

/// One fact.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A VM took the shard over; every earlier writer has lost it.
    Opened {
        /// The VM.
        vm: id::Vm,
        /// One more than at the shard's last opening; the fencing number of its orders.
        epoch: u64,
        /// The VMs that hold this owner's pending batches during an outage of the platform. They
        /// stand here as well as in the ownership record, since that record goes with its lease.
        copies: Vec<Holder>,
    },
    /// Other VMs hold the owner's pending batches from now on: one was restarted or has left.
    Copies {
        /// The VMs.
        holders: Vec<Holder>,
    },
    /// A program was made.
    Created {
        /// The program.
        program: id::Program,
        /// Who made it; no one else may ask of it.
        caller: id::Caller,
        /// Tokens that it may generate.
        tokens: u64,
        /// Turns that it may have.
        turns: u32,
        /// The longest pause between turns.
        idle: Millis,
        /// When.
        at: Millis,
    },
    /// A turn may now be dispatched; its reservation counts as spent until the attempt ends.
    Started {
        /// The program.
        program: id::Program,
        /// The turn.
        turn: u32,
        /// The attempt, matched with answers.
        attempt: id::Attempt,
        /// The digest of the turn's new messages.
        digest: id::Digest,
        /// Tokens set aside.
        reserved: u64,
        /// The endpoint, where it was known beforehand; holds cache from now on.
        endpoint: Option<id::Endpoint>,
        /// When.
        at: Millis,
    },
    /// An attempt ended without a committed answer.
    Stopped {
        /// The program.
        program: id::Program,
        /// The turn.
        turn: u32,
        /// The attempt.
        attempt: id::Attempt,
        /// Tokens generated, or the whole reservation where that isn't known.
        used: u64,
    },
    /// A turn is part of the history.
    Committed {
        /// The program.
        program: id::Program,
        /// The turn.
        turn: u32,
        /// The attempt whose answer it is.
        attempt: id::Attempt,
        /// The turn's new messages.
        messages: Vec<chat::Message>,
        /// The answer.
        answer: chat::Answer,
        /// Tokens spent by the attempt.
        used: u64,
        /// The endpoint that ran it and holds cache of it.
        endpoint: id::Endpoint,
        /// When.
        at: Millis,
    },
    /// A call that may run at most once is about to be sent.
    Intent {
        /// The program it belongs to.
        program: id::Program,
        /// The caller's idempotency key.
        key: id::Key,
        /// The one dispatch that this intent allows.
        attempt: id::Attempt,
        /// The digest of service, operation and body.
        digest: id::Digest,
        /// When.
        at: Millis,
    },
    /// What became of such a call.
    Outcome {
        /// The program it belongs to.
        program: id::Program,
        /// The caller's idempotency key.
        key: id::Key,
        /// The intent's attempt.
        attempt: id::Attempt,
        /// What became of it.
        result: Outcome,
    },
    /// An endpoint crashed while it ran this content.
    Blamed {
        /// The program.
        program: id::Program,
        /// The content, with the history before it: [`crate::state::State::content_digest`].
        content: id::Digest,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// A program ended; its history may go.
    Ended {
        /// The program.
        program: id::Program,
        /// Why: [`Code::ProgramEnded`] at the caller's wish, else the limit that was met.
        code: Code,
        /// When.
        at: Millis,
    },
    /// An endpoint confirmed that it holds no cache of an ended program.
    Released {
        /// The program.
        program: id::Program,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// An ended program that nothing depends on any more is dropped, and its name is free.
    Forgotten {
        /// The program.
        program: id::Program,
    },
}

/// What became of a call that may run at most once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The service answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body.
        body: bytes::Bytes,
    },
    /// The call was never sent, or the service refused it before it ran; the key may be used
    /// again.
    NotRun,
    /// The call was sent and no answer came; it is never sent again.
    Unknown,
}

/// Yields the encoded size in bytes of a value that becomes part of a journal key.
#[must_use]
pub fn size<T: Serialize + ?Sized>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match rmp_serde::encode::write_named(&mut counter, value) {
        Ok(()) => counter.0,
        // What can't be encoded fits nowhere.
        Err(_) => usize::MAX,
    }
}

struct ByteCounter(usize);

impl io::Write for ByteCounter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0 += bytes.len();
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
