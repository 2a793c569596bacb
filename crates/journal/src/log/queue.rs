//! The batches that wait for the journal, in order, and those who wait for them.
//!
//! Exists for the failure "a caller is told something of an append that isn't so": what may be
//! said of each append follows from whether its batch ever left this VM.

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

/// Who waits for an append.
#[derive(Debug)]
pub(crate) struct Waiter {
    /// Whether the append carries an intent, for which copies don't count.
    intent: bool,
    sender: oneshot::Sender<Result<Durable>>,
}

/// An append that has no place in the journal yet.
#[derive(Debug)]
pub(crate) struct Arrival {
    pub(crate) records: Vec<Record>,
    pub(crate) bytes: usize,
    /// Whether it may wait for a write that others pay for, see [`is_patient`].
    pub(crate) deferrable: bool,
    waiter: Option<Waiter>,
}

/// A batch with its place in the journal; its bytes never change.
#[derive(Debug)]
pub(crate) struct PendingBatch {
    pub(crate) seq: u64,
    pub(crate) value: Bytes,
    pub(crate) index: Option<snapshot::Index>,
    /// The holders of copies from when it is in the journal.
    pub(crate) holders: Option<Vec<copy::Holder>>,
    /// Whether it was sent to the platform.
    pub(crate) sent: bool,
    /// Whether it was offered to another VM.
    pub(crate) offered: bool,
    /// Whether enough other VMs hold it.
    pub(crate) held: bool,
    waiters: Vec<Waiter>,
}

/// The line.
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

    /// Tells the one who waits for an intent that it can't count now.
    pub(crate) fn withhold_intents(&mut self, retry_after: Millis) {
        let ran = Ran::No;
        if let Some(waiter) = self.waiter.take_if(|waiter| waiter.intent) {
            waiter.notify(Err(Fault::Withheld { ran, retry_after }));
        }
    }

    /// Tells the one who waits that the shard is lost.
    pub(crate) fn note_lost(self) {
        if let Some(waiter) = self.waiter {
            waiter.notify(Err(Fault::Lost { ran: Ran::No }));
        }
    }
}

impl PendingBatch {
    /// Gives a place to some arrivals, whose records `value` encodes.
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

    /// Tells everyone that the batch is in the journal.
    pub(crate) fn note_journaled(self) {
        for waiter in self.waiters {
            waiter.notify(Ok(Durable::Journal));
        }
    }

    /// Tells those for whom copies count that other VMs hold the batch.
    pub(crate) fn note_copied(&mut self) {
        self.held = true;
        for waiter in self.waiters.extract_if(.., |waiter| !waiter.intent) {
            waiter.notify(Ok(Durable::Copy));
        }
    }

    /// Tells those who wait for intents that they can't count now.
    pub(crate) fn withhold_intents(&mut self, retry_after: Millis) {
        let ran = if self.sent { Ran::Unknown } else { Ran::No };
        for waiter in self.waiters.extract_if(.., |waiter| waiter.intent) {
            waiter.notify(Err(Fault::Withheld { ran, retry_after }));
        }
    }

    /// Tells everyone that the shard is lost.
    pub(crate) fn note_lost(self, ran: Ran) {
        for waiter in self.waiters {
            waiter.notify(Err(Fault::Lost { ran }));
        }
    }

    /// Yields what may be said of the batch when the shard is lost: one that left this VM may be
    /// in the journal, or come there by the new owner's hand.
    pub(crate) fn ran(&self) -> Ran {
        if self.sent || self.offered {
            return Ran::Unknown;
        }
        Ran::No
    }
}

impl Queue {
    /// Yields copies of all batches.
    pub(crate) fn to_copies(&self, epoch: u64) -> Vec<copy::Batch> {
        let held = |pending: &PendingBatch| copy::Batch {
            epoch,
            seq: pending.seq,
            value: pending.value.clone(),
        };
        self.batches.iter().map(held).collect()
    }

    /// Yields the first batch that too few other VMs hold.
    pub(crate) fn unheld(&mut self) -> Option<&mut PendingBatch> {
        self.batches.iter_mut().find(|pending| !pending.held)
    }

    /// Tells everyone that the shard is lost. `head` says it of the first batch, where that is
    /// known better.
    pub(crate) fn note_lost(&mut self, mut first_ran: Option<Ran>) {
        for pending in self.batches.drain(..) {
            let ran = first_ran.take().unwrap_or_else(|| pending.ran());
            pending.note_lost(ran);
        }
    }
}

/// Tells whether nothing is held up at an endpoint until the record is durable: the answer of a
/// turn has streamed by the time that it commits, and only its last event waits.
fn is_deferrable(record: &Record) -> bool {
    matches!(
        record,
        Record::Committed { .. } | Record::Released { .. } | Record::Forgotten { .. }
    )
}

impl Waiter {
    fn notify(self, result: Result<Durable>) {
        // Who no longer waits has given the answer up; the record counts all the same.
        let _gone = self.sender.send(result);
    }
}
