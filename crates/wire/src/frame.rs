//! The encoding of messages between VMs: frames of a version, a length and a `MessagePack` body.
//!
//! The body has named fields, so that a newer version can add a field without breaking older VMs.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the frame layout. Adding fields to a body doesn't change it.
pub const VERSION: u8 = 1;
/// The longest body in bytes. A longer one is an error, so that a wrong length causes no large
/// allocation.
pub const MAX_BODY: usize = 16 * 1024 * 1024;
/// The length of the header in bytes: one byte of version and four of body length.
const HEADER_LEN: usize = 5;

/// The reason that a frame can't be encoded or decoded.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The frame has an unknown version.
    #[display("frame version {_0} isn't known")]
    #[from(ignore)]
    Version(#[error(not(source))] u8),
    /// The body is longer than [`MAX_BODY`].
    #[display("frame of {_0} bytes is too long")]
    #[from(ignore)]
    TooLong(#[error(not(source))] usize),
    /// The body can't be decoded.
    #[display("frame body: {_0}")]
    Decode(rmp_serde::decode::Error),
    /// The value can't be encoded.
    #[display("frame body: {_0}")]
    Encode(rmp_serde::encode::Error),
}

/// The outcome of encoding or decoding a frame.
pub type Result<T> = std::result::Result<T, Fault>;

/// Encodes a value as one frame.
///
/// # Errors
///
/// Fails if the value can't be encoded or its encoding is longer than [`MAX_BODY`].
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    let body = rmp_serde::to_vec_named(value)?;
    let len = u32::try_from(body.len()).map_err(|_| Fault::TooLong(body.len()))?;
    if body.len() > MAX_BODY {
        return Err(Fault::TooLong(body.len()));
    }
    let mut out = BytesMut::with_capacity(HEADER_LEN + body.len());
    out.put_u8(VERSION);
    out.put_u32(len);
    out.put_slice(&body);
    Ok(out.freeze())
}

/// Decodes and removes the first frame of a buffer. Returns `None` if the frame is incomplete.
///
/// # Errors
///
/// Fails if the version is unknown, or the body is longer than [`MAX_BODY`] or can't be decoded.
/// The buffer can't be used afterwards.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>> {
    if buffer.len() < HEADER_LEN {
        return Ok(None);
    }
    if buffer[0] != VERSION {
        return Err(Fault::Version(buffer[0]));
    }
    let len = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]) as usize;
    if len > MAX_BODY {
        return Err(Fault::TooLong(len));
    }
    if buffer.len() < HEADER_LEN + len {
        return Ok(None);
    }
    buffer.advance(HEADER_LEN);
    let body = buffer.split_to(len);
    Ok(Some(rmp_serde::from_slice(&body)?))
}
