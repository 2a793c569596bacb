//! Puts an answer together from the pieces of a stream.

use serde_json::Map;
use serde_json::Value;
use wire::chat;

/// An answer under way, over all attempts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Partial {
    content: String,
    rest: Map<String, Value>,
    tools: Vec<Value>,
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
                ("tool_calls", Value::Array(calls)) => self.add_tools(calls),
                (_, value) => extend(self.rest.entry(name.clone()).or_insert(Value::Null), value),
            }
        }
    }

    /// Yields how many pieces came; each holds at least one token.
    #[must_use]
    pub fn pieces(&self) -> u64 {
        self.pieces
    }

    /// Yields the text so far.
    #[must_use]
    pub fn content(&self) -> &str {
        &self.content
    }

    /// Tells whether nothing was said yet.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.content.is_empty() && self.tools.is_empty() && self.rest.is_empty()
    }

    /// Tells whether another endpoint can go on from here: only text can be continued.
    #[must_use]
    pub fn can_resume(&self) -> bool {
        self.tools.is_empty() && self.rest.is_empty()
    }

    /// Yields the assistant's message.
    #[must_use]
    pub fn message(&self) -> chat::Message {
        let mut rest = self.rest.clone();
        let content = if self.tools.is_empty() || !self.content.is_empty() {
            Value::String(self.content.clone())
        } else {
            Value::Null
        };
        if !self.tools.is_empty() {
            rest.insert("tool_calls".to_owned(), Value::Array(self.tools.clone()));
        }
        chat::Message {
            role: "assistant".to_owned(),
            content,
            rest,
        }
    }

    fn add_tools(&mut self, calls: &[Value]) {
        for call in calls {
            let index = call.get("index").and_then(Value::as_u64);
            let at = match index.and_then(|index| usize::try_from(index).ok()) {
                Some(at) if at <= self.tools.len() => at,
                _ => self.tools.len(),
            };
            if at == self.tools.len() {
                self.tools.push(Value::Object(Map::new()));
            }
            let mut call = call.clone();
            if let Some(fields) = call.as_object_mut() {
                fields.remove("index");
            }
            extend(&mut self.tools[at], &call);
        }
    }
}

/// Merges a piece into a value: texts are joined, objects merged, all else replaced.
fn extend(value: &mut Value, piece: &Value) {
    match (value, piece) {
        (Value::String(text), Value::String(more)) => text.push_str(more),
        (Value::Object(fields), Value::Object(more)) => {
            for (name, piece) in more {
                extend(fields.entry(name.clone()).or_insert(Value::Null), piece);
            }
        }
        (value, piece) => *value = piece.clone(),
    }
}

#[cfg(test)]
mod tests;
