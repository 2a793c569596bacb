//! Weighted rendezvous hashing: which VM should have a shard, an endpoint or a duty.
//!
//! Each VM computes the same choice from the same list of VMs, without asking anyone. A VM that
//! comes or goes moves only what it should have: with `n` VMs of one size, one part in `n`. A VM
//! of twice the size gets twice as much.

use std::cmp::Ordering;

use wire::id;
use xxhash_rust::xxh3::Xxh3;

/// A VM that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a id::Vm,
    /// Its size; one of 0 is never chosen.
    pub size: u32,
}

/// Chooses the VM that should have `subject`; `None` without a candidate of any size.
pub fn choose<'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Option<&'a id::Vm> {
    let eligible = candidates.into_iter().filter(|c| c.size > 0);
    let scored = eligible.map(|c| (score(subject, c), c.vm));
    scored.max_by(by_score).map(|(_, vm)| vm)
}

/// Chooses the `count` VMs that should have `subject`, the first first.
pub fn choose_several<'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<&'a id::Vm> {
    let eligible = candidates.into_iter().filter(|c| c.size > 0);
    let mut scored: Vec<_> = eligible.map(|c| (score(subject, c), c.vm)).collect();
    scored.sort_by(|a, b| by_score(b, a));
    scored.truncate(count);
    scored.into_iter().map(|(_, vm)| vm).collect()
}

fn by_score(a: &(f64, &id::Vm), b: &(f64, &id::Vm)) -> Ordering {
    a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1))
}

/// Draws `size / -ln(u)` with `u` uniform in (0, 1) from the hash of subject and VM. The largest
/// draw of several falls to each VM with a chance in proportion to its size.
fn score(subject: &str, candidate: Candidate<'_>) -> f64 {
    let mut hash = Xxh3::new();
    hash.update(subject.as_bytes());
    hash.update(&[0]);
    hash.update(candidate.vm.as_str().as_bytes());
    // The upper 32 bits are plenty for a choice, and convert without loss.
    let upper = u32::try_from(hash.digest() >> 32).unwrap_or(u32::MAX);
    let uniform = (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0);
    f64::from(candidate.size) / -uniform.ln()
}

#[cfg(test)]
mod tests;
