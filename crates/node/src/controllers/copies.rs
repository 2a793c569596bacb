//! The VMs of the centre as the journal sees them: they hold each other's batches while the
//! platform is down, and yield them to a new owner.

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
use super::members::beat::Life;
use super::rendezvous;
use super::rendezvous::Candidate;
use crate::core::Core;
use crate::peer;

/// How long another VM may take: an answer waits for it, and the next holder is asked after it.
const ANSWER: Millis = Millis::new(500);

/// A batch to hold.
#[derive(Serialize, Deserialize)]
struct Hold {
    process: u64,
    shard: id::Shard,
    held: Batch,
}

/// A new owner that asks for what is held.
#[derive(Serialize, Deserialize)]
struct Collect {
    shard: id::Shard,
    epoch: u64,
}

/// Batches that are in the journal.
#[derive(Serialize, Deserialize)]
struct Drained {
    shard: id::Shard,
    epoch: u64,
    seq: u64,
}

/// The other VMs, as the journal calls them.
pub struct Others(Weak<Core>);

impl Others {
    /// Makes the journal's access to other VMs. It doesn't keep the node alive, as the node keeps
    /// the journals.
    #[must_use]
    pub fn new(core: &Arc<Core>) -> Self {
        Self(Arc::downgrade(core))
    }

    async fn ask<T: Serialize, R: serde::de::DeserializeOwned>(
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
            .map(|m| m.line.address);
        let address = address.ok_or(Fault::Unreachable)?;
        let answer = call::send(&core, address, path, value, ANSWER).await;
        answer.map_err(|_| Fault::Unreachable)
    }
}

#[async_trait]
impl Peers for Others {
    async fn hold(&self, holder: &Holder, shard: &id::Shard, held: &Batch) -> Result<()> {
        let batch = Hold {
            process: holder.incarnation,
            shard: shard.clone(),
            held: held.clone(),
        };
        self.ask::<_, Result<()>>(&holder.vm, peer::HOLD, &batch)
            .await?
    }

    async fn collect(&self, vm: &id::Vm, shard: &id::Shard, epoch: u64) -> Result<Collected> {
        let collect = Collect {
            shard: shard.clone(),
            epoch,
        };
        let core = self.0.upgrade().ok_or(Fault::Unreachable)?;
        if *vm == core.settings.vm.name {
            return yield_copies(&core, &collect).await;
        }
        self.ask::<_, Result<Collected>>(vm, peer::COLLECT, &collect)
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
        let _may_be_lost = self.ask::<_, ()>(&holder.vm, peer::DRAINED, &drained).await;
    }
}

/// How many VMs hold a shard's batches, in a centre that has as many; two of them may then be gone
/// while two acknowledge.
const HOLDERS: usize = 4;

/// Chooses the VMs that hold a shard's batches.
#[must_use]
pub fn holders(core: &Core, shard: &id::Shard) -> Vec<Holder> {
    let exchange = core.control.exchange();
    let own = exchange.table.own();
    let members = exchange.table.members().iter().map(|m| &m.line);
    let others: Vec<_> = members
        .filter(|l| l.centre == own.centre && l.vm != own.vm && l.life == Life::Up && !l.stopping)
        // One of which only the settings speak can't be named as this run of its process.
        .filter(|l| l.process != 0)
        .collect();
    let candidates = others.iter().map(|l| Candidate {
        vm: &l.vm,
        size: l.size,
    });
    let chosen = rendezvous::first(&format!("copies/{shard}"), candidates, HOLDERS);
    let process = |vm: &id::Vm| others.iter().find(|l| l.vm == *vm).map_or(0, |l| l.process);
    let holders = chosen.into_iter().map(|vm| Holder {
        vm: vm.clone(),
        incarnation: process(vm),
    });
    holders.collect()
}

/// Takes a batch to hold.
pub(super) fn hold(core: &Core, body: &[u8]) -> Option<Bytes> {
    let hold: Hold = call::decode(body)?;
    let answer = core
        .control
        .copies()
        .hold(hold.process, &hold.shard, &hold.held);
    frame::encode(&answer).ok()
}

/// Yields what is held to a new owner.
pub(super) async fn collect(core: &Core, body: &[u8]) -> Option<Bytes> {
    let collect: Collect = call::decode(body)?;
    frame::encode(&yield_copies(core, &collect).await).ok()
}

/// Drops what is in the journal.
pub(super) fn drained(core: &Core, body: &[u8]) -> Option<Bytes> {
    let drained: Drained = call::decode(body)?;
    let mut copies = core.control.copies();
    copies.drained(&drained.shard, drained.epoch, drained.seq);
    frame::encode(&()).ok()
}

async fn yield_copies(core: &Core, collect: &Collect) -> Result<Collected> {
    let held = core.registry.step_down(&collect.shard, collect.epoch).await;
    let mut copies = core.control.copies();
    copies.keep(&collect.shard, held);
    copies.collect(&collect.shard, collect.epoch)
}
