//! Tells the head of an answer from the heads of two that were joined.
//!
//! Where an answer breaks off within its status line or a header's value, and its sender goes on with
//! another answer on the same connection, the bytes parse as one head: the status of the first answer with
//! the length and body of the second.

use hyper::Response;
use hyper::ext::ReasonPhrase;

/// The beginning of a status line, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// Returns whether a status line begins within the reason or a header's value.
#[must_use]
pub fn is_joined<B>(answer: &Response<B>) -> bool {
    let reason = answer.extensions().get::<ReasonPhrase>();
    let reason = reason.map_or(&[][..], |reason| reason.as_bytes());
    let mut values = answer.headers().values();
    holds_status_line(reason) || values.any(|value| holds_status_line(value.as_bytes()))
}

fn holds_status_line(text: &[u8]) -> bool {
    let mut starts = text.windows(VERSION.len()).enumerate();
    starts.any(|(at, start)| start == VERSION && begins_with_status(&text[at + VERSION.len()..]))
}

/// Returns whether a text begins with the rest of a version, and a status.
fn begins_with_status(text: &[u8]) -> bool {
    match text {
        [minor, b' ', status @ ..] => {
            minor.is_ascii_digit()
                && status.len() >= 3
                && status[..3].iter().all(u8::is_ascii_digit)
                && !status.get(3).is_some_and(u8::is_ascii_alphanumeric)
        }
        _ => false,
    }
}

#[cfg(test)]
mod tests;
