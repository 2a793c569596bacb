//! What a runner answers: tokens that depend on nothing but the conversation, so that a test knows
//! the whole answer beforehand and two runners give the same one.

use serde_json::Value;
use serde_json::json;
use wire::chat::Message;
use wire::chat::Request;
use wire::chat::Usage;
use wire::id::Digest;

use super::cache;

/// Names the length of the answer within the last user message.
const LENGTH_MARK: &str = "#tokens=";

/// What will be generated for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    tag: u16,
    /// The first token's place: a conversation that ends with the assistant's words is continued.
    pub first: u64,
    /// The place after the last token.
    pub end: u64,
    /// `stop` for the whole answer, `length` where the limit cuts it.
    pub finish: &'static str,
}

impl Plan {
    /// Plans the answer to a request; `length` is the whole answer's where the conversation names
    /// none.
    #[must_use]
    pub fn new(request: &Request, length: u64) -> Self {
        let begun = match request.messages.last() {
            Some(message) if message.role == "assistant" => 1,
            _ => 0,
        };
        let (asked, partial) = request
            .messages
            .split_at(request.messages.len().saturating_sub(begun));
        let first = partial.iter().map(words).sum();
        let wanted = asked
            .iter()
            .rfind(|message| message.role == "user")
            .and_then(|message| marked_length(&text(message)))
            .unwrap_or(length);
        let whole = wanted.max(first);
        let limit = request.max_tokens.unwrap_or(u64::MAX);
        let end = whole.min(first.saturating_add(limit));
        Self {
            tag: tag(asked),
            first,
            end,
            finish: if end < whole { "length" } else { "stop" },
        }
    }

    /// Yields the text of the token at a place.
    #[must_use]
    pub fn token(&self, place: u64) -> String {
        format!("t{:04x}.{place} ", self.tag)
    }

    /// Yields the text of everything that this request generates.
    #[must_use]
    pub fn text(&self) -> String {
        (self.first..self.end)
            .map(|place| self.token(place))
            .collect()
    }
}

/// Yields the whole answer to a conversation, as one run without interruption gives it.
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

/// Yields the text of a message; parts and `null` are rendered as JSON.
#[must_use]
pub fn text(message: &Message) -> String {
    match &message.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn words(message: &Message) -> u64 {
    match &message.content {
        Value::String(text) => text.split_whitespace().count() as u64,
        _ => 0,
    }
}

fn marked_length(text: &str) -> Option<u64> {
    let (_, after) = text.split_once(LENGTH_MARK)?;
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

/// Renders a whole answer.
#[must_use]
pub fn completion(id: &str, model: &str, text: &str, finish: &str, used: Usage) -> Value {
    json!({
        "id": id,
        "object": "chat.completion",
        "model": model,
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": finish,
        }],
        "usage": usage(used),
    })
}

/// Renders a piece of a streamed answer.
#[must_use]
pub fn chunk(id: &str, model: &str, delta: &Value) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": delta, "finish_reason": null }],
    })
}

/// Renders the last piece of a streamed answer.
#[must_use]
pub fn last_chunk(id: &str, model: &str, finish: &str, used: Usage) -> Value {
    json!({
        "id": id,
        "object": "chat.completion.chunk",
        "model": model,
        "choices": [{ "index": 0, "delta": {}, "finish_reason": finish }],
        "usage": usage(used),
    })
}

#[cfg(test)]
mod tests;
