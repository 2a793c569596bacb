//! The orders to a runner and its reports: load, cache and statistics.

use serde::Deserialize;
use serde::Serialize;

/// The action of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Remove a program from the cache.
    Release,
    /// Serve an additional model.
    Load,
    /// Refuse new calls and finish the running ones.
    Drain,
    /// Change the role of the runner.
    Role,
}

/// An order to a runner. It is refused with status 409 if its fence is below the highest one seen
/// for its scope.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The action.
    pub order: Command,
    /// The program to release, for [`Command::Release`].
    #[serde(default)]
    pub program: Option<String>,
    /// The model to load, for [`Command::Load`].
    #[serde(default)]
    pub model: Option<String>,
    /// The new role, for [`Command::Role`].
    #[serde(default)]
    pub role: Option<String>,
    /// The scope within which fences are compared, for example a shard.
    #[serde(default)]
    pub scope: String,
    /// The fencing token.
    pub fence: u64,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Running calls.
    pub running: u32,
    /// Calls waiting for a slot.
    pub waiting: u32,
    /// Maximum number of calls in the batch.
    pub slots: u32,
    /// Tokens per second that a call generates when it is alone in the batch.
    pub tokens_per_second: f64,
    /// Free capacity of the cache in prompt tokens.
    pub cache_tokens_free: u64,
    /// Whether the runner is leaving and refuses new calls.
    pub leaving: bool,
    /// Age of the report.
    pub age_ms: u64,
    /// Models that the runner serves.
    pub models: Vec<String>,
    /// Increases with each order to load a model.
    pub version: u64,
    /// The role set by the last role order, or empty.
    pub role: String,
}

/// A cached program in a cache report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEntry {
    /// The program.
    pub program: String,
    /// Number of its cached tokens.
    pub tokens: u64,
}

/// The progress and result of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The id of the attempt.
    pub attempt: String,
    /// The program of the attempt, or empty.
    pub program: String,
    /// Whether the attempt got a slot.
    pub started: bool,
    /// Length of the prompt in tokens.
    pub prompt: u64,
    /// How many of the prompt tokens were cached.
    pub cached: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether the answer was fully generated.
    pub finished: bool,
}

/// Counters of a runner.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Attempts that ended before their answer was fully generated.
    pub aborted: u64,
    /// Executed orders.
    pub orders: u64,
    /// Orders refused because of their fence.
    pub fenced: u64,
    /// The latest attempts, oldest first.
    pub attempts: Vec<Attempt>,
}
