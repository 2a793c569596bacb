//! The messages of the etcd v3 JSON gateway, as far as the system uses them.
//!
//! Keys and values are base64, 64-bit numbers are strings, and fields that hold their default are
//! left out of answers; names are taken in both the snake and the camel form.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde_with::DisplayFromStr;
use serde_with::PickFirst;
use serde_with::Same;
use serde_with::serde_as;

/// A 64-bit number, written as a string and also read as a number.
type Int = PickFirst<(DisplayFromStr, Same)>;

/// Bytes that stand in JSON as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Copies some bytes.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Bytes::copy_from_slice(bytes))
    }

    /// Tells whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        let bytes = STANDARD.decode(text).map_err(D::Error::custom)?;
        Ok(Self(Bytes::from(bytes)))
    }
}

/// What stands before each answer.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision when it answered.
    #[serde_as(as = "Int")]
    pub revision: u64,
}

/// A key with its value.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Pair {
    /// The key.
    pub key: Blob,
    /// The value.
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
    /// The revision that made the key.
    #[serde(alias = "createRevision")]
    #[serde_as(as = "Int")]
    pub create_revision: u64,
    /// The revision that changed it last.
    #[serde(alias = "modRevision")]
    #[serde_as(as = "Int")]
    pub mod_revision: u64,
    /// Its changes since it was made.
    #[serde_as(as = "Int")]
    pub version: u64,
    /// Its lease, or 0.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub lease: u64,
}

/// Asks for a range of keys; also names the keys to delete.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    pub key: Blob,
    /// The end, not itself asked for; empty asks for the one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The most keys to answer; 0 for all.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub limit: u64,
}

/// The keys of a range.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header.
    pub header: Header,
    /// The keys in their order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<Pair>,
    /// Whether the limit left keys out.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// How many keys there are without the limit.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub count: u64,
}

/// Sets a key.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Put {
    /// The key.
    pub key: Blob,
    /// The value.
    pub value: Blob,
    /// The lease, or 0.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub lease: u64,
}

/// The answer to [`Put`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// The header.
    pub header: Header,
}

/// The answer to a deletion.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteResponse {
    /// The header.
    pub header: Header,
    /// How many keys went.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub deleted: u64,
}

/// What a condition looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The count of changes.
    #[default]
    Version,
    /// The revision that made the key.
    Create,
    /// The revision that changed it last.
    Mod,
    /// The value.
    Value,
}

/// How a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The store has the same.
    #[default]
    Equal,
    /// The store has more.
    Greater,
    /// The store has less.
    Less,
    /// The store has something else.
    NotEqual,
}

/// A condition of a transaction. An absent key has 0 everywhere.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How it compares.
    pub result: Relation,
    /// What it looks at.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// For [`Target::Version`].
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub version: u64,
    /// For [`Target::Create`].
    #[serde(alias = "createRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub create_revision: u64,
    /// For [`Target::Mod`].
    #[serde(alias = "modRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub mod_revision: u64,
    /// For [`Target::Value`].
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Reads.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// Sets.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// Deletes.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// The answer to one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpResponse {
    /// To a read.
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    /// To a put.
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(PutResponse),
    /// To a deletion.
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    Delete(DeleteResponse),
}

/// A transaction: `success` where every condition holds, else `failure`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// The conditions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<Compare>,
    /// Run where all hold.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<Op>,
    /// Run where one fails.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<Op>,
}

/// What became of a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The header.
    pub header: Header,
    /// Whether every condition held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// The answers to the operations that ran.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<OpResponse>,
}

/// Makes, renews or ends a lease; the answer has the same fields.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The lease; 0 asks for a new id.
    #[serde(rename = "ID")]
    #[serde_as(as = "Int")]
    pub id: u64,
    /// Its span in seconds; 0 in an answer says that it has ended.
    #[serde(rename = "TTL", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub ttl: u64,
}

/// Asks for a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// What to watch, and from when on.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// The end, not itself watched; empty watches the one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The first revision to tell of; 0 for the next.
    #[serde(alias = "startRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub start_revision: u64,
}

/// The wrapper of each answer of a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamItem<T> {
    /// The answer.
    pub result: T,
}

/// One answer of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this answer says that the watch began.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// The oldest revision that can still be watched, where the watch ended for its age.
    #[serde(alias = "compactRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub compact_revision: u64,
    /// What happened.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// What happened to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// It was set.
    #[default]
    Put,
    /// It was removed.
    Delete,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// What happened.
    #[serde(rename = "type", skip_serializing_if = "is_put")]
    pub kind: Kind,
    /// The key; of a removed one only name and revision.
    pub kv: Pair,
}

/// Why a call failed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The reason in words.
    pub message: String,
    /// The gRPC status code.
    pub code: u32,
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_false(flag: &bool) -> bool {
    !flag
}

#[allow(clippy::trivially_copy_pass_by_ref)] // serde passes references
fn is_put(kind: &Kind) -> bool {
    *kind == Kind::Put
}

#[cfg(test)]
mod tests;
