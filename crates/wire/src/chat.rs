//! The chat-completions format that callers and model runners speak.
//!
//! Only the fields that the system acts on are named; all others are passed through untouched.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// Who speaks: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// What is said: text, parts or `null`.
    #[serde(default)]
    pub content: Value,
    /// The fields that are passed through, such as `tool_calls`.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// A request for one completion.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    /// The model's name.
    pub model: String,
    /// The conversation, or its new messages where the server holds the history.
    pub messages: Vec<Message>,
    /// Whether the answer comes in parts.
    #[serde(default)]
    pub stream: bool,
    /// The most tokens that the answer may have.
    #[serde(
        default,
        alias = "max_completion_tokens",
        skip_serializing_if = "Option::is_none"
    )]
    pub max_tokens: Option<u64>,
    /// The fields that are passed through.
    #[serde(flatten)]
    pub rest: Map<String, Value>,
}

/// Tokens used by one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the conversation so far.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// Prompt tokens that the engine's cache had; absent from engines that don't tell.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// A whole answer as the owner commits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message.
    pub message: Message,
    /// Why the model stopped: `stop`, `length` or `tool_calls`.
    pub finish: String,
    /// Tokens used.
    pub usage: Usage,
}
