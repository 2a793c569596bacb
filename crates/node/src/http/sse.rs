//! The part of server-sent events that the chat format uses: `data:` lines, each followed by a
//! blank line.

use bytes::Bytes;
use bytes::BytesMut;

/// The maximum length of an event in bytes. A longer one is a fault of the sender.
pub const MAX_EVENT_BYTES: usize = 4 * 1024 * 1024;

/// An event is longer than [`MAX_EVENT_BYTES`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {MAX_EVENT_BYTES} bytes")]
pub struct TooLong;

/// Extracts events from a stream of bytes.
#[derive(Debug, Default)]
pub struct Events {
    buffer: BytesMut,
    scanned: usize,
}

impl Events {
    /// Adds bytes as they arrive.
    ///
    /// # Errors
    ///
    /// Fails if the current event gets longer than [`MAX_EVENT_BYTES`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT_BYTES {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes and returns the data of the next complete event; `None` if more bytes are needed.
    pub fn pop(&mut self) -> Option<Bytes> {
        loop {
            let rest = &self.buffer[self.scanned..];
            let Some(end) = rest.iter().position(|b| *b == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let line = self.buffer.split_to(self.scanned + end + 1).freeze();
            self.scanned = 0;
            if let Some(data) = line.strip_prefix(b"data:") {
                return Some(line.slice_ref(data.trim_ascii()));
            }
        }
    }
}

/// Renders one event.
#[must_use]
pub fn event(data: &str) -> Bytes {
    Bytes::from(format!("data: {data}\n\n"))
}

#[cfg(test)]
mod tests;
