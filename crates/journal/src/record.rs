//! The records that a journal consists of.
//!
//! Prevents the failure "a takeover can't tell what had happened": everything that a later owner
//! must know is in a record, and each record names everything that it depends on.

use std::io;

use serde::Deserialize;
use serde::Serialize;
use wire::chat;
use wire::clock::Millis;
use wire::code::Code;
use wire::id;

use crate::copy::Holder;

/// The maximum encoded size of the records of one append, in bytes. The rest of the platform's
/// maximum value size is for the batch's other fields.
pub const MAX_BYTES: usize = platform::edge::MAX_VALUE - 1024;

/// The value of one journal key: records that take effect together, in order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// The VM that wrote the batch.
    pub writer: id::Vm,
    /// Differs for each batch; shows whether an append whose response was lost has taken effect.
    pub nonce: u64,
    /// The records.
    pub records: Vec<Record>,
}

/// One record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// A VM took over the shard; all earlier writers have lost it.
    Opened {
        /// The VM.
        vm: id::Vm,
        /// One more than the epoch of the shard's previous opening; the fencing token of the
        /// owner's orders.
        epoch: u64,
        /// The VMs that hold this owner's pending batches during an outage of the platform. They
        /// are stored here as well as in the ownership record, because that record is deleted when
        /// its lease expires.
        copies: Vec<Holder>,
    },
    /// Other VMs hold the owner's pending batches from now on, because one was restarted or has
    /// left.
    Copies {
        /// The VMs.
        holders: Vec<Holder>,
    },
    /// A program was created.
    Created {
        /// The program.
        program: id::Program,
        /// The caller that created it; no other caller may use it.
        caller: id::Caller,
        /// The maximum number of tokens it may generate.
        tokens: u64,
        /// The maximum number of turns.
        turns: u32,
        /// The longest allowed pause between turns.
        idle: Millis,
        /// The creation time.
        at: Millis,
    },
    /// A turn may now be dispatched. Its reservation counts as spent until the attempt ends.
    Started {
        /// The program.
        program: id::Program,
        /// The turn.
        turn: u32,
        /// The attempt; answers are matched against it.
        attempt: id::Attempt,
        /// The digest of the turn's new messages.
        digest: id::Digest,
        /// Tokens reserved for the attempt.
        reserved: u64,
        /// The endpoint, if it was known in advance; it holds cache from now on.
        endpoint: Option<id::Endpoint>,
        /// The start time.
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
        /// The number of generated tokens, or the whole reservation if the number is unknown.
        used: u64,
    },
    /// A turn was committed to the history.
    Committed {
        /// The program.
        program: id::Program,
        /// The turn.
        turn: u32,
        /// The attempt that produced the answer.
        attempt: id::Attempt,
        /// The turn's new messages.
        messages: Vec<chat::Message>,
        /// The answer.
        answer: chat::Answer,
        /// Tokens spent by the attempt.
        used: u64,
        /// The endpoint that ran the attempt and holds cache of it.
        endpoint: id::Endpoint,
        /// The commit time.
        at: Millis,
    },
    /// A call that may run at most once is about to be sent.
    Intent {
        /// The program that the call belongs to.
        program: id::Program,
        /// The caller's idempotency key.
        key: id::Key,
        /// The only dispatch that this intent allows.
        attempt: id::Attempt,
        /// The digest of service, operation and body.
        digest: id::Digest,
        /// The time of the intent.
        at: Millis,
    },
    /// The outcome of a call that may run at most once.
    Outcome {
        /// The program that the call belongs to.
        program: id::Program,
        /// The caller's idempotency key.
        key: id::Key,
        /// The attempt named in the intent.
        attempt: id::Attempt,
        /// The outcome.
        result: Outcome,
    },
    /// An endpoint crashed while it ran this content.
    Blamed {
        /// The program.
        program: id::Program,
        /// The digest of the content including the history before it:
        /// [`crate::state::State::content_digest`].
        content: id::Digest,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// A program ended; its history may be dropped.
    Ended {
        /// The program.
        program: id::Program,
        /// The reason: [`Code::ProgramEnded`] if the caller ended it, otherwise the limit that was
        /// reached.
        code: Code,
        /// The end time.
        at: Millis,
    },
    /// An endpoint confirmed that it holds no cache of an ended program.
    Released {
        /// The program.
        program: id::Program,
        /// The endpoint.
        endpoint: id::Endpoint,
    },
    /// An ended program on which nothing depends any more is dropped, and its name is free again.
    Forgotten {
        /// The program.
        program: id::Program,
    },
}

/// The outcome of a call that may run at most once.
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

/// Returns the encoded size in bytes of a value that becomes part of a journal key's value.
#[must_use]
pub fn size<T: Serialize + ?Sized>(value: &T) -> usize {
    let mut counter = ByteCounter(0);
    match rmp_serde::encode::write_named(&mut counter, value) {
        Ok(()) => counter.0,
        // A value that can't be encoded doesn't fit into any key.
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
