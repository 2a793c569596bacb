//! The journal's access to the other VMs of the centre: they hold each other's batches while the
//! platform is down, and return them to a new owner.

use std::sync::Arc;
use std::sync::Weak;

use async_trait::async_trait;
use bytes::Bytes;
use journal::copy::Batch;
use journal::copy::Collected;
use journal::copy::Fault;
use journal::copy::Holder;
use journal::copy::Peers;
use journal::copy::Result;
use serde::Deserialize;
use serde::Serialize;
use wire::clock::Millis;
use wire::frame;
use wire::id;

use super::call;
use super::members::heartbeat::Liveness;
use super::rendezvous;
use super::rendezvous::Candidate;
use crate::core::Core;
use crate::peer;

/// How long another VM may take to answer. A caller's answer waits for it, and the next holder is
/// asked only afterwards.
const ANSWER_TIMEOUT: Millis = Millis::new(500);

/// A batch to hold.
#[derive(Serialize, Deserialize)]
struct Hold {
    process: u64,
    shard: id::Shard,
    held: Batch,
}

/// A new owner's request for the held batches.
#[derive(Serialize, Deserialize)]
struct Collect {
    shard: id::Shard,
    epoch: u64,
}

/// Batches that have reached the journal.
#[derive(Serialize, Deserialize)]
struct Drained {
    shard: id::Shard,
    epoch: u64,
    seq: u64,
}

/// Calls other VMs for the journal.
pub struct Client(Weak<Core>);

impl Client {
    /// Makes the journal's access to other VMs. It holds a weak reference because the node owns the
    /// journals.
    #[must_use]
    pub fn new(core: &Arc<Core>) -> Self {
        Self(Arc::downgrade(core))
    }

    async fn call<T: Serialize, R: serde::de::DeserializeOwned>(
        &self,
        vm: &id::Vm,
        path: &str,
        value: &T,
    ) -> Result<R> {
        let core = self.0.upgrade().ok_or(Fault::Unreachable)?;
        let address = core
            .control
            .exchange()
            .table
            .find(vm)
            .map(|m| m.status.address);
        let address = address.ok_or(Fault::Unreachable)?;
        let answer = call::send(&core, address, path, value, ANSWER_TIMEOUT).await;
        answer.map_err(|_| Fault::Unreachable)
    }
}

#[async_trait]
impl Peers for Client {
    async fn hold(&self, holder: &Holder, shard: &id::Shard, held: &Batch) -> Result<()> {
        let batch = Hold {
            process: holder.incarnation,
            shard: shard.clone(),
            held: held.clone(),
        };
        self.call::<_, Result<()>>(&holder.vm, peer::HOLD, &batch)
            .await?
    }

    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> Result<Collected> {
        let collect = Collect {
            shard: shard.clone(),
            epoch,
        };
        let core = self.0.upgrade().ok_or(Fault::Unreachable)?;
        if *vm == core.settings.vm.name {
            return collect_copies(&core, &collect).await;
        }
        self.call::<_, Result<Collected>>(vm, peer::COLLECT, &collect)
            .await?
    }

    async fn keep(&self, shard: &id::Shard, held: Vec<Batch>) {
        if let Some(core) = self.0.upgrade() {
            core.control.copies().keep(shard, held);
        }
    }

    async fn drained(&self, holder: &Holder, shard: &id::Shard, epoch: u64, seq: u64) {
        let drained = Drained {
            shard: shard.clone(),
            epoch,
            seq,
        };
        let _may_be_lost = self
            .call::<_, ()>(&holder.vm, peer::DRAINED, &drained)
            .await;
    }
}

/// Number of VMs that hold a shard's batches, in a centre that has as many. Two of them may then
/// fail while two acknowledge.
const MAX_HOLDERS: usize = 4;

/// Chooses the VMs that hold a shard's batches.
#[must_use]
pub fn holders(core: &Core, shard: &id::Shard) -> Vec<Holder> {
    let exchange = core.control.exchange();
    let own = exchange.table.own();
    let members = exchange.table.members().iter().map(|m| &m.status);
    let others: Vec<_> = members
        .filter(|s| {
            s.centre == own.centre && s.vm != own.vm && s.liveness == Liveness::Up && !s.stopping
        })
        // A VM known from the settings only has no known process, which a holder needs.
        .filter(|s| s.process != 0)
        .collect();
    let candidates = others.iter().map(|s| Candidate {
        vm: &s.vm,
        size: s.size,
    });
    let chosen = rendezvous::choose_several(&format!("copies/{shard}"), candidates, MAX_HOLDERS);
    let process = |vm: &id::Vm| others.iter().find(|s| s.vm == *vm).map_or(0, |s| s.process);
    let holders = chosen.into_iter().map(|vm| Holder {
        vm: vm.clone(),
        incarnation: process(vm),
    });
    holders.collect()
}

/// Stores a batch for another VM.
pub(super) fn hold(core: &Core, body: &[u8]) -> Option<Bytes> {
    let hold: Hold = call::decode(body)?;
    let answer = core
        .control
        .copies()
        .hold(hold.process, &hold.shard, &hold.held);
    frame::encode(&answer).ok()
}

/// Returns the held batches to a new owner.
pub(super) async fn collect(core: &Core, body: &[u8]) -> Option<Bytes> {
    let collect: Collect = call::decode(body)?;
    frame::encode(&collect_copies(core, &collect).await).ok()
}

/// Drops the batches that have reached the journal.
pub(super) fn drained(core: &Core, body: &[u8]) -> Option<Bytes> {
    let drained: Drained = call::decode(body)?;
    let mut copies = core.control.copies();
    copies.drained(&drained.shard, drained.epoch, drained.seq);
    frame::encode(&()).ok()
}

async fn collect_copies(core: &Core, collect: &Collect) -> Result<Collected> {
    let held = core.registry.step_down(&collect.shard, collect.epoch).await;
    let mut copies = core.control.copies();
    copies.keep(&collect.shard, held);
    copies.collect(&collect.shard, collect.epoch)
}
