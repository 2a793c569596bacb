//! The ordered batches that wait for the journal, and the waiters for each of them.
//!
//! Prevents the failure "a caller is told something false about an append": what may be said about
//! each append depends on whether its batch ever left this VM.

use std::collections::VecDeque;

use bytes::Bytes;
use tokio::sync::oneshot;
use wire::clock::Millis;
use wire::code::Ran;

use super::Durable;
use super::Fault;
use super::Result;
use crate::copy;
use crate::record::Record;
use crate::snapshot;

/// Waits for the result of an append.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Whether the append contains an intent, for which copies don't count.
    intent: bool,
    sender: oneshot::Sender<Result<Durable>>,
}

/// An append that isn't part of a batch yet.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) records: Vec<Record>,
    pub(crate) bytes: usize,
    /// Whether it may wait and share a write with other appends, see [`is_deferrable`].
    pub(crate) deferrable: bool,
    waiter: Option<Waiter>,
}

/// A batch with its journal key assigned; its bytes never change.
#[derive(Debug)]
pub(crate) struct PendingBatch {
    pub(crate) seq: u64,
    pub(crate) value: Bytes,
    pub(crate) index: Option<snapshot::Index>,
    /// The copy holders that apply once the batch is in the journal.
    pub(crate) holders: Option<Vec<copy::Holder>>,
    /// Whether it was sent to the platform.
    pub(crate) sent: bool,
    /// Whether it was offered to another VM.
    pub(crate) offered: bool,
    /// Whether enough other VMs hold it.
    pub(crate) held: bool,
    waiters: Vec<Waiter>,
}

/// The batches in journal order.
#[derive(Debug, Default)]
pub(crate) struct Queue {
    pub(crate) batches: VecDeque<PendingBatch>,
}

impl Arrival {
    pub(crate) fn new(
        records: Vec<Record>,
        bytes: usize,
        sender: oneshot::Sender<Result<Durable>>,
    ) -> Self {
        let intent = records.iter().any(|r| matches!(r, Record::Intent { .. }));
        Self {
            deferrable: records.iter().all(is_deferrable),
            records,
            bytes,
            waiter: Some(Waiter { intent, sender }),
        }
    }

    /// Tells the waiter of an intent that the intent can't count now.
    pub(crate) fn withhold_intents(&mut self, retry_after: Millis) {
        let ran = Ran::No;
        if let Some(waiter) = self.waiter.take_if(|waiter| waiter.intent) {
            waiter.notify(Err(Fault::Withheld { ran, retry_after }));
        }
    }

    /// Tells the waiter that the shard is lost.
    pub(crate) fn note_lost(self) {
        if let Some(waiter) = self.waiter {
            waiter.notify(Err(Fault::Lost { ran: Ran::No }));
        }
    }
}

impl PendingBatch {
    /// Creates a batch from some arrivals, whose records `value` encodes.
    pub(crate) fn new(
        seq: u64,
        value: Bytes,
        index: Option<snapshot::Index>,
        arrivals: Vec<Arrival>,
    ) -> Self {
        Self {
            seq,
            value,
            index,
            holders: None,
            sent: false,
            offered: false,
            held: false,
            waiters: arrivals.into_iter().filter_map(|a| a.waiter).collect(),
        }
    }

    /// Tells all waiters that the batch is in the journal.
    pub(crate) fn note_journaled(self) {
        for waiter in self.waiters {
            waiter.notify(Ok(Durable::Journal));
        }
    }

    /// Tells the waiters for which copies count that other VMs hold the batch.
    pub(crate) fn note_copied(&mut self) {
        self.held = true;
        for waiter in self.waiters.extract_if(.., |waiter| !waiter.intent) {
            waiter.notify(Ok(Durable::Copy));
        }
    }

    /// Tells the waiters of intents that the intents can't count now.
    pub(crate) fn withhold_intents(&mut self, retry_after: Millis) {
        let ran = if self.sent { Ran::Unknown } else { Ran::No };
        for waiter in self.waiters.extract_if(.., |waiter| waiter.intent) {
            waiter.notify(Err(Fault::Withheld { ran, retry_after }));
        }
    }

    /// Tells all waiters that the shard is lost.
    pub(crate) fn note_lost(self, ran: Ran) {
        for waiter in self.waiters {
            waiter.notify(Err(Fault::Lost { ran }));
        }
    }

    /// Returns what may be said about the batch when the shard is lost. A batch that left this VM
    /// may be in the journal, or the new owner may write it there.
    pub(crate) fn ran(&self) -> Ran {
        if self.sent || self.offered {
            return Ran::Unknown;
        }
        Ran::No
    }
}

impl Queue {
    /// Returns copies of all batches.
    pub(crate) fn to_copies(&self, epoch: u64) -> Vec<copy::Batch> {
        let held = |pending: &PendingBatch| copy::Batch {
            epoch,
            seq: pending.seq,
            value: pending.value.clone(),
        };
        self.batches.iter().map(held).collect()
    }

    /// Returns the first batch that too few other VMs hold.
    pub(crate) fn unheld(&mut self) -> Option<&mut PendingBatch> {
        self.batches.iter_mut().find(|pending| !pending.held)
    }

    /// Tells all waiters that the shard is lost. `first_ran` overrides the answer for the first
    /// batch if more is known about it.
    pub(crate) fn note_lost(&mut self, mut first_ran: Option<Ran>) {
        for pending in self.batches.drain(..) {
            let ran = first_ran.take().unwrap_or_else(|| pending.ran());
            pending.note_lost(ran);
        }
    }
}

/// Returns whether no request to an endpoint waits for the record to become durable. A turn's
/// answer has already been streamed when it is committed, and only its last event waits.
fn is_deferrable(record: &Record) -> bool {
    matches!(
        record,
        Record::Committed { .. } | Record::Released { .. } | Record::Forgotten { .. }
    )
}

impl Waiter {
    fn notify(self, result: Result<Durable>) {
        // A waiter that is gone doesn't need the result; the record counts anyway.
        let _gone = self.sender.send(result);
    }
}
