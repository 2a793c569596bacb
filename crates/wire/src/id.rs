//! Ids of the things that messages refer to, each a separate type so that one can't be mistaken for
//! another.

use std::borrow::Borrow;
use std::fmt;

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

/// The longest id in bytes. The limit keeps callers from filling a shard's index with long ids.
pub const MAX_LEN: usize = 128;

/// The reason that a text isn't an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The text is empty.
    #[display("an id can't be empty")]
    Empty,
    /// The text is longer than [`MAX_LEN`].
    #[display("an id has at most {MAX_LEN} bytes")]
    TooLong,
    /// The text has a byte outside `A-Z a-z 0-9 . _ : -`.
    #[display("an id has only letters, digits and . _ : -")]
    BadByte,
}

/// The outcome of parsing an id.
pub type Result<T> = std::result::Result<T, Fault>;

fn check(text: &str) -> Result<()> {
    if text.is_empty() {
        return Err(Fault::Empty);
    }
    if text.len() > MAX_LEN {
        return Err(Fault::TooLong);
    }
    if text
        .bytes()
        .all(|b| b.is_ascii_alphanumeric() || b".:_-".contains(&b))
    {
        return Ok(());
    }
    Err(Fault::BadByte)
}

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Box<str>);

        impl $name {
            /// Parses an id.
            ///
            /// # Errors
            ///
            /// Fails if the text is empty, too long or contains a byte that isn't allowed.
            pub fn parse(text: &str) -> Result<Self> {
                check(text)?;
                Ok(Self(text.into()))
            }

            /// Returns the id's text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = Fault;

            fn try_from(text: String) -> Result<Self> {
                check(&text)?;
                Ok(Self(text.into()))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> Self {
                id.0.into()
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_id! {
    /// A chain of dependent calls: a conversation or an assessment.
    Program
}
text_id! {
    /// A person or system that sends requests.
    Caller
}
text_id! {
    /// A machine that runs a node.
    Vm
}
text_id! {
    /// A data centre.
    Centre
}
text_id! {
    /// An endpoint: a model runner or a plain service.
    Endpoint
}
text_id! {
    /// A model that runners serve.
    Model
}
text_id! {
    /// A plain service.
    Service
}
text_id! {
    /// The name of a selector.
    Selector
}
text_id! {
    /// A caller's idempotency key.
    Key
}

/// A subset of the programs of one data centre, owned by one VM at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Shard {
    /// The data centre whose VMs may own the shard.
    pub centre: Centre,
    /// The shard's index among the data centre's shards, from 0.
    pub index: u16,
}

impl fmt::Display for Shard {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.centre, self.index)
    }
}

/// The id of one attempt of a call at an endpoint. Drawn at random by the owner, and never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Attempt(pub u64);

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// A digest of a request's content (xxh3, 64 bits), which distinguishes a repeated request from a
/// different one. It doesn't protect against a caller that constructs collisions of its own
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(pub u64);

impl Digest {
    /// Computes the digest of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(bytes))
    }
}
