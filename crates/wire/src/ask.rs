//! What an entry VM asks an owner to do, and the replies that stream back.

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
    /// The program concerned; the entry VM mints one where the caller names none.
    pub program: id::Program,
    /// Who asks.
    pub caller: id::Caller,
    /// The configuration revision that the entry VM acted on; an owner that is behind catches up
    /// before it decides.
    pub revision: u64,
    /// How long the caller waits, counted from the arrival at the entry VM.
    pub deadline: Option<Millis>,
    /// How often the request was forwarded; bounds loops between VMs that disagree on the owner.
    pub hops: u8,
    /// What is asked.
    pub body: Body,
}

/// What is asked of a program's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Body {
    /// The next turn, or a committed one again.
    Chat(Chat),
    /// A call of a plain service.
    Call(Call),
    /// Make the program.
    Create,
    /// Show the program.
    Show,
    /// End the program.
    End,
    /// Show the program to an operator, whoever its caller is.
    Inspect,
}

/// A turn of a program.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Chat {
    /// The turn's number from 1; `None` takes the next.
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
    /// The body, passed through.
    pub body: Bytes,
}

/// One part of the reply to an [`Ask`]. A reply ends with exactly one of `Done`, `Called`,
/// `Shown` and `Refused`; a stream that ends without it was cut off.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// A piece of the assistant's message, in the chat format's `delta` form.
    Delta(Value),
    /// The turn is committed.
    Done {
        /// The turn's number.
        turn: u32,
        /// The whole answer.
        answer: chat::Answer,
    },
    /// A service answered.
    Called {
        /// The service's HTTP status.
        status: u16,
        /// The service's body.
        body: Bytes,
    },
    /// The program as it stands.
    Shown(Value),
    /// The request is refused.
    Refused(Refusal),
}
