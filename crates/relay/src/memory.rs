//! The memory of the process, as the kernel counts it.

use std::fs;

/// Bytes in the kernel's unit.
const KIB: u64 = 1024;

/// Yields the process's memory in bytes; zero where the kernel doesn't tell it.
#[must_use]
pub fn resident() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.trim().split(' ').next());
    number
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or_default()
        * KIB
}
