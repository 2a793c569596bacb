//! The faults that a runner can inject.

use serde::Deserialize;
use serde::Serialize;

/// The faults to inject. `POST /faults` sets the fields in its body and leaves the others
/// unchanged.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)] // independent switches
pub struct Faults {
    /// Factor by which the runner is slower than its settings say.
    pub slow: f64,
    /// Whether running calls stop generating and hang.
    pub hang: bool,
    /// Text in a message that makes the runner crash; empty for none.
    pub crash_mark: String,
    /// Whether the runner has crashed, see [`super::Crash::Break`].
    pub crashed: bool,
    /// How many of the next answers break off after `cut_after` tokens.
    pub cuts: u32,
    /// Number of tokens after which answers break off.
    pub cut_after: u64,
    /// How many of the next answers are fully generated but break off before their end is sent.
    pub drop_answers: u32,
    /// How many of the next orders lose their connection and have no effect.
    pub lose_orders: u32,
    /// Whether the load report says that the runner is leaving, although it still accepts calls.
    pub announce_leaving: bool,
    /// Whether orders with a lower fence than seen before are executed.
    pub ignore_fences: bool,
    /// Maximum age of load reports; overrides [`Settings::lag`](super::Settings::lag).
    pub load_lag_ms: Option<u64>,
    /// Maximum age of cache reports; overrides [`Settings::lag`](super::Settings::lag).
    pub cache_lag_ms: Option<u64>,
    /// Omits every n-th program from cache reports; 0 omits none.
    pub cache_gap: usize,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            slow: 1.0,
            hang: false,
            crash_mark: String::new(),
            crashed: false,
            cuts: 0,
            cut_after: 0,
            drop_answers: 0,
            lose_orders: 0,
            announce_leaving: false,
            ignore_fences: false,
            load_lag_ms: None,
            cache_lag_ms: None,
            cache_gap: 0,
        }
    }
}
