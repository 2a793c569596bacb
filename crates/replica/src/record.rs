//! The records that members store, and their form on disk.

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_128;

/// Length of a frame's header in bytes: the payload's length and its checksum.
pub const HEADER_BYTES: usize = 12;
/// The longest payload in bytes. A longer length in a header is a torn write.
pub const MAX_PAYLOAD_BYTES: usize = 32 * 1024 * 1024;

/// Identifies a turn or a program: a digest of its id, 128 bits wide so that no two ids in a
/// deployment's lifetime collide.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key(pub u128);

impl Key {
    /// Computes the key of an id.
    #[must_use]
    pub fn of(id: &str) -> Self {
        Self(xxh3_128(id.as_bytes()))
    }
}

/// An immutable record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// A turn that was answered completely.
    Turn(Turn),
    /// Tokens reserved for a turn before it runs.
    Reserve(Reservation),
    /// What a turn used of its reservation. No further record follows it.
    Settle(Settlement),
}

/// A turn that later turns may continue from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Turn {
    /// The turn.
    pub key: Key,
    /// The turn that it continues.
    pub previous: Option<Key>,
    /// Its input and output, as the prompt of a later turn repeats them.
    pub text: Bytes,
}

/// A reservation of tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The program whose budget is charged.
    pub program: Key,
    /// The attempt at a turn.
    pub turn: Key,
    /// The most tokens that it can use.
    pub most: u32,
}

/// The tokens used of a reservation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Settlement {
    /// The program whose budget is charged.
    pub program: Key,
    /// The attempt at a turn.
    pub turn: Key,
    /// The tokens that it used.
    pub used: u32,
}

/// Encodes a record as a frame: length, checksum, payload.
///
/// # Errors
///
/// Fails if the record can't be encoded.
pub fn encode_frame(record: &Record) -> Result<Vec<u8>, rmp_serde::encode::Error> {
    let payload = rmp_serde::to_vec(record)?;
    let mut out = Vec::with_capacity(HEADER_BYTES + payload.len());
    let length = u32::try_from(payload.len()).unwrap_or(u32::MAX);
    out.extend_from_slice(&length.to_le_bytes());
    out.extend_from_slice(&xxh3_64(&payload).to_le_bytes());
    out.extend_from_slice(&payload);
    Ok(out)
}

/// What the start of a byte sequence was parsed as.
#[derive(Debug, PartialEq, Eq)]
pub enum Parsed {
    /// A whole record, and the length of its frame.
    Record(Record, usize),
    /// The bytes end within a frame. At the end of a file that is a torn write.
    Incomplete,
    /// The bytes are not a valid frame: a torn write.
    Torn,
}

/// Parses the frame at the start of `bytes`. The checksum of a torn write doesn't match, so it is
/// never taken for a record.
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
