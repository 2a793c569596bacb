//! How many cases a search plays, and from which seed.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Plays `cases` of them, or as many as the environment names.
pub fn runs(cases: u32, seed: u64) -> Config {
    let named = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: named.and_then(|n| n.parse().ok()).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
