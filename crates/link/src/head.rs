//! Tells the head of an answer from heads that are none, although they can be parsed.
//!
//! An interim answer that ends HTTP on its connection is the answer to no request that asked for no other
//! protocol.
//!
//! Where an answer breaks off within its status line or a header's value, and its sender goes on with
//! another answer on the same connection, the bytes parse as one head: the status of the first answer with
//! the length and body of the second.

use derive_more::Display;
use derive_more::Error;
use hyper::HeaderMap;
use hyper::Response;
use hyper::body::Body;
use hyper::ext::ReasonPhrase;
use hyper::header::TRANSFER_ENCODING;

/// The status codes from this one on are undefined (RFC 9110, section 15).
const FIRST_UNDEFINED_STATUS: u16 = 600;
/// The beginning of a status line, up to the minor version.
const VERSION: &[u8] = b"HTTP/1.";

/// Why a head is none of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The peer goes on in another protocol.
    #[display("an interim answer in place of one")]
    Interim,
    /// Its status is none of the protocol's, and promises nothing.
    #[display("{_0} is no status of the protocol")]
    Status(#[error(not(source))] u16),
    /// It consists of the heads of two answers.
    #[display("an answer begins within the head of another one")]
    Joined,
}

/// The result of a check.
pub type Result = std::result::Result<(), Fault>;

/// Checks that a head is one of a final answer.
///
/// # Errors
///
/// Fails if the answer is an interim one, its status is undefined, or a status line begins within the reason or a
/// header's value.
pub fn check<B>(answer: &Response<B>) -> Result {
    if answer.status().is_informational() {
        return Err(Fault::Interim);
    }
    let status = answer.status().as_u16();
    if status >= FIRST_UNDEFINED_STATUS {
        return Err(Fault::Status(status));
    }
    if is_joined(answer) {
        return Err(Fault::Joined);
    }
    Ok(())
}

/// Returns whether the head of an answer says where its body ends. Otherwise the body ends with the connection,
/// which looks the same where the peer breaks off.
pub fn states_end<B: Body>(answer: &Response<B>) -> bool {
    answer.body().size_hint().exact().is_some() || is_chunked(answer.headers())
}

/// Returns whether the last transfer coding is that in chunks.
fn is_chunked(headers: &HeaderMap) -> bool {
    let last = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    let codings = last.and_then(|value| value.to_str().ok());
    let coding = codings.and_then(|codings| codings.rsplit(',').next());
    coding.is_some_and(|coding| coding.trim().eq_ignore_ascii_case("chunked"))
}

fn is_joined<B>(answer: &Response<B>) -> bool {
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
