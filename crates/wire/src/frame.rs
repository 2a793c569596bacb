//! Frames between VMs: a version, a length and a `MessagePack` body with named fields, so that
//! a VM of a newer version can add a field without breaking an older one.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// The version of the frame's layout; fields may be added to a body without a new version.
pub const VERSION: u8 = 1;
/// The longest body in bytes; a longer one is a fault, not a reason to allocate.
pub const MAX_BODY: usize = 16 * 1024 * 1024;
/// Version byte and body length.
const HEAD: usize = 5;

/// Why bytes aren't a frame.
#[derive(Debug, Display, Error, From)]
pub enum Fault {
    /// The frame has another version.
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
/// Fails where the value can't be encoded or is longer than [`MAX_BODY`].
pub fn encode<T: Serialize>(value: &T) -> Result<Bytes> {
    let body = rmp_serde::to_vec_named(value)?;
    let len = u32::try_from(body.len()).map_err(|_| Fault::TooLong(body.len()))?;
    if body.len() > MAX_BODY {
        return Err(Fault::TooLong(body.len()));
    }
    let mut out = BytesMut::with_capacity(HEAD + body.len());
    out.put_u8(VERSION);
    out.put_u32(len);
    out.put_slice(&body);
    Ok(out.freeze())
}

/// Takes one frame off the front of a buffer; `None` where the buffer doesn't hold all of it yet.
///
/// # Errors
///
/// Fails on another version, a body over [`MAX_BODY`] or one that can't be decoded; the buffer is
/// of no use afterwards.
pub fn decode<T: DeserializeOwned>(buffer: &mut BytesMut) -> Result<Option<T>> {
    if buffer.len() < HEAD {
        return Ok(None);
    }
    if buffer[0] != VERSION {
        return Err(Fault::Version(buffer[0]));
    }
    let len = u32::from_be_bytes([buffer[1], buffer[2], buffer[3], buffer[4]]) as usize;
    if len > MAX_BODY {
        return Err(Fault::TooLong(len));
    }
    if buffer.len() < HEAD + len {
        return Ok(None);
    }
    buffer.advance(HEAD);
    let body = buffer.split_to(len);
    Ok(Some(rmp_serde::from_slice(&body)?))
}
