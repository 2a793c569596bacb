//! Memory of the process as reported by the kernel.

use std::fs;

/// The unit in which the kernel reports sizes, in bytes.
const KIB: u64 = 1024;

/// Returns the resident memory of the process in bytes, or zero if the kernel doesn't report it.
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
