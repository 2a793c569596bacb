//! The number of cases and the seed of a property test.

use proptest::test_runner::Config;
use proptest::test_runner::RngSeed;

/// Returns a configuration that runs `cases` cases, or the number given by the environment variable
/// `PROPTEST_CASES`.
pub fn runs(cases: u32, seed: u64) -> Config {
    let named = std::env::var("PROPTEST_CASES").ok();
    Config {
        cases: named.and_then(|n| n.parse().ok()).unwrap_or(cases),
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    }
}
