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
pub(crate) enum Spread {
    /// Enough VMs hold the batch.
    Enough,
    /// Too few do; it may be offered again.
    Short,
    /// A newer owner has collected the shard's copies.
    Fenced,
}

/// Offers a batch.
pub(crate) async fn hold(setup: &Setup, held: Batch) -> Spread {
    let mut offers = JoinSet::new();
    let held = Arc::new(held);
    for holder in setup.copies.clone() {
        let (peers, shard) = (Arc::clone(&setup.peers), setup.shard.clone());
        let held = Arc::clone(&held);
        offers.spawn(async move { peers.hold(&holder, &shard, &held).await });
    }
    let spread = count(&mut offers, setup.acks).await;
    // The rest still reaches the other VMs.
    offers.detach_all();
    spread
}

/// Tells the VMs that a shard's batches up to `seq` are in the journal.
pub(crate) async fn drained(setup: &Setup, epoch: u64, seq: u64) {
    for holder in &setup.copies {
        let peers = &setup.peers;
        peers.drained(holder, &setup.shard, epoch, seq).await;
    }
}

async fn count(offers: &mut JoinSet<Result<()>>, wanted: usize) -> Spread {
    let mut acks = 0;
    while let Some(offer) = offers.join_next().await {
        match offer {
            Ok(Ok(())) => acks += 1,
            Ok(Err(Fault::Fenced(_))) => return Spread::Fenced,
            // Panicked, restarted, full or out of reach: no acknowledgement.
            Ok(Err(_)) | Err(_) => {}
        }
        if acks >= wanted {
            return Spread::Enough;
        }
    }
    Spread::Short
}
