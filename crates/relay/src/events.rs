//! Splits a runner's bytes into the events of a stream as they arrive.
//!
//! Only complete events are passed on: a runner may stop in the middle of an event, and half of it
//! followed by the rest from another run would be a corrupt event.

use bytes::Buf;
use bytes::Bytes;
use bytes::BytesMut;
use derive_more::Display;
use derive_more::Error;

/// The longest event in bytes, a hundred times the longest that engines send. A longer one is a
/// fault of the sender.
pub const MAX_EVENT_BYTES: usize = 256 * 1024;

/// The longest event that is copied out of the buffer, and the most that the buffer keeps when it is empty,
/// in bytes.
const MAX_COPIED_BYTES: usize = 16 * 1024;

/// The sender's bytes are not a stream of events: an event is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// An event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, including the blank line at its end.
    pub bytes: Bytes,
    /// The event's id, if it has one.
    pub id: Option<u64>,
    /// The event's data.
    pub data: Bytes,
}

/// Splits a stream of bytes into events.
#[derive(Debug, Default)]
pub struct Reader {
    buffer: BytesMut,
    /// The bytes at the beginning of the buffer in which no event ends. They aren't searched again, as a
    /// long event may come in very small pieces.
    scanned: usize,
}

impl Reader {
    /// Adds bytes as they arrive.
    ///
    /// # Errors
    ///
    /// Fails if the incomplete event gets too long.
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the next complete event; `None` if more bytes are needed.
    pub fn pop(&mut self) -> Option<Event> {
        let found = event_end(&self.buffer[self.scanned..]);
        let Some(end) = found.map(|end| self.scanned + end) else {
            self.scanned = self.buffer.len().saturating_sub(MAX_END_BYTES - 1);
            return None;
        };
        self.scanned = 0;
        let bytes = self.take(end);
        let mut id = None;
        let mut data: Option<Bytes> = None;
        for line in bytes.split(|byte| *byte == b'\n') {
            let line = line.strip_suffix(b"\r").unwrap_or(line);
            if let Some(value) = field_value(line, b"id:") {
                id = std::str::from_utf8(value)
                    .ok()
                    .and_then(|text| text.parse().ok());
            } else if let Some(value) = field_value(line, b"data:") {
                let value = bytes.slice_ref(value);
                data =
                    Some(data.map_or_else(|| value.clone(), |before| join_lines(&before, &value)));
            }
        }
        Some(Event {
            id,
            data: data.unwrap_or_default(),
            bytes,
        })
    }

    /// Takes the first `end` bytes. Few are copied: as a part of the buffer they would keep all of it.
    fn take(&mut self, end: usize) -> Bytes {
        if end > MAX_COPIED_BYTES {
            return self.buffer.split_to(end).freeze();
        }
        let bytes = Bytes::copy_from_slice(&self.buffer[..end]);
        self.buffer.advance(end);
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_COPIED_BYTES {
            self.buffer = BytesMut::new();
        }
        bytes
    }

    /// Returns the bytes that the incomplete event may take: its buffer doubles as it grows.
    #[must_use]
    pub fn memory(&self) -> usize {
        self.buffer.len() * 2
    }

    /// Returns whether the bytes so far end within an event.
    #[must_use]
    pub fn has_partial_event(&self) -> bool {
        !self.buffer.is_empty()
    }
}

/// The longest end of an event: a line end and a blank line.
const MAX_END_BYTES: usize = 4;

/// Finds the end of the first event, which is behind its blank line.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = bytes.windows(2).position(|pair| pair == b"\n\n");
    let with_returns = bytes.windows(4).position(|four| four == b"\r\n\r\n");
    match (plain, with_returns) {
        (Some(plain), Some(with_returns)) if with_returns < plain => Some(with_returns + 4),
        (Some(plain), _) => Some(plain + 2),
        (None, with_returns) => Some(with_returns? + 4),
    }
}

fn field_value<'a>(line: &'a [u8], name: &[u8]) -> Option<&'a [u8]> {
    let value = line.strip_prefix(name)?;
    Some(value.strip_prefix(b" ").unwrap_or(value))
}

/// Joins the data lines of one event.
fn join_lines(before: &Bytes, value: &Bytes) -> Bytes {
    let mut all = BytesMut::with_capacity(before.len() + value.len() + 1);
    all.extend_from_slice(before);
    all.extend_from_slice(b"\n");
    all.extend_from_slice(value);
    all.freeze()
}

#[cfg(test)]
mod tests;
