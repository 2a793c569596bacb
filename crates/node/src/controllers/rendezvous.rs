//! Weighted rendezvous hashing: assigns shards, endpoints and duties to VMs.
//!
//! Each VM computes the same assignment from the same list of VMs, without communication. If a VM
//! joins or leaves, only its own share moves: with `n` VMs of one size, one in `n`. A VM of twice
//! the size gets twice the share.

use std::cmp::Ordering;

use wire::id;
use xxhash_rust::xxh3::Xxh3;

/// A VM that may be chosen.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The VM.
    pub vm: &'a id::Vm,
    /// Its size. A VM of size 0 is never chosen.
    pub size: u32,
}

/// Chooses the VM that `subject` is assigned to; `None` if no candidate has a size above 0.
pub fn choose<'a>(
    subject: &str,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Option<&'a id::Vm> {
    let eligible = candidates.into_iter().filter(|c| c.size > 0);
    let scored = eligible.map(|c| (score(subject, c), c.vm));
    scored.max_by(by_score).map(|(_, vm)| vm)
}

/// Chooses `count` VMs for `subject`, the most preferred first.
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

/// Computes `size / -ln(u)`, with `u` uniform in (0, 1) from the hash of subject and VM. The
/// probability that a VM has the highest score is proportional to its size.
fn score(subject: &str, candidate: Candidate<'_>) -> f64 {
    let mut hash = Xxh3::new();
    hash.update(subject.as_bytes());
    hash.update(&[0]);
    hash.update(candidate.vm.as_str().as_bytes());
    // The upper 32 bits suffice for a choice, and convert to `f64` without loss.
    let upper = u32::try_from(hash.digest() >> 32).unwrap_or(u32::MAX);
    let uniform = (f64::from(upper) + 0.5) / (f64::from(u32::MAX) + 1.0);
    f64::from(candidate.size) / -uniform.ln()
}

#[cfg(test)]
mod tests;
