//! Paths of the listener for VMs. Bodies are [`wire::frame`] frames, whole or in a stream.

/// Takes a [`wire::ask::Ask`], streams [`wire::ask::Reply`] frames.
pub const ASK: &str = "/peer/ask";
/// Takes a heartbeat with a digest of what the sender knows, answers the receiver's.
pub const BEAT: &str = "/peer/beat";
/// Answers the whole configuration at the receiver's revision.
pub const CONFIG: &str = "/peer/config";
/// Takes a pending batch of a shard to hold during an outage of the platform.
pub const HOLD: &str = "/peer/hold";
/// Fences a shard's earlier owner and answers the pending batches held for it.
pub const COLLECT: &str = "/peer/collect";
