//! Events of a stream, cut out of the runner's bytes as they come.
//!
//! Only whole events are passed on: a runner may stop in the middle of one, and half an event
//! followed by the rest from another run would be neither.

use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// The longest event in bytes; a longer one is a fault of the sender. A hundred times the longest
/// that engines send.
pub const MAX_EVENT: usize = 256 * 1024;

/// What the sender put on the wire isn't a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("an event is longer than {MAX_EVENT} bytes")]
pub struct TooLong;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Its bytes, the blank line at its end included.
    pub bytes: Bytes,
    /// Its id, where it has one.
    pub id: Option<u64>,
    /// Its data.
    pub data: Bytes,
}

/// Takes events off a stream of bytes.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
}

impl Reader {
    /// Adds bytes as they arrive.
    ///
    /// # Errors
    ///
    /// Fails where the event under way gets too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next whole event; `None` where more bytes are needed.
    pub fn pop(&mut self) -> Option<Event> {
        let end = end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        let mut id = None;
        let mut data: Option<Bytes> = None;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field(line, b"id:") {
                id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok());
            } else if let Some(value) = field(line, b"data:") {
                let value = bytes.slice_ref(value);
                data = Some(data.map_or_else(|| value.clone(), |before| joined(&before, &value)));
            }
        }
        Some(Event {
            id,
            data: data.unwrap_or_default(),
            bytes,
        })
    }

    /// Tells whether the bytes so far end within an event.
    #[must_use]
    pub fn is_within(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// Finds the end of the first event: behind its blank line.
fn end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n");
    let returned = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (plain, returned) {
        (Some(plain), Some(returned)) if returned < plain => Some(returned + 4),
        (Some(plain), _) => Some(plain + 2),
        (None, returned) => Some(returned? + 4),
    }
}

fn field<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Joins the data lines of one event.
fn joined(before: &Bytes, value: &Bytes) -> Bytes {
    let mut all = BytesMut::with_capacity(before.len() + value.len() + 1);
    all.extend_from_slice(before);
    all.extend_from_slice(b"\n");
    all.extend_from_slice(value);
    all.freeze()
}

#[cfg(test)]
mod tests;
