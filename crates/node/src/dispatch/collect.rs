//! Assembles an answer from the pieces of a stream.

use serde_json::Map;
use serde_json::Value;
use wire::chat;

/// An incomplete answer, collected over all attempts of a turn.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partial {
    content: String,
    rest: Map<String, Value>,
    tool_calls: Vec<Value>,
    pieces: u64,
}

impl Partial {
    /// Adds a piece.
    pub fn add(&mut self, delta: &Value) {
        let Some(fields) = delta.as_object() else {
            return;
        };
        self.pieces += 1;
        for (name, value) in fields {
            match (name.as_str(), value) {
                ("role", _) | (_, Value::Null) => {}
                ("content", Value::String(text)) => self.content.push_str(text),
                ("tool_calls", Value::Array(calls)) => self.add_tool_calls(calls),
                (_, value) => merge(self.rest.entry(name.clone()).or_insert(Value::Null), value),
            }
        }
    }

    /// Returns the number of pieces; each contains at least one token.
    #[must_use]
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Returns the text so far.
    #[must_use]
    pub fn content(&self) -> &str {
        &self.content
    }

    /// Returns whether the answer has no content yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty() && self.tool_calls.is_empty() && self.rest.is_empty()
    }

    /// Returns whether another endpoint can continue the answer: only text can be continued.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.tool_calls.is_empty() && self.rest.is_empty()
    }

    /// Returns the assistant's message.
    #[must_use]
    pub fn message(&self) -> chat::Message {
        let mut rest = self.rest.clone();
        let content = if self.tool_calls.is_empty() || !self.content.is_empty() {
            Value::String(self.content.clone())
        } else {
            Value::Null
        };
        if !self.tool_calls.is_empty() {
            rest.insert(
                "tool_calls".to_owned(),
                Value::Array(self.tool_calls.clone()),
            );
        }
        chat::Message {
            role: "assistant".to_owned(),
            content,
            rest,
        }
    }

    fn add_tool_calls(&mut self, calls: &[Value]) {
        for call in calls {
            let index = call.get("index").and_then(Value::as_u64);
            let at = match index.and_then(|index| usize::try_from(index).ok()) {
                Some(at) if at <= self.tool_calls.len() => at,
                _ => self.tool_calls.len(),
            };
            if at == self.tool_calls.len() {
                self.tool_calls.push(Value::Object(Map::new()));
            }
            let mut call = call.clone();
            if let Some(fields) = call.as_object_mut() {
                fields.remove("index");
            }
            merge(&mut self.tool_calls[at], &call);
        }
    }
}

/// Merges a piece into a value: concatenates strings, merges objects, and replaces anything else.
fn merge(value: &mut Value, piece: &Value) {
    match (value, piece) {
        (Value::String(text), Value::String(more)) => text.push_str(more),
        (Value::Object(fields), Value::Object(more)) => {
            for (name, piece) in more {
                merge(fields.entry(name.clone()).or_insert(Value::Null), piece);
            }
        }
        (value, piece) => *value = piece.clone(),
    }
}

#[cfg(test)]
mod tests;
