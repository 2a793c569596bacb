//! The chat-completions format that callers and model runners speak.
//!
//! Only the fields that the system uses are named. All others are passed through unchanged.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

/// One message of a conversation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The author's role: `system`, `user`, `assistant` or `tool`.
    pub role: String,
    /// The message's content: text, parts or `null`.
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
    /// The conversation, or only its new messages if the server keeps the history.
    pub messages: Vec<Message>,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
    /// The largest number of tokens in the answer.
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

/// The tokens used by one call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// The tokens of the prompt: the conversation so far.
    pub prompt_tokens: u64,
    /// Tokens generated.
    pub completion_tokens: u64,
    /// The prompt tokens found in the engine's cache. Some engines omit the field.
    #[serde(default)]
    pub cached_tokens: u64,
}

/// A complete answer, as the owner commits it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Answer {
    /// The assistant's message.
    pub message: Message,
    /// Why the model stopped: `stop`, `length` or `tool_calls`.
    pub finish: String,
    /// Tokens used.
    pub usage: Usage,
}
