//! Offers a batch to all VMs that hold a shard's copies at the same time.
//!
//! Prevents the failure "one hanging VM delays every turn of an outage": the first acknowledgements
//! suffice, and the others may arrive later.

use std::sync::Arc;

use tokio::task::JoinSet;

use super::Batch;
use super::Fault;
use super::Result;
use crate::log::Setup;

/// The outcome of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Replication {
    /// Enough VMs hold the batch.
    Acknowledged,
    /// Too few VMs hold the batch; it may be offered again.
    Insufficient,
    /// A newer owner has collected the shard's copies.
    Fenced,
}

/// Offers a batch to the holders and waits for the required acknowledgements.
pub(crate) async fn offer(setup: &Setup, batch: Batch) -> Replication {
    let mut offers = JoinSet::new();
    let batch = Arc::new(batch);
    for holder in setup.copy_holders.clone() {
        let (peers, shard) = (Arc::clone(&setup.peers), setup.shard.clone());
        let batch = Arc::clone(&batch);
        offers.spawn(async move { peers.hold(&holder, &shard, &batch).await });
    }
    let replication = count_acks(&mut offers, setup.acks).await;
    // The remaining offers still reach their VMs.
    offers.detach_all();
    replication
}

/// Tells the holders that a shard's batches up to `seq` are in the journal.
pub(crate) async fn notify_drained(setup: &Setup, epoch: u64, seq: u64) {
    for holder in &setup.copy_holders {
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
            // The VM panicked, was restarted, is full or is unreachable: no acknowledgement.
            Ok(Err(_)) | Err(_) => {}
        }
        if acks >= required {
            return Replication::Acknowledged;
        }
    }
    Replication::Insufficient
}
