//! Server-sent events, as far as the chat format uses them: `data:` lines that end with a blank
//! line.

use bytes::Bytes;
use bytes::BytesMut;

/// The longest event in bytes; a longer one is a fault of the sender.
pub const MAX_EVENT: usize = 4 * 1024 * 1024;

/// What the sender put on the wire isn't a stream of events.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("an event is longer than {MAX_EVENT} bytes")]
pub struct TooLong;

/// Takes events off a stream of bytes.
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
    /// Fails where the event under way gets longer than [`MAX_EVENT`].
    pub fn push(&mut self, bytes: &[u8]) -> Result<(), TooLong> {
        if self.buffer.len() + bytes.len() > MAX_EVENT {
            return Err(TooLong);
        }
        self.buffer.extend_from_slice(bytes);
        Ok(())
    }

    /// Takes the data of the next whole event; `None` where more bytes are needed.
    pub fn pop(&mut self) -> Option<Bytes> {
        loop {
            let rest = &self.buffer[self.scanned..];
            let Some(at) = rest.iter().position(|b| *b == b'\n') else {
                self.scanned = self.buffer.len();
                return None;
            };
            let line = self.buffer.split_to(self.scanned + at + 1).freeze();
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
