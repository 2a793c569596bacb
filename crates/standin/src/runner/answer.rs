//! The answers of a runner. Their tokens depend only on the conversation, so that a test knows the
//! whole answer beforehand and all runners give the same answer.

use serde_json::Value;
use serde_json::json;
use wire::chat::Message;
use wire::chat::Request;
use wire::chat::Usage;
use wire::id::Digest;

use super::cache;

/// Precedes the length of the answer in the last user message.
const LENGTH_MARKER: &str = "#tokens=";

/// The tokens to generate for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Identifies the conversation; part of each token.
    tag: u16,
    /// Index of the first token; above 0 if the conversation ends with a partial answer, which is
    /// then continued.
    pub first: u64,
    /// Index after the last token.
    pub end: u64,
    /// The finish reason: `stop` for the whole answer, `length` if `max_tokens` cuts it.
    pub finish: &'static str,
}

impl Plan {
    /// Plans the answer to a request. `length` is the length of the whole answer in tokens, unless
    /// the conversation sets it.
    #[must_use]
    pub fn new(request: &Request, length: u64) -> Self {
        let partial_messages = match request.messages.last() {
            Some(message) if message.role == "assistant" => 1,
            _ => 0,
        };
        let (prompt, partial) = request
            .messages
            .split_at(request.messages.len().saturating_sub(partial_messages));
        let first = partial.iter().map(count_words).sum();
        let full_length = prompt
            .iter()
            .rfind(|message| message.role == "user")
            .and_then(|message| marked_length(&text(message)))
            .unwrap_or(length);
        let full_end = full_length.max(first);
        let limit = request.max_tokens.unwrap_or(u64::MAX);
        let end = full_end.min(first.saturating_add(limit));
        Self {
            tag: tag(prompt),
            first,
            end,
            finish: if end < full_end { "length" } else { "stop" },
        }
    }

    /// Returns the text of the token at `index`.
    #[must_use]
    pub fn token(&self, index: u64) -> String {
        format!("t{:04x}.{index} ", self.tag)
    }

    /// Returns the text of all tokens that this request generates.
    #[must_use]
    pub fn text(&self) -> String {
        (self.first..self.end)
            .map(|index| self.token(index))
            .collect()
    }
}

/// Returns the whole answer to a conversation, as one uninterrupted run generates it.
#[must_use]
pub fn whole(messages: &[Message], length: u64) -> String {
    let request = Request {
        model: String::new(),
        messages: messages.to_vec(),
        stream: false,
        max_tokens: None,
        rest: serde_json::Map::new(),
    };
    Plan::new(&request, length).text()
}

fn tag(messages: &[Message]) -> u16 {
    let digests = cache::parts(messages).into_iter().map(|part| part.digest.0);
    let bytes: Vec<u8> = digests.flat_map(u64::to_be_bytes).collect();
    let folded = Digest::of(&bytes).0 & u64::from(u16::MAX);
    u16::try_from(folded).unwrap_or_default()
}

/// Returns the text of a message; content that is not a string is rendered as JSON.
#[must_use]
pub fn text(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn count_words(message: &Message) -> u64 {
    match &message.content {
        Value::String(text) => text.split_whitespace().count() as u64,
        _ => 0,
    }
}

fn marked_length(text: &str) -> Option<u64> {
    let (_, after) = text.split_once(LENGTH_MARKER)?;
    let digits = after.split(|c: char| !c.is_ascii_digit()).next()?;
    digits.parse().ok()
}

fn usage(usage: Usage) -> Value {
    json!({
        "prompt_tokens": usage.prompt_tokens,
        "completion_tokens": usage.completion_tokens,
        "total_tokens": usage.prompt_tokens + usage.completion_tokens,
        "cached_tokens": usage.cached_tokens,
        "prompt_tokens_details": { "cached_tokens": usage.cached_tokens },
    })
}

/// Builds a whole answer.
#[must_use]
pub fn completion(id: &str, model: &str, text: &str, finish: &str, token_usage: Usage) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish,
        }],
        "usage": usage(token_usage),
    })
}

/// Builds a chunk of a streamed answer.
#[must_use]
pub fn chunk(id: &str, model: &str, delta: &Value) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": null }],
    })
}

/// Builds the last chunk of a streamed answer.
#[must_use]
pub fn last_chunk(id: &str, model: &str, finish: &str, token_usage: Usage) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
        "usage": usage(token_usage),
    })
}

#[cfg(test)]
mod tests;
