//! What is known of the balancer that callers reach VMs by.

use wire::clock::Millis;

/// How often it asks a VM whether it is ready.
pub const ASKS: Millis = Millis::new(1_000);
/// Misses in a row after which it sends nothing more to a VM, unless too few others are ready.
pub const MISSES: u32 = 2;
/// How long it takes at most to send elsewhere.
pub const NOTICES: Millis = Millis::new(ASKS.as_u64() * MISSES as u64);
