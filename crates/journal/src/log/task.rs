//! The task that owns a log: gathers appends, writes the first batch of the queue, and during an
//! outage sends copies of the queued batches to other VMs.
//!
//! Prevents the failure "owners stop when the platform stops": a platform call that hangs or fails
//! is only one of several events that the task waits for, so appends continue to be copied.

mod batch;
mod outcome;

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge::Priority;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wire::clock::Millis;
use wire::code::Ran;

use super::Command;
use super::Durable;
use super::Fault;
use super::Flags;
use super::Result;
use super::Setup;
use super::Status;
use super::Tail;
use super::queue::Arrival;
use super::queue::Queue;
use super::retry;
use super::write::WriteOutcome;
use crate::copy;
use crate::copy::replicate::Replication;
use crate::record;
use crate::record::MAX_BYTES;
use crate::record::Record;
use crate::snapshot;

/// The task's ends of its channels.
pub(super) struct Channels {
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
    /// For messages to itself from work that it spawns; doesn't keep the task alive.
    pub(super) self_sender: mpsc::WeakUnboundedSender<Command>,
    pub(super) status: watch::Sender<Status>,
    pub(super) flags: Arc<Flags>,
}

/// The longest time that deferrable records wait to share a write: a fraction of the duration of a
/// turn, whose last event waits for them.
const MAX_DEFERRAL: Millis = Millis::new(50);

/// At most one operation in progress.
type Slot<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

struct Task {
    setup: Setup,
    epoch: u64,
    self_sender: mpsc::WeakUnboundedSender<Command>,
    status: watch::Sender<Status>,
    arrivals: VecDeque<Arrival>,
    queue: Queue,
    /// The number of the last batch that was formed.
    last_seq: u64,
    /// Consecutive failures to write the first batch.
    write_failures: u32,
    /// Consecutive failures to have a batch held by enough VMs.
    hold_failures: u32,
    /// Whether the first batch had been sent before its current send.
    sent_before: bool,
    /// The weight at which the next batch waits for the rate budget.
    pacing: Option<Priority>,
    /// Whether the next batch has finished waiting for the rate budget.
    paced: bool,
    snapshots: snapshot::Progress,
    flags: Arc<Flags>,
}

/// Runs until every handle is dropped and the queue is empty, or until the shard is lost and every
/// handle is dropped.
pub(super) async fn run(setup: Setup, tail: Tail, channels: Channels) {
    let mut commands = channels.commands;
    let mut task = Task {
        epoch: tail.epoch,
        self_sender: channels.self_sender,
        status: channels.status,
        arrivals: VecDeque::new(),
        queue: Queue::default(),
        last_seq: tail.seq,
        write_failures: 0,
        hold_failures: 0,
        sent_before: false,
        snapshots: snapshot::Progress::new(tail.index),
        flags: channels.flags,
        pacing: None,
        paced: false,
        setup,
    };
    let remaining = task.serve(&mut commands).await;
    if let Some(remaining) = remaining {
        task.serve_lost(&mut commands, &remaining).await;
    }
}

impl Task {
    /// Serves until nothing is left to do, or until the shard is lost; then returns the queued
    /// batches.
    async fn serve(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Option<Vec<copy::Batch>> {
        let mut write: Slot<WriteOutcome> = None;
        let mut hold: Slot<(u64, Replication)> = None;
        let mut pace: Slot<()> = None;
        let mut has_handles = true;
        loop {
            while let Ok(command) = commands.try_recv() {
                if let Some(sender) = self.handle(command) {
                    return Some(self.step_down(sender).await);
                }
            }
            pace = self.begin_pace(pace);
            self.form_batch();
            write = write.or_else(|| self.begin_write());
            hold = hold.or_else(|| self.begin_hold());
            if !has_handles && write.is_none() && self.arrivals.is_empty() {
                return None;
            }
            let lost = tokio::select! {
                biased;
                outcome = wait_for_slot(&mut write) => self.handle_write(outcome),
                (seq, replication) = wait_for_slot(&mut hold) => self.handle_hold(seq, replication),
                () = wait_for_slot(&mut pace) => {
                    self.paced = true;
                    None
                }
                command = commands.recv(), if has_handles => {
                    has_handles = command.is_some();
                    if let Some(sender) = command.and_then(|command| self.handle(command)) {
                        return Some(self.step_down(sender).await);
                    }
                    None
                }
            };
            if let Some(lost) = lost {
                return Some(self.lose(lost.first_ran).await);
            }
        }
    }

    /// Handles a command. Returns the sender if the task must step down.
    fn handle(&mut self, command: Command) -> Option<oneshot::Sender<Vec<copy::Batch>>> {
        match command {
            Command::Append(records, sender) => self.enqueue(records, sender),
            Command::Snapshot(image) => {
                if self.is_open() {
                    self.snapshots.request(image, self.arrivals.len());
                    self.flags.snapshot_due.store(false, Ordering::Relaxed);
                }
            }
            Command::ImageWritten(index) => self.snapshots.note_written(index),
            Command::KeysRemoved(seq) => self.snapshots.note_removed(seq),
            Command::StepDown(sender) => return Some(sender),
        }
        None
    }

    fn enqueue(&mut self, records: Vec<Record>, sender: oneshot::Sender<Result<Durable>>) {
        let bytes = record::size(&records);
        if bytes > MAX_BYTES {
            let _gone = sender.send(Err(Fault::TooLarge));
            return;
        }
        let mut arrival = Arrival::new(records, bytes, sender);
        if !self.is_open() {
            arrival.withhold_intents(retry::MAX_WAIT);
        }
        self.arrivals.push_back(arrival);
    }

    /// Refuses all appends, and keeps the queued batches for claimers that ask for them.
    async fn serve_lost(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<Command>,
        remaining: &[copy::Batch],
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Append(_, sender) => {
                    let _gone = sender.send(Err(Fault::Lost { ran: Ran::No }));
                }
                Command::StepDown(sender) => {
                    let _gone = sender.send(remaining.to_vec());
                }
                Command::Snapshot(_) | Command::ImageWritten(_) | Command::KeysRemoved(_) => {}
            }
        }
    }

    fn is_open(&self) -> bool {
        *self.status.borrow() == Status::Open
    }
}

/// The shard belongs to another owner.
struct Lost {
    /// What may be said about the first batch, if more is known than follows from its sends.
    first_ran: Option<Ran>,
}

fn changed_holders(record: &Record) -> Option<Vec<copy::Holder>> {
    match record {
        Record::Copies { holders } => Some(holders.clone()),
        _ => None,
    }
}

fn send_to_self(self_sender: &mpsc::WeakUnboundedSender<Command>, command: Command) {
    if let Some(self_sender) = self_sender.upgrade() {
        let _ended = self_sender.send(command);
    }
}

/// Waits for the operation in a slot and clears the slot; waits for ever if the slot is empty.
/// Cancel-safe.
async fn wait_for_slot<T>(slot: &mut Slot<T>) -> T {
    let output = match slot {
        Some(work) => work.await,
        None => std::future::pending().await,
    };
    *slot = None;
    output
}
