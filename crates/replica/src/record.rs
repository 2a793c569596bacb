//! The facts that are kept, and their form on disk.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

/// A frame's head: the payload's length and its checksum.
pub const HEADER_BYTES: usize = 12;
/// The longest payload in bytes. A longer length in a head is a torn write.
pub const MAX_PAYLOAD_BYTES: usize = 32 * 1024 * 1024;

/// Names a turn or a program: a digest of its id, 128 bits wide, so that two ids of all that a
/// deployment ever sees don't meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    /// Digests an id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_128(id.as_bytes()))
    }
}

/// A fact.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn that was answered whole.
    Turn(Turn),
    /// Tokens set aside for a turn before it runs.
    Reserve(Reservation),
    /// What a turn used of its reservation; nothing more comes of it.
    Settle(Settlement),
}

/// A turn that later turns may continue from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn.
    pub key: Key,
    /// The turn that it continued from.
    pub previous: Option<Key>,
    /// Its input and its output, as a later turn's prompt repeats them.
    pub text: Bytes,
}

/// Tokens set aside.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The program whose budget it is.
    pub program: Key,
    /// The attempt at a turn.
    pub turn: Key,
    /// The most that it can use.
    pub most: u32,
}

/// Tokens used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program whose budget it is.
    pub program: Key,
    /// The attempt at a turn.
    pub turn: Key,
    /// What it used.
    pub used: u32,
}

/// Renders a record as a frame: length, checksum, payload.
///
/// # Errors
///
/// Fails where the record can't be encoded.
pub fn encode_frame(record: &Record) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let payload = rmp_serde::to_vec(record)?;
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&xxh3_64(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
    Ok(out)
}

/// What stands at the head of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// A whole record, and its frame's length.
    Record(Record, usize),
    /// The bytes end within a frame; at a file's end that is a torn write.
    Incomplete,
    /// The bytes are no frame: a torn write.
    Torn,
}

/// Parses the frame at the head of `bytes`. A torn write has another checksum, so it is never
/// taken for a record.
#[must_use]
pub fn parse_frame(bytes: &[u8]) -> Parsed {
    let Some((header, rest)) = bytes.split_at_checked(HEADER_BYTES) else {
        return Parsed::Incomplete;
    };
    let (length, checksum) = header.split_at(4);
    let length = u32::from_le_bytes(length.try_into().unwrap_or_default()) as usize;
    let checksum = u64::from_le_bytes(checksum.try_into().unwrap_or_default());
    if length == 0 || length > MAX_PAYLOAD_BYTES {
        return Parsed::Torn;
    }
    let Some(payload) = rest.get(..length) else {
        return Parsed::Incomplete;
    };
    if xxh3_64(payload) != checksum {
        return Parsed::Torn;
    }
    match rmp_serde::from_slice(payload) {
        Ok(record) => Parsed::Record(record, HEADER_BYTES + length),
        Err(_) => Parsed::Torn,
    }
}
