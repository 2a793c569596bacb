//! Rendezvous hashing: whoever ranks the same endpoints by the same id gets the same order, without
//! messages, and an endpoint that leaves changes the order of no others.

/// Returns an endpoint's weight for an id (the finalizer of `SplitMix64`).
#[must_use]
pub(crate) fn weight(id: u64, endpoint: u64) -> u64 {
    let mut z = id.rotate_left(32) ^ endpoint;
    z = (z ^ (z >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    z ^ (z >> 31)
}
