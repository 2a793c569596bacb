//! Offers one batch to the VMs that hold a shard's copies, all at once.
//!
//! Exists for the failure "one VM that hangs holds up every turn of an outage": the first
//! acknowledgements count, and the others may come when they like.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::Batch;
use super::Fault;
use super::Result;
use crate::log::Setup;

/// What became of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Replication {
    /// Enough VMs hold the batch.
    Acknowledged,
    /// Too few do; it may be offered again.
    Insufficient,
    /// A newer owner has collected the shard's copies.
    Fenced,
}

/// Offers a batch.
pub(crate) async fn offer(setup: &Setup, held: Batch) -> Replication {
    let mut offers = JoinSet::new();
    let held = Arc::new(held);
    for holder in setup.copies.clone() {
        let (peers, shard) = (Arc::clone(&setup.peers), setup.shard.clone());
        let held = Arc::clone(&held);
        offers.spawn(async move { peers.hold(&holder, &shard, &held).await });
    }
    let replication = count_acks(&mut offers, setup.acks).await;
    // The rest still reaches the other VMs.
    offers.detach_all();
    replication
}

/// Tells the VMs that a shard's batches up to `seq` are in the journal.
pub(crate) async fn notify_drained(setup: &Setup, epoch: u64, seq: u64) {
    for holder in &setup.copies {
        let peers = &setup.peers;
        peers.drained(holder, &setup.shard, epoch, seq).await;
    }
}

async fn count_acks(offers: &mut JoinSet<Result<()>>, required: usize) -> Replication {
    let mut acks = 0;
    while let Some(answer) = offers.join_next().await {
        match answer {
            Ok(Ok(())) => acks += 1,
            Ok(Err(Fault::Fenced(_))) => return Replication::Fenced,
            // Panicked, restarted, full or out of reach: no acknowledgement.
            Ok(Err(_)) | Err(_) => {}
        }
        if acks >= required {
            return Replication::Acknowledged;
        }
    }
    Replication::Insufficient
}
