//! What is known of the balancer that callers reach VMs by.

use wire::clock::Millis;

/// How often it asks a VM whether it is ready.
pub const PROBE_INTERVAL: Millis = Millis::new(1_000);
/// Misses in a row after which it sends nothing more to a VM, unless too few others are ready.
pub const FAILURE_THRESHOLD: u32 = 2;
/// How long it takes at most to send elsewhere.
pub const DETECTION_TIME: Millis = Millis::new(PROBE_INTERVAL.as_u64() * FAILURE_THRESHOLD as u64);
