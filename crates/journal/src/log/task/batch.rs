//! Forms batches from appends and starts the work on them.
//!
//! Prevents the failure "each turn costs one write to the platform": appends that arrive while a
//! batch is being written, or while the rate budget is short, share the next batch.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge::Priority;
use wire::clock::Millis;

use super::MAX_DEFERRAL;
use super::Slot;
use super::Task;
use super::changed_holders;
use super::send_to_self;
use crate::copy;
use crate::copy::replicate;
use crate::copy::replicate::Replication;
use crate::log::Command;
use crate::log::queue::Arrival;
use crate::log::queue::PendingBatch;
use crate::log::retry;
use crate::log::write;
use crate::log::write::KeyWrite;
use crate::log::write::WriteOutcome;
use crate::record::MAX_BYTES;
use crate::record::Record;
use crate::snapshot;

impl Task {
    /// Forms a batch from the arrivals. While the platform answers, the queue holds one batch at a
    /// time, so that the next batch gathers what arrives in the meantime. During an outage, a batch
    /// is formed once enough other VMs hold all queued ones, for the same reason.
    pub(super) fn form_batch(&mut self) {
        let may_form = if self.is_open() {
            self.queue.batches.is_empty() && (self.paced || self.arrivals.is_empty())
        } else {
            self.queue.unheld().is_none()
        };
        if let Some(image) = self.snapshots.take_requested() {
            let context = snapshot::Context {
                platform: Arc::clone(&self.setup.platform),
                shard: self.setup.shard.clone(),
                epoch: self.epoch,
                seq: self.last_seq,
                seed: self.setup.seed,
            };
            let floor = self.snapshots.floor();
            let self_sender = self.self_sender.clone();
            tokio::spawn(async move {
                let index = snapshot::write_image(&context, &image, floor).await;
                send_to_self(&self_sender, Command::ImageWritten(index));
            });
        }
        if !may_form || (self.arrivals.is_empty() && !self.snapshots.is_ready()) {
            return;
        }
        self.paced = false;
        let mut bytes = 0;
        let fits = self.arrivals.iter().take_while(|arrival| {
            bytes += arrival.bytes;
            bytes <= MAX_BYTES
        });
        let count = self.snapshots.limit_batch(fits.count());
        let mut arrivals: Vec<Arrival> = self.arrivals.drain(..count).collect();
        let records = arrivals.iter_mut().flat_map(|a| a.records.drain(..));
        let records: Vec<Record> = records.collect();
        let holders = records.iter().rev().find_map(changed_holders);
        let seq = self.last_seq + 1;
        let nonce = write::nonce(self.setup.seed, seq);
        // Records that can't be encoded have no size and were refused on arrival.
        let value = write::encode(&self.setup.vm, nonce, records).unwrap_or_default();
        self.last_seq = seq;
        self.snapshots.note_batch(count, value.len());
        if self.snapshots.is_due() {
            self.flags.snapshot_due.store(true, Ordering::Relaxed);
        }
        let index = self.snapshots.take_ready();
        let mut pending = PendingBatch::new(seq, value, index, arrivals);
        pending.holders = holders;
        self.queue.batches.push_back(pending);
    }

    /// Makes the next batch wait for the rate budget before it is formed, so that it includes what
    /// arrives in the meantime. Without this wait, a burst of commits uses up the budget, and the
    /// starts of turns queue behind batches of one record each.
    ///
    /// A batch of only deferrable records leaves half of the budget to other writes. If the budget
    /// is short, it is written together with the next turn start, or after [`MAX_DEFERRAL`].
    pub(super) fn begin_pace(&mut self, pace: Slot<()>) -> Slot<()> {
        let nothing_to_pace = self.arrivals.is_empty() || !self.queue.batches.is_empty();
        if self.paced || nothing_to_pace || !self.is_open() {
            self.pacing = None;
            return None;
        }
        let weight = if self.arrivals.iter().all(|arrival| arrival.deferrable) {
            Priority::Background
        } else {
            Priority::Commit
        };
        if pace.is_some() && self.pacing == Some(weight) {
            return pace;
        }
        self.pacing = Some(weight);
        let platform = Arc::clone(&self.setup.platform);
        Some(Box::pin(async move {
            let paced = platform.wait_for_budget(weight);
            if tokio::time::timeout(MAX_DEFERRAL.as_duration(), paced)
                .await
                .is_err()
            {
                platform.wait_for_budget(Priority::Commit).await;
            }
        }))
    }

    pub(super) fn begin_write(&mut self) -> Slot<WriteOutcome> {
        let delay = match self.write_failures {
            0 => Millis::ZERO,
            failures => retry::backoff(failures, self.setup.seed),
        };
        self.write_after(delay)
    }

    pub(super) fn write_after(&mut self, delay: Millis) -> Slot<WriteOutcome> {
        let index_revision = self.snapshots.revision();
        let first = self.queue.batches.front_mut()?;
        let key_write = KeyWrite {
            seq: first.seq,
            value: first.value.clone(),
            index: first.index.as_ref().map(snapshot::Index::encode),
            index_revision,
        };
        self.sent_before = first.sent;
        first.sent = true;
        let platform = Arc::clone(&self.setup.platform);
        let shard = self.setup.shard.clone();
        Some(Box::pin(async move {
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.as_duration()).await;
            }
            write::send(platform.as_ref(), &shard, &key_write).await
        }))
    }

    pub(super) fn begin_hold(&mut self) -> Slot<(u64, Replication)> {
        if self.is_open() || self.setup.acks == 0 {
            return None;
        }
        let epoch = self.epoch;
        let delay = match self.hold_failures {
            0 => Millis::ZERO,
            failures => retry::backoff(failures, self.setup.seed),
        };
        let pending = self.queue.unheld()?;
        pending.offered = true;
        let batch = copy::Batch {
            epoch,
            seq: pending.seq,
            value: pending.value.clone(),
        };
        let setup = self.setup.clone();
        Some(Box::pin(async move {
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.as_duration()).await;
            }
            let seq = batch.seq;
            let replication = replicate::offer(&setup, batch).await;
            (seq, replication)
        }))
    }
}
