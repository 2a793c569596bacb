//! The messages of the etcd v3 JSON gateway that the system uses.
//!
//! Keys and values are base64, 64-bit numbers are strings, and responses omit fields that hold
//! their default. Field names are read in snake case and camel case.

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

/// A 64-bit number, which is written as a string and read from a string or a number.
type Int = PickFirst<(DisplayFromStr, Same)>;

/// Bytes, which are base64 in JSON.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Blob {
    /// Copies `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(Bytes::copy_from_slice(bytes))
    }

    /// Returns whether there are no bytes.
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

/// The header of each response.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Header {
    /// The store's revision at the time of the response.
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
    /// The revision that created the key.
    #[serde(alias = "createRevision")]
    #[serde_as(as = "Int")]
    pub create_revision: u64,
    /// The revision that last changed the key.
    #[serde(alias = "modRevision")]
    #[serde_as(as = "Int")]
    pub mod_revision: u64,
    /// The number of changes since the key was created.
    #[serde_as(as = "Int")]
    pub version: u64,
    /// The key's lease, or 0.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub lease: u64,
}

/// Requests or deletes a range of keys.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Range {
    /// The first key.
    pub key: Blob,
    /// The exclusive end. If empty, the range is the one key.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The most keys to return; 0 for all.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub limit: u64,
}

/// The response to a range request.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RangeResponse {
    /// The header.
    pub header: Header,
    /// The keys in key order.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub kvs: Vec<Pair>,
    /// Whether keys were left out because of the limit.
    #[serde(skip_serializing_if = "is_false")]
    pub more: bool,
    /// How many keys there would be without the limit.
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

/// The response to [`Put`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct PutResponse {
    /// The header.
    pub header: Header,
}

/// The response to a deletion.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct DeleteResponse {
    /// The header.
    pub header: Header,
    /// How many keys were deleted.
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub deleted: u64,
}

/// The property of a key that a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Target {
    /// The number of changes.
    #[default]
    Version,
    /// The revision that created the key.
    Create,
    /// The revision that last changed the key.
    Mod,
    /// The value.
    Value,
}

/// How a condition compares.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum Relation {
    /// The stored one is equal.
    #[default]
    Equal,
    /// The stored one is greater.
    Greater,
    /// The stored one is less.
    Less,
    /// The stored one differs.
    NotEqual,
}

/// A condition of a transaction. For an absent key, all numbers are 0.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Compare {
    /// How the stored property must compare.
    pub result: Relation,
    /// The property to compare.
    pub target: Target,
    /// The key.
    pub key: Blob,
    /// The operand of [`Target::Version`].
    #[serde(skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub version: u64,
    /// The operand of [`Target::Create`].
    #[serde(alias = "createRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub create_revision: u64,
    /// The operand of [`Target::Mod`].
    #[serde(alias = "modRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub mod_revision: u64,
    /// The operand of [`Target::Value`].
    #[serde(skip_serializing_if = "Blob::is_empty")]
    pub value: Blob,
}

/// One operation of a transaction.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Op {
    /// Reads keys.
    #[serde(rename = "request_range", alias = "requestRange")]
    Range(Range),
    /// Sets a key.
    #[serde(rename = "request_put", alias = "requestPut")]
    Put(Put),
    /// Deletes keys.
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    Delete(Range),
}

/// The response to one operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OpResponse {
    /// The response to a read.
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    /// The response to a put.
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(PutResponse),
    /// The response to a deletion.
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    Delete(DeleteResponse),
}

/// A transaction: runs `success` if every condition holds, and `failure` otherwise.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Txn {
    /// The conditions.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub compare: Vec<Compare>,
    /// The operations to run if all conditions hold.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub success: Vec<Op>,
    /// The operations to run if a condition fails.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub failure: Vec<Op>,
}

/// The response to a transaction.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TxnResponse {
    /// The header.
    pub header: Header,
    /// Whether every condition held.
    #[serde(skip_serializing_if = "is_false")]
    pub succeeded: bool,
    /// The responses to the operations that ran.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub responses: Vec<OpResponse>,
}

/// Grants, renews or revokes a lease. The response has the same fields.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Lease {
    /// The lease's id. In a grant, 0 requests a new one.
    #[serde(rename = "ID")]
    #[serde_as(as = "Int")]
    pub id: u64,
    /// The time to live in seconds. In a response, 0 means that the lease has ended.
    #[serde(rename = "TTL", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub ttl: u64,
}

/// Requests a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Watch {
    /// What to watch.
    #[serde(alias = "createRequest")]
    pub create_request: WatchCreate,
}

/// The keys to watch, and from which revision on.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchCreate {
    /// The first key.
    pub key: Blob,
    /// The exclusive end. If empty, only the one key is watched.
    #[serde(alias = "rangeEnd", skip_serializing_if = "Blob::is_empty")]
    pub range_end: Blob,
    /// The first revision to report; 0 for the next one.
    #[serde(alias = "startRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub start_revision: u64,
}

/// The wrapper of each response in a stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct StreamItem<T> {
    /// The response.
    pub result: T,
}

/// One response of a watch.
#[serde_as]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WatchResponse {
    /// The header.
    pub header: Header,
    /// Whether this response confirms that the watch has begun.
    #[serde(skip_serializing_if = "is_false")]
    pub created: bool,
    /// Whether the watch has ended.
    #[serde(skip_serializing_if = "is_false")]
    pub canceled: bool,
    /// The oldest revision that can still be watched, if the watch ended because its start revision
    /// is no longer kept.
    #[serde(alias = "compactRevision", skip_serializing_if = "is_zero")]
    #[serde_as(as = "Int")]
    pub compact_revision: u64,
    /// The changes.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub events: Vec<Event>,
}

/// The kind of change to a key.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Kind {
    /// The key was set.
    #[default]
    Put,
    /// The key was removed.
    Delete,
}

/// One change of a watched key.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Event {
    /// The kind of change.
    #[serde(rename = "type", skip_serializing_if = "is_put")]
    pub kind: Kind,
    /// The key. For a removed key, only its name and revision are set.
    pub kv: Pair,
}

/// The body of an error response.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Fault {
    /// The error message.
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
