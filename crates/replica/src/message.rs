//! What members are asked, and what they answer.
//!
//! Each message goes as the body of a POST in `MessagePack`. Requests name the version of the list
//! that the sender goes by; a member that goes by another one says so and does nothing.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Account;
use crate::ledger::Entry;
use crate::list::List;
use crate::record::Key;
use crate::record::Record;
use crate::record::Turn;

/// The path of the only call.
pub const PATH: &str = "/replica";

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The sender's version of the list.
    pub version: u64,
    /// What is asked.
    pub body: Body,
}

/// What a member is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// To sync these facts, and to tell the accounts of the programs that they concern.
    Apply(Vec<Record>),
    /// For a turn and as much of what it continued from as the member holds.
    Chain(Key),
    /// For a program's entries.
    Account(Key),
    /// To take over this list, if it is newer.
    Adopt(List),
    /// For the keys of all that the member holds.
    Keys,
    /// For the keys of what the member holds and a VM has to hold only since the latest change of
    /// the list, where so many members may be lost at once.
    Gained {
        /// The VM.
        vm: String,
        /// How many members may be lost.
        losses: usize,
    },
    /// For these turns.
    Fetch(Vec<Key>),
    /// For the member's state.
    Status,
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The facts are on disk; the entries of the program that a reservation was for.
    Applied(Vec<Entry>),
    /// The turns found, the newest first.
    Chain(Chain),
    /// A program's entries.
    Account(Vec<Entry>),
    /// What the member holds.
    Keys(Holdings),
    /// The turns asked for, as far as they are there and fit an answer.
    Turns(Vec<Turn>),
    /// The member's state.
    Status(Status),
    /// The member goes by a newer list: this one.
    Newer(List),
    /// The member goes by an older list and has to be told the sender's.
    Older,
    /// The member hasn't yet learnt all that was acknowledged before its list.
    NotReady,
    /// The member's disk failed.
    Failed(String),
}

/// A part of a chain of turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The turns found, the newest first.
    pub turns: Vec<Link>,
    /// Where the chain goes on, if it does: a turn that the member doesn't hold, or that no longer
    /// fitted the answer.
    pub next: Option<Key>,
}

/// A turn of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The turn.
    pub key: Key,
    /// Its input and output.
    pub text: Bytes,
}

/// What a member holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The version up to which it has learnt all that was acknowledged.
    pub ready: u64,
    /// Its turns.
    pub turns: Vec<Key>,
    /// Its accounts.
    pub accounts: Vec<Account>,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The disk's number.
    pub disk: u64,
    /// The version of the list that it goes by.
    pub version: u64,
    /// The version up to which it has learnt all that was acknowledged.
    pub ready: u64,
}
