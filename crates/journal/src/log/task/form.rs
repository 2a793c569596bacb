//! Gives appends their places and begins the work on them.
//!
//! Exists for the failure "each turn costs a write of the platform": what arrives while a batch is
//! on its way, or while the rate budget is short, goes into the next.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge::Weight;
use wire::clock::Millis;

use super::PATIENCE;
use super::Slot;
use super::Task;
use super::named;
use super::tell;
use crate::copy;
use crate::copy::spread;
use crate::copy::spread::Spread;
use crate::log::Command;
use crate::log::line::Arrival;
use crate::log::line::Pending;
use crate::log::retry;
use crate::log::write;
use crate::log::write::Item;
use crate::log::write::Step;
use crate::record::MAX_BYTES;
use crate::record::Record;
use crate::snapshot;

impl Task {
    /// Gives arrivals their places. While the platform answers, one batch is in line, so that the
    /// next gathers what arrives meanwhile; during an outage likewise for the copies.
    pub(super) fn form(&mut self) {
        let room = if self.is_open() {
            self.line.batches.is_empty() && (self.paced || self.arrivals.is_empty())
        } else {
            self.line.unheld().is_none()
        };
        if let Some(image) = self.snapshots.cut() {
            let written = snapshot::Task {
                platform: Arc::clone(&self.setup.platform),
                shard: self.setup.shard.clone(),
                epoch: self.epoch,
                seq: self.last,
                seed: self.setup.seed,
            };
            let floor = self.snapshots.floor();
            let own = self.own.clone();
            tokio::spawn(async move {
                let index = snapshot::write(&written, &image, floor).await;
                tell(&own, Command::Written(index));
            });
        }
        if !room || (self.arrivals.is_empty() && !self.snapshots.is_ready()) {
            return;
        }
        self.paced = false;
        let mut bytes = 0;
        let fits = self.arrivals.iter().take_while(|arrival| {
            bytes += arrival.bytes;
            bytes <= MAX_BYTES
        });
        let count = self.snapshots.limit(fits.count());
        let mut arrivals: Vec<Arrival> = self.arrivals.drain(..count).collect();
        let records = arrivals.iter_mut().flat_map(|a| a.records.drain(..));
        let records: Vec<Record> = records.collect();
        let holders = records.iter().rev().find_map(named);
        let seq = self.last + 1;
        let nonce = write::nonce(self.setup.seed, seq);
        // Records that can't be encoded have no size and were refused when they arrived.
        let value = write::encode(&self.setup.vm, nonce, records).unwrap_or_default();
        self.last = seq;
        self.snapshots.formed(count, value.len());
        if self.snapshots.is_due() {
            self.flags.due.store(true, Ordering::Relaxed);
        }
        let index = self.snapshots.take_ready();
        let mut pending = Pending::new(seq, value, index, arrivals);
        pending.holders = holders;
        self.line.batches.push_back(pending);
    }

    /// Has the next batch wait for the rate budget before it is formed, so that what arrives
    /// meanwhile goes along. Without it a burst of commits spends the budget, and the starts of
    /// turns queue behind batches of one record each.
    ///
    /// A batch that only holds patient records leaves half of the budget to others: where the
    /// budget is short it goes along with the next start, or after [`PATIENCE`].
    pub(super) fn begin_pace(&mut self, pace: Slot<()>) -> Slot<()> {
        let idle = self.arrivals.is_empty() || !self.line.batches.is_empty();
        if self.paced || idle || !self.is_open() {
            self.pacing = None;
            return None;
        }
        let weight = if self.arrivals.iter().all(|arrival| arrival.patient) {
            Weight::Background
        } else {
            Weight::Commit
        };
        if pace.is_some() && self.pacing == Some(weight) {
            return pace;
        }
        self.pacing = Some(weight);
        let platform = Arc::clone(&self.setup.platform);
        Some(Box::pin(async move {
            let paced = platform.pace(weight);
            if tokio::time::timeout(PATIENCE.as_duration(), paced)
                .await
                .is_err()
            {
                platform.pace(Weight::Commit).await;
            }
        }))
    }

    pub(super) fn begin_write(&mut self) -> Slot<Step> {
        let delay = match self.tries {
            0 => Millis::ZERO,
            tries => retry::wait(tries, self.setup.seed),
        };
        self.write_after(delay)
    }

    pub(super) fn write_after(&mut self, delay: Millis) -> Slot<Step> {
        let index_revision = self.snapshots.revision();
        let head = self.line.batches.front_mut()?;
        let item = Item {
            seq: head.seq,
            value: head.value.clone(),
            index: head.index.as_ref().map(snapshot::Index::encode),
            index_revision,
        };
        self.resent = head.sent;
        head.sent = true;
        let platform = Arc::clone(&self.setup.platform);
        let shard = self.setup.shard.clone();
        Some(Box::pin(async move {
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.as_duration()).await;
            }
            write::send(platform.as_ref(), &shard, &item).await
        }))
    }

    pub(super) fn begin_hold(&mut self) -> Slot<(u64, Spread)> {
        if self.is_open() || self.setup.acks == 0 {
            return None;
        }
        let epoch = self.epoch;
        let delay = match self.hold_tries {
            0 => Millis::ZERO,
            tries => retry::wait(tries, self.setup.seed),
        };
        let pending = self.line.unheld()?;
        pending.offered = true;
        let held = copy::Batch {
            epoch,
            seq: pending.seq,
            value: pending.value.clone(),
        };
        let setup = self.setup.clone();
        Some(Box::pin(async move {
            if delay > Millis::ZERO {
                tokio::time::sleep(delay.as_duration()).await;
            }
            let seq = held.seq;
            let spread = spread::hold(&setup, held).await;
            (seq, spread)
        }))
    }
}
