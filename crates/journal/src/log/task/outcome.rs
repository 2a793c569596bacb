//! Handles the outcomes of writing batches and of offering them to other VMs.
//!
//! Prevents these failures: an outage stops the owner, and a waiter is told something false about
//! an append. Every outcome of a write or an offer is handled here.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge;
use tokio::sync::oneshot;
use wire::code::Ran;
use wire::event::Event;

use super::Lost;
use super::Task;
use super::send_to_self;
use crate::copy;
use crate::copy::replicate;
use crate::copy::replicate::Replication;
use crate::log::Command;
use crate::log::Status;
use crate::log::retry;
use crate::log::write::WriteOutcome;
use crate::snapshot;

impl Task {
    /// Handles the outcome of an attempt to write the first batch.
    pub(super) fn handle_write(&mut self, outcome: WriteOutcome) -> Option<Lost> {
        match outcome {
            WriteOutcome::Written(revision) => {
                self.write_failures = 0;
                self.handle_written(revision);
                None
            }
            WriteOutcome::Taken => Some(Lost {
                first_ran: Some(Ran::No),
            }),
            WriteOutcome::Superseded => {
                let first = self.queue.batches.front();
                let never_sent = !self.sent_before && first.is_some_and(|first| !first.offered);
                let first_ran = never_sent.then_some(Ran::No);
                Some(Lost { first_ran })
            }
            WriteOutcome::Retry(fault) => {
                self.handle_fault(&fault);
                None
            }
        }
    }

    pub(super) fn handle_written(&mut self, revision: u64) {
        let Some(first) = self.queue.batches.pop_front() else {
            return;
        };
        let seq = first.seq;
        if let Some(index) = &first.index {
            let removal = self.snapshots.note_index_set(revision, index);
            self.start_removal(removal);
        }
        if let Some(holders) = first.holders.clone() {
            self.replace_holders(holders, seq);
        }
        first.note_journaled();
        if self.queue.batches.is_empty() && !self.is_open() {
            self.end_outage(seq);
        }
    }

    /// Replaces the copy holders, and tells the previous ones which batches are in the journal so
    /// that they drop them.
    pub(super) fn replace_holders(&mut self, holders: Vec<copy::Holder>, seq: u64) {
        let (old, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { replicate::notify_drained(&old, epoch, seq).await });
        self.setup.acks = copy::acks(holders.len());
        self.setup.copy_holders = holders;
        let has_holders = self.setup.acks > 0;
        self.flags.has_holders.store(has_holders, Ordering::SeqCst);
        self.flags.changing_holders.store(false, Ordering::SeqCst);
    }

    pub(super) fn start_removal(&self, removal: snapshot::Removal) {
        let platform = Arc::clone(&self.setup.platform);
        let shard = self.setup.shard.clone();
        let (self_sender, epoch, seed) = (self.self_sender.clone(), self.epoch, self.setup.seed);
        tokio::spawn(async move {
            if snapshot::remove_superseded(platform.as_ref(), &shard, epoch, &removal, seed).await {
                send_to_self(&self_sender, Command::KeysRemoved(removal.through));
            }
        });
    }

    pub(super) fn handle_fault(&mut self, fault: &edge::Fault) {
        let shard = &self.setup.shard;
        match fault {
            // The platform answers; the queue waits for as long as the platform says.
            edge::Fault::Limited(_) => {}
            edge::Fault::Unknown(_) => {
                self.write_failures = self.write_failures.saturating_add(1);
                let seq = self.last_seq;
                log::warn!("{} shard={shard} seq={seq}: {fault}", Event::AppendUnknown);
            }
            edge::Fault::Down(_) | edge::Fault::Invalid(_) => {
                self.write_failures = self.write_failures.saturating_add(1);
            }
        }
        let had_no_effect = !matches!(fault, edge::Fault::Unknown(_));
        if let Some(first) = self.queue.batches.front_mut()
            && had_no_effect
        {
            first.sent = self.sent_before;
        }
        let outage = match fault {
            edge::Fault::Limited(_) => false,
            edge::Fault::Unknown(_) => retry::is_outage(self.write_failures),
            edge::Fault::Down(_) | edge::Fault::Invalid(_) => true,
        };
        if outage && self.is_open() {
            self.begin_outage(fault);
        }
    }

    pub(super) fn begin_outage(&mut self, fault: &edge::Fault) {
        let shard = &self.setup.shard;
        log::warn!("{} shard={shard}: {fault}", Event::OutageBegan);
        let retry_after = retry::MAX_WAIT;
        self.status.send_replace(Status::Outage { retry_after });
        for pending in &mut self.queue.batches {
            pending.withhold_intents(retry_after);
        }
        for arrival in &mut self.arrivals {
            arrival.withhold_intents(retry_after);
        }
    }

    pub(super) fn end_outage(&mut self, seq: u64) {
        let shard = &self.setup.shard;
        log::info!("{} shard={shard} seq={seq}", Event::OutageEnded);
        self.status.send_replace(Status::Open);
        self.hold_failures = 0;
        let (setup, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { replicate::notify_drained(&setup, epoch, seq).await });
    }

    /// Handles the outcome of offering a batch to other VMs.
    pub(super) fn handle_hold(&mut self, seq: u64, replication: Replication) -> Option<Lost> {
        match replication {
            Replication::Acknowledged => {
                self.hold_failures = 0;
                let batches = &mut self.queue.batches;
                if let Some(pending) = batches.iter_mut().find(|p| p.seq == seq) {
                    pending.note_copied();
                }
                None
            }
            Replication::Insufficient => {
                self.hold_failures = self.hold_failures.saturating_add(1);
                None
            }
            Replication::Fenced => Some(Lost { first_ran: None }),
        }
    }

    pub(super) async fn step_down(
        &mut self,
        sender: oneshot::Sender<Vec<copy::Batch>>,
    ) -> Vec<copy::Batch> {
        // The new owner writes the batches that it gets, so none of them may be reported as absent
        // from the journal.
        for pending in &mut self.queue.batches {
            pending.offered = true;
        }
        let remaining = self.lose(None).await;
        let _gone = sender.send(remaining.clone());
        remaining
    }

    /// Keeps the queued batches for later claimers, and tells all waiters that the shard is lost.
    pub(super) async fn lose(&mut self, first_ran: Option<Ran>) -> Vec<copy::Batch> {
        let shard = &self.setup.shard;
        let epoch = self.epoch;
        log::warn!("{} shard={shard} epoch={epoch}", Event::ShardLost);
        let remaining = self.queue.to_copies(epoch);
        // Must happen before anyone can learn of the loss and drop this log together with its
        // queue.
        self.setup.peers.keep(shard, remaining.clone()).await;
        self.status.send_replace(Status::Lost);
        self.queue.note_lost(first_ran);
        for arrival in self.arrivals.drain(..) {
            arrival.note_lost();
        }
        remaining
    }
}
