//! The platform keys that a shard uses.
//!
//! Prevents the failure "a takeover reads the journal in a different order than it was written":
//! numbers have a fixed width, so that the platform's key order is the numeric order.

use wire::id;

/// Returns the key that names the VM that tries to own a shard. The key expires with the owner's
/// lease.
#[must_use]
pub fn owner(shard: &id::Shard) -> String {
    format!("owner/{}/{}", shard.centre, shard.index)
}

/// Returns a key of a shard's journal.
#[must_use]
pub fn journal(shard: &id::Shard, seq: u64) -> String {
    format!("{}{seq:020}", journal_prefix(shard))
}

/// Returns the common prefix of a shard's journal keys.
#[must_use]
pub fn journal_prefix(shard: &id::Shard) -> String {
    format!("journal/{}/{}/", shard.centre, shard.index)
}

/// Returns the key that names the image a takeover starts from.
#[must_use]
pub fn index(shard: &id::Shard) -> String {
    format!("snapshot/{}/{}", shard.centre, shard.index)
}

/// Returns the common prefix of all images of a shard.
#[must_use]
pub fn images_prefix(shard: &id::Shard) -> String {
    format!("{}/", index(shard))
}

/// Returns the prefix of one image. Two owners never share a prefix, so neither overwrites the
/// other's chunks.
#[must_use]
pub fn image_prefix(shard: &id::Shard, epoch: u64, seq: u64) -> String {
    format!("{}{epoch:020}-{seq:020}/", images_prefix(shard))
}

/// Returns the key of one chunk of an image.
#[must_use]
pub fn chunk(shard: &id::Shard, epoch: u64, seq: u64, chunk: u32) -> String {
    format!("{}{chunk:010}", image_prefix(shard, epoch, seq))
}
