//! What a runner is told and what it tells: orders, load, cache and counts.

use serde::Deserialize;
use serde::Serialize;

/// What an order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Forget a program's cache.
    Release,
    /// Serve a further model.
    Load,
    /// Take no new calls, finish those under way.
    Drain,
    /// Change what the runner is for.
    Role,
}

/// An order to a runner. One with a fence below the highest seen for its scope is refused with
/// 409.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// What it asks for.
    pub order: Command,
    /// The program to release.
    #[serde(default)]
    pub program: Option<String>,
    /// The model to load.
    #[serde(default)]
    pub model: Option<String>,
    /// The role to take.
    #[serde(default)]
    pub role: Option<String>,
    /// Whose fencing numbers are compared with each other: a shard, say.
    #[serde(default)]
    pub scope: String,
    /// The fencing number.
    pub fence: u64,
}

/// A load report.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// Calls in the batch.
    pub running: u32,
    /// Calls that wait for a slot.
    pub waiting: u32,
    /// Calls that fit in the batch.
    pub slots: u32,
    /// Tokens a second that a call generates when it runs alone.
    pub tokens_per_second: f64,
    /// Prompt tokens for which the cache has room.
    pub cache_tokens_free: u64,
    /// Whether it takes no new calls.
    pub leaving: bool,
    /// The report's age.
    pub age_ms: u64,
    /// Models that it serves.
    pub models: Vec<String>,
    /// Grows with each order to load a model.
    pub version: u64,
    /// What the runner is for, as the last order said.
    pub role: String,
}

/// A program in a cache report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holding {
    /// The program.
    pub program: String,
    /// Its tokens.
    pub tokens: u64,
}

/// What became of one attempt.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Attempt {
    /// The attempt's id.
    pub attempt: String,
    /// Its program.
    pub program: String,
    /// Whether it got a slot.
    pub started: bool,
    /// Tokens of its prompt.
    pub prompt: u64,
    /// Of these, how many the cache had.
    pub cached: u64,
    /// Tokens generated so far.
    pub generated: u64,
    /// Whether its answer was generated whole.
    pub finished: bool,
}

/// What has been counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stats {
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens that the cache had.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Attempts that ended before their answer was whole.
    pub aborted: u64,
    /// Orders carried out.
    pub orders: u64,
    /// Orders refused for their fence.
    pub fenced: u64,
    /// The attempts, the latest last.
    pub attempts: Vec<Attempt>,
}
