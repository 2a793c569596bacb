//! Requests to members, and their answers.
//!
//! Each message is the body of a POST, encoded as `MessagePack`. Requests name the version of the
//! list that the sender uses. A member that uses another one refuses the request, unless it is
//! [`Body::Adopt`], [`Body::Status`], [`Body::Fetch`] or [`Body::Accounts`].
//!
//! A request that is meant for a disk rather than for whoever answers at an address names the disk
//! in [`DISK_HEADER`], beside the body, so that a process that doesn't know the header ignores it.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::ledger::Account;
use crate::ledger::Entry;
use crate::list::List;
use crate::record::Key;
use crate::record::Record;
use crate::record::Turn;

/// The path of the only HTTP endpoint.
pub const PATH: &str = "/replica";
/// The header that names the number of the disk that a request is for.
pub const DISK_HEADER: &str = "replica-disk";

/// A request to a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The sender's version of the list.
    pub version: u64,
    /// The request itself.
    pub body: Body,
}

/// What a member is asked to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Sync these records, and return the entries of the program that a reservation among them is
    /// for.
    Apply(Vec<Record>),
    /// Return a turn and as much of the chain that it continues as the member holds.
    Chain(Key),
    /// Return a program's entries.
    Account(Key),
    /// Adopt this list if it is newer.
    Adopt(List),
    /// Return the keys of the turns that the member holds, and its accounts.
    Keys,
    /// Like [`Self::Keys`], but return only what a VM has to hold since the latest change of the
    /// list and didn't have to hold before.
    Gained {
        /// The VM's name.
        vm: String,
        /// How many members may be lost at once.
        losses: usize,
    },
    /// Return these turns.
    Fetch(Vec<Key>),
    /// Return the member's state.
    Status,
    /// Return the member's state, or its list if it is newer.
    List,
    /// Return up to which list version the member knows all accounts.
    Accounts,
}

/// A member's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The records are on disk. Holds the entries of the program that a reservation was for.
    Applied(Vec<Entry>),
    /// The turns found, the newest first.
    Chain(Chain),
    /// A program's entries.
    Account(Vec<Entry>),
    /// What the member holds.
    Keys(Holdings),
    /// The requested turns, as far as the member holds them and they fit an answer.
    Turns(Vec<Turn>),
    /// The member's state.
    Status(Status),
    /// The member uses a newer list: this one.
    Newer(List),
    /// The member uses an older list; the sender has to send its own list first.
    Older,
    /// The member doesn't yet hold everything that was acknowledged before its list. It has stored
    /// the records that it was sent, if any.
    NotReady,
    /// The request names another disk than the VM's own, which has this number. Nothing was done.
    OtherDisk(u64),
    /// The member can't do what was asked, for this reason. For example, its disk failed or it is
    /// stopping.
    Failed(String),
    /// The list version up to which the member knows all accounts.
    Accounts(u64),
}

/// A part of a chain of turns.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chain {
    /// The turns found, the newest first.
    pub turns: Vec<Link>,
    /// The key of the next earlier turn, if the chain continues: one that the member doesn't hold
    /// or that no longer fitted the answer.
    pub next: Option<Key>,
}

/// A turn of a chain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The turn's key.
    pub key: Key,
    /// Its input and output.
    pub text: Bytes,
}

/// What a member holds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holdings {
    /// The list version up to which it holds everything that was acknowledged.
    pub ready: u64,
    /// The keys of its turns.
    pub turns: Vec<Key>,
    /// Its accounts.
    pub accounts: Vec<Account>,
}

/// A member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The disk's number.
    pub disk: u64,
    /// The version of the list that it uses.
    pub version: u64,
    /// The list version up to which it holds everything that was acknowledged.
    pub ready: u64,
}

impl Status {
    /// Returns whether the member holds everything that was acknowledged before its list.
    #[must_use]
    pub const fn has_caught_up(&self) -> bool {
        self.ready >= self.version
    }
}
