//! Memory of the process as reported by the kernel.

use std::fs;

/// The unit in which the kernel reports sizes, in bytes.
const KIB: u64 = 1024;

/// What a process takes without requests, in bytes.
const PROCESS_BYTES: u64 = 12_000_000;
/// The factor by which the shares of a process's memory together are smaller than the whole.
const SHARES_NUMERATOR: u64 = 9;
const SHARES_DENOMINATOR: u64 = 8;

/// Returns the bytes of which the shares of a process with `total` bytes are taken: with a small memory
/// less than all, so that what the process itself takes remains.
#[must_use]
pub fn shareable(total: u64) -> u64 {
    let rest = total.saturating_sub(PROCESS_BYTES);
    total.min(rest / SHARES_DENOMINATOR * SHARES_NUMERATOR)
}

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
