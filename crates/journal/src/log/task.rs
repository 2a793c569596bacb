//! The task that owns a log: gathers appends, writes the first batch of the line, and during an
//! outage has the others held by other VMs.
//!
//! Exists for the failure "owners stop with the platform": a call of the platform that hangs or
//! fails is one of several things that the task waits for, so that appends go on being copied.

use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use platform::edge;
use platform::edge::Weight;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wire::clock::Millis;
use wire::code::Ran;
use wire::event::Event;

use super::Command;
use super::Durable;
use super::Fault;
use super::Flags;
use super::Result;
use super::Setup;
use super::Status;
use super::Tail;
use super::line::Arrival;
use super::line::Line;
use super::line::Pending;
use super::retry;
use super::write;
use super::write::Item;
use super::write::Step;
use crate::copy;
use crate::copy::spread;
use crate::copy::spread::Spread;
use crate::record;
use crate::record::MAX_BYTES;
use crate::record::Record;
use crate::snapshot;

/// The task's ends of its channels.
pub(super) struct Ends {
    pub(super) commands: mpsc::UnboundedReceiver<Command>,
    /// To itself, from work that it starts; doesn't keep it alive.
    pub(super) own: mpsc::WeakUnboundedSender<Command>,
    pub(super) status: watch::Sender<Status>,
    pub(super) flags: Arc<Flags>,
}

/// The longest that patient records wait for others to go along with: a fraction of a turn, whose
/// last event waits for them.
const PATIENCE: Millis = Millis::new(50);

/// Work under way, of which there is one at most.
type Slot<T> = Option<Pin<Box<dyn Future<Output = T> + Send>>>;

struct Task {
    setup: Setup,
    epoch: u64,
    own: mpsc::WeakUnboundedSender<Command>,
    status: watch::Sender<Status>,
    arrivals: VecDeque<Arrival>,
    line: Line,
    /// The number of the last batch that was formed.
    last: u64,
    /// Failures in a row of writing the first batch, and of having a batch held.
    tries: u32,
    hold_tries: u32,
    /// Whether the first batch was sent before its present send.
    resent: bool,
    /// The weight at which the next batch waits for the rate budget.
    pacing: Option<Weight>,
    /// Whether the next batch has waited for the rate budget.
    paced: bool,
    snapshots: snapshot::Progress,
    flags: Arc<Flags>,
}

/// Runs until every handle is dropped and the line is empty, or the shard is lost and every handle
/// is dropped.
pub(super) async fn run(setup: Setup, tail: Tail, ends: Ends) {
    let mut commands = ends.commands;
    let mut task = Task {
        epoch: tail.epoch,
        own: ends.own,
        status: ends.status,
        arrivals: VecDeque::new(),
        line: Line::default(),
        last: tail.seq,
        tries: 0,
        hold_tries: 0,
        resent: false,
        snapshots: snapshot::Progress::new(tail.index),
        flags: ends.flags,
        pacing: None,
        paced: false,
        setup,
    };
    let left = task.serve(&mut commands).await;
    if let Some(left) = left {
        task.refuse(&mut commands, &left).await;
    }
}

impl Task {
    /// Serves until the shard is lost, which yields what was in line, or nothing is left to do.
    async fn serve(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<Command>,
    ) -> Option<Vec<copy::Held>> {
        let mut write: Slot<Step> = None;
        let mut hold: Slot<(u64, Spread)> = None;
        let mut pace: Slot<()> = None;
        let mut open = true;
        loop {
            while let Ok(command) = commands.try_recv() {
                if let Some(sender) = self.take(command) {
                    return Some(self.step_down(sender).await);
                }
            }
            pace = self.begin_pace(pace);
            self.form();
            write = write.or_else(|| self.begin_write());
            hold = hold.or_else(|| self.begin_hold());
            if !open && write.is_none() && self.arrivals.is_empty() {
                return None;
            }
            let lost = tokio::select! {
                biased;
                step = finish(&mut write) => self.settle(step),
                (seq, spread) = finish(&mut hold) => self.copied(seq, spread),
                () = finish(&mut pace) => {
                    self.paced = true;
                    None
                }
                command = commands.recv(), if open => {
                    open = command.is_some();
                    if let Some(sender) = command.and_then(|command| self.take(command)) {
                        return Some(self.step_down(sender).await);
                    }
                    None
                }
            };
            if let Some(lost) = lost {
                return Some(self.lose(lost.head).await);
            }
        }
    }

    /// Takes a command in; yields the asker where it is to step down.
    fn take(&mut self, command: Command) -> Option<oneshot::Sender<Vec<copy::Held>>> {
        match command {
            Command::Append(records, sender) => self.arrive(records, sender),
            Command::Snapshot(image) => {
                if self.is_open() {
                    self.snapshots.ask(image, self.arrivals.len());
                    self.flags.due.store(false, Ordering::Relaxed);
                }
            }
            Command::Written(index) => self.snapshots.written(index),
            Command::Removed(seq) => self.snapshots.removed(seq),
            Command::Surrender(sender) => return Some(sender),
        }
        None
    }

    fn arrive(&mut self, records: Vec<Record>, sender: oneshot::Sender<Result<Durable>>) {
        let bytes = record::size(&records);
        if bytes > MAX_BYTES {
            let _gone = sender.send(Err(Fault::TooLarge));
            return;
        }
        let mut arrival = Arrival::new(records, bytes, sender);
        if !self.is_open() {
            arrival.withhold(retry::LONGEST);
        }
        self.arrivals.push_back(arrival);
    }

    /// Gives arrivals their places. While the platform answers, one batch is in line, so that the
    /// next gathers what arrives meanwhile; during an outage likewise for the copies.
    fn form(&mut self) {
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
    fn begin_pace(&mut self, pace: Slot<()>) -> Slot<()> {
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

    fn begin_write(&mut self) -> Slot<Step> {
        let delay = match self.tries {
            0 => Millis::ZERO,
            tries => retry::wait(tries, self.setup.seed),
        };
        self.write_after(delay)
    }

    fn write_after(&mut self, delay: Millis) -> Slot<Step> {
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

    fn begin_hold(&mut self) -> Slot<(u64, Spread)> {
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
        let held = copy::Held {
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

    /// Draws the consequence of a try to write the first batch.
    fn settle(&mut self, step: Step) -> Option<Lost> {
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

    fn done(&mut self, revision: u64) {
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
    fn rename(&mut self, holders: Vec<copy::Holder>, seq: u64) {
        let (old, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { spread::drained(&old, epoch, seq).await });
        self.setup.acks = copy::acks(holders.len());
        self.setup.copies = holders;
        let copied = self.setup.acks > 0;
        self.flags.copied.store(copied, Ordering::SeqCst);
        self.flags.renaming.store(false, Ordering::SeqCst);
    }

    fn remove(&self, removal: snapshot::Removal) {
        let platform = Arc::clone(&self.setup.platform);
        let shard = self.setup.shard.clone();
        let (own, epoch, seed) = (self.own.clone(), self.epoch, self.setup.seed);
        tokio::spawn(async move {
            if snapshot::remove(platform.as_ref(), &shard, epoch, &removal, seed).await {
                tell(&own, Command::Removed(removal.through));
            }
        });
    }

    fn again(&mut self, fault: &edge::Fault) {
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

    fn begin_outage(&mut self, fault: &edge::Fault) {
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

    fn end_outage(&mut self, seq: u64) {
        let shard = &self.setup.shard;
        log::info!("{} shard={shard} seq={seq}", Event::OutageEnded);
        self.status.send_replace(Status::Open);
        self.hold_tries = 0;
        let (setup, epoch) = (self.setup.clone(), self.epoch);
        tokio::spawn(async move { spread::drained(&setup, epoch, seq).await });
    }

    /// Draws the consequence of offering a batch to other VMs.
    fn copied(&mut self, seq: u64, spread: Spread) -> Option<Lost> {
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

    async fn step_down(&mut self, sender: oneshot::Sender<Vec<copy::Held>>) -> Vec<copy::Held> {
        // The new owner writes what it gets, so none of it may be called absent from the journal.
        for pending in &mut self.line.batches {
            pending.offered = true;
        }
        let left = self.lose(None).await;
        let _gone = sender.send(left.clone());
        left
    }

    /// Keeps what was in line for later claimers, and tells everyone that the shard is lost.
    async fn lose(&mut self, head: Option<Ran>) -> Vec<copy::Held> {
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

    /// Refuses everything, and keeps what was in line for claimers that come to ask.
    async fn refuse(
        &mut self,
        commands: &mut mpsc::UnboundedReceiver<Command>,
        left: &[copy::Held],
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                Command::Append(_, sender) => {
                    let _gone = sender.send(Err(Fault::Lost { ran: Ran::No }));
                }
                Command::Surrender(sender) => {
                    let _gone = sender.send(left.to_vec());
                }
                Command::Snapshot(_) | Command::Written(_) | Command::Removed(_) => {}
            }
        }
    }

    fn is_open(&self) -> bool {
        *self.status.borrow() == Status::Open
    }
}

/// The shard is another owner's.
struct Lost {
    /// What may be said of the first batch, where that is known better than from its sends.
    head: Option<Ran>,
}

fn named(record: &Record) -> Option<Vec<copy::Holder>> {
    match record {
        Record::Copies { holders } => Some(holders.clone()),
        _ => None,
    }
}

fn tell(own: &mpsc::WeakUnboundedSender<Command>, command: Command) {
    if let Some(own) = own.upgrade() {
        let _ended = own.send(command);
    }
}

/// Waits for the work in a slot and empties it; for ever where there is none. May be dropped and
/// called again without loss.
async fn finish<T>(slot: &mut Slot<T>) -> T {
    let output = match slot {
        Some(work) => work.await,
        None => std::future::pending().await,
    };
    *slot = None;
    output
}
