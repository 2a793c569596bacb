//! Draws the consequences of what became of a batch.
//!
//! Exists for the failures "an outage stops the owner" and "someone is told of an append what isn't
//! so": every end of a write or of an offer to other VMs is judged here.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge;
use tokio::sync::oneshot;
use wire::code::Ran;
use wire::event::Event;

use super::Lost;
use super::Task;
use super::tell;
use crate::copy;
use crate::copy::spread;
use crate::copy::spread::Spread;
use crate::log::Command;
use crate::log::Status;
use crate::log::retry;
use crate::log::write::Step;
use crate::snapshot;

impl Task {
    /// Draws the consequence of a try to write the first batch.
    pub(super) fn settle(&mut self, step: Step) -> Option<Lost> {
        match step {
            Step::Done(revision) => {
                self.tries = 0;
                self.done(revision);
                None
            }
            Step::Taken => Some(Lost {
                head: Some(Ran::No),
            }),
            Step::Passed => {
                let head = self.line.batches.front();
                let never = !self.resent && head.is_some_and(|head| !head.offered);
                let head = never.then_some(Ran::No);
                Some(Lost { head })
            }
            Step::Again(fault) => {
                self.again(&fault);
                None
            }
        }
    }

    pub(super) fn done(&mut self, revision: u64) {
        let Some(head) = self.line.batches.pop_front() else {
            return;
        };
        let seq = head.seq;
        if let Some(index) = &head.index {
            let removal = self.snapshots.indexed(revision, index);
            self.remove(removal);
        }
        if let Some(holders) = head.holders.clone() {
            self.rename(holders, seq);
        }
        head.done();
        if self.line.batches.is_empty() && !self.is_open() {
            self.end_outage(seq);
        }
    }

    /// Has other VMs hold copies from now on; the earlier ones let go of what is in the journal.
    pub(super) fn rename(&mut self, holders: Vec<copy::Holder>, seq: u64) {
        let (old, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { spread::drained(&old, epoch, seq).await });
        self.setup.acks = copy::acks(holders.len());
        self.setup.copies = holders;
        let copied = self.setup.acks > 0;
        self.flags.copied.store(copied, Ordering::SeqCst);
        self.flags.renaming.store(false, Ordering::SeqCst);
    }

    pub(super) fn remove(&self, removal: snapshot::Removal) {
        let platform = Arc::clone(&self.setup.platform);
        let shard = self.setup.shard.clone();
        let (own, epoch, seed) = (self.own.clone(), self.epoch, self.setup.seed);
        tokio::spawn(async move {
            if snapshot::remove(platform.as_ref(), &shard, epoch, &removal, seed).await {
                tell(&own, Command::Removed(removal.through));
            }
        });
    }

    pub(super) fn again(&mut self, fault: &edge::Fault) {
        let shard = &self.setup.shard;
        match fault {
            // The platform answers; the line waits for as long as it says.
            edge::Fault::Limited(_) => {}
            edge::Fault::Unknown(_) => {
                self.tries = self.tries.saturating_add(1);
                let seq = self.last;
                log::warn!("{} shard={shard} seq={seq}: {fault}", Event::AppendUnknown);
            }
            edge::Fault::Down(_) | edge::Fault::Invalid(_) => {
                self.tries = self.tries.saturating_add(1);
            }
        }
        let had_no_effect = !matches!(fault, edge::Fault::Unknown(_));
        if let Some(head) = self.line.batches.front_mut()
            && had_no_effect
        {
            head.sent = self.resent;
        }
        let outage = match fault {
            edge::Fault::Limited(_) => false,
            edge::Fault::Unknown(_) => retry::is_outage(self.tries),
            edge::Fault::Down(_) | edge::Fault::Invalid(_) => true,
        };
        if outage && self.is_open() {
            self.begin_outage(fault);
        }
    }

    pub(super) fn begin_outage(&mut self, fault: &edge::Fault) {
        let shard = &self.setup.shard;
        log::warn!("{} shard={shard}: {fault}", Event::OutageBegan);
        let retry_after = retry::LONGEST;
        self.status.send_replace(Status::Outage { retry_after });
        for pending in &mut self.line.batches {
            pending.withhold(retry_after);
        }
        for arrival in &mut self.arrivals {
            arrival.withhold(retry_after);
        }
    }

    pub(super) fn end_outage(&mut self, seq: u64) {
        let shard = &self.setup.shard;
        log::info!("{} shard={shard} seq={seq}", Event::OutageEnded);
        self.status.send_replace(Status::Open);
        self.hold_tries = 0;
        let (setup, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { spread::drained(&setup, epoch, seq).await });
    }

    /// Draws the consequence of offering a batch to other VMs.
    pub(super) fn copied(&mut self, seq: u64, spread: Spread) -> Option<Lost> {
        match spread {
            Spread::Enough => {
                self.hold_tries = 0;
                let batches = &mut self.line.batches;
                if let Some(pending) = batches.iter_mut().find(|p| p.seq == seq) {
                    pending.copied();
                }
                None
            }
            Spread::Short => {
                self.hold_tries = self.hold_tries.saturating_add(1);
                None
            }
            Spread::Fenced => Some(Lost { head: None }),
        }
    }

    pub(super) async fn step_down(
        &mut self,
        sender: oneshot::Sender<Vec<copy::Batch>>,
    ) -> Vec<copy::Batch> {
        // The new owner writes what it gets, so none of it may be called absent from the journal.
        for pending in &mut self.line.batches {
            pending.offered = true;
        }
        let left = self.lose(None).await;
        let _gone = sender.send(left.clone());
        left
    }

    /// Keeps what was in line for later claimers, and tells everyone that the shard is lost.
    pub(super) async fn lose(&mut self, head: Option<Ran>) -> Vec<copy::Batch> {
        let shard = &self.setup.shard;
        let epoch = self.epoch;
        log::warn!("{} shard={shard} epoch={epoch}", Event::ShardLost);
        let left = self.line.copies(epoch);
        // Before anyone can learn of the loss and drop this log with its line.
        self.setup.peers.keep(shard, left.clone()).await;
        self.status.send_replace(Status::Lost);
        self.line.lose(head);
        for arrival in self.arrivals.drain(..) {
            arrival.lose();
        }
        left
    }
}
