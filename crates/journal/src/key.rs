//! The names of the platform's keys that a shard uses.
//!
//! Exists for the failure "a takeover reads the journal in another order than it was written":
//! numbers have a fixed width, so that the platform's order of keys is theirs.

use wire::id;

/// Yields the key that says who tries to own a shard; goes with the owner's lease.
#[must_use]
pub fn owner(shard: &id::Shard) -> String {
    format!("owner/{}/{}", shard.centre, shard.index)
}

/// Yields a key of a shard's journal.
#[must_use]
pub fn journal(shard: &id::Shard, seq: u64) -> String {
    format!("{}{seq:020}", journal_prefix(shard))
}

/// Yields the prefix of a shard's journal.
#[must_use]
pub fn journal_prefix(shard: &id::Shard) -> String {
    format!("journal/{}/{}/", shard.centre, shard.index)
}

/// Yields the key that names the image a takeover begins with.
#[must_use]
pub fn index(shard: &id::Shard) -> String {
    format!("snapshot/{}/{}", shard.centre, shard.index)
}

/// Yields the prefix of all images of a shard.
#[must_use]
pub fn images_prefix(shard: &id::Shard) -> String {
    format!("{}/", index(shard))
}

/// Yields the prefix of one image. Two owners never share one, so neither writes into the other's.
#[must_use]
pub fn image_prefix(shard: &id::Shard, epoch: u64, seq: u64) -> String {
    format!("{}{epoch:020}-{seq:020}/", images_prefix(shard))
}

/// Yields a key of an image.
#[must_use]
pub fn chunk(shard: &id::Shard, epoch: u64, seq: u64, chunk: u32) -> String {
    format!("{}{chunk:010}", image_prefix(shard, epoch, seq))
}
