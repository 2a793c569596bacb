//! Properties of the load balancer through which callers reach the VMs.

use wire::clock::Millis;

/// Interval at which the balancer probes a VM's readiness.
pub const PROBE_INTERVAL: Millis = Millis::new(1_000);
/// Consecutive failed probes after which the balancer sends no more requests to a VM, unless too
/// few other VMs are ready.
pub const FAILURE_THRESHOLD: u32 = 2;
/// Longest time until the balancer stops sending to a VM that is no longer ready.
pub const DETECTION_TIME: Millis = Millis::new(PROBE_INTERVAL.as_u64() * FAILURE_THRESHOLD as u64);
