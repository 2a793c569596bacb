//! The requests that an entry VM sends to a program's owner, and the replies that stream back.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::chat;
use crate::clock::Millis;
use crate::code::Refusal;
use crate::id;

/// A caller's request after the entry VM has authenticated the caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
    /// The program concerned. The entry VM creates an id if the caller names none.
    pub program: id::Program,
    /// The caller that sent the request.
    pub caller: id::Caller,
    /// The configuration revision that the entry VM used. An owner with an older one catches up
    /// before it decides.
    pub revision: u64,
    /// How long the caller waits, counted from the request's arrival at the entry VM.
    pub deadline: Option<Millis>,
    /// How often the request was forwarded. Bounds loops between VMs that disagree on the owner.
    pub hops: u8,
    /// The requested operation.
    pub body: Body,
}

/// The operation requested of a program's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// Run the next turn, or repeat the response of a committed one.
    Chat(Chat),
    /// Call a plain service.
    Call(Call),
    /// Create the program.
    Create,
    /// Show the program.
    Show,
    /// End the program.
    End,
    /// Show the program to an operator, whichever caller it belongs to.
    Inspect,
}

/// A turn of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// The turn's number, from 1. `None` means the next turn.
    pub turn: Option<u32>,
    /// The new messages and the options.
    pub request: chat::Request,
}

/// A call of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The service.
    pub service: id::Service,
    /// The operation's name, a path segment.
    pub operation: String,
    /// The caller's idempotency key.
    pub key: Option<id::Key>,
    /// The request body, passed through unchanged.
    pub body: Bytes,
}

/// One part of the reply to an [`Ask`]. A reply ends with exactly one of `Done`, `Called`,
/// `Shown` and `Refused`. A stream that ends without one was cut off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A piece of the assistant's message, in the chat format's `delta` form.
    Delta(Value),
    /// The turn is committed.
    Done {
        /// The turn's number.
        turn: u32,
        /// The complete answer.
        answer: chat::Answer,
    },
    /// The service responded.
    Called {
        /// The HTTP status of the service's response.
        status: u16,
        /// The body of the service's response.
        body: Bytes,
    },
    /// The program's current state.
    Shown(Value),
    /// The request is refused.
    Refused(Refusal),
}
