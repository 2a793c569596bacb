//! The faults that a runner shows on demand.

use serde::Deserialize;
use serde::Serialize;

/// The faults to show; `POST /faults` sets the fields that it names and leaves the others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
#[allow(clippy::struct_excessive_bools)] // switches that don't depend on each other
pub struct Faults {
    /// By what factor it is slower than set.
    pub slow: f64,
    /// Whether calls start and then generate nothing more.
    pub hang: bool,
    /// Crashes on a request whose messages contain this text; empty for none.
    pub crash_mark: String,
    /// Whether it has crashed ([`super::Crash::Break`]).
    pub crashed: bool,
    /// How many of the next answers are cut off after `cut_after` tokens.
    pub cuts: u32,
    /// Where they are cut off.
    pub cut_after: u64,
    /// How many of the next answers are generated whole and dropped before their end is sent.
    pub drop_answers: u32,
    /// How many of the next orders are dropped without effect.
    pub lose_orders: u32,
    /// Whether its load report says that it leaves, though it still takes calls.
    pub announce_leaving: bool,
    /// Whether orders with an older fence are carried out.
    pub ignore_fences: bool,
    /// How old load reports may be, in place of the settings' value.
    pub load_lag_ms: Option<u64>,
    /// How old cache reports may be, in place of the settings' value.
    pub cache_lag_ms: Option<u64>,
    /// Leaves every n-th program out of cache reports; 0 for none.
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
