//! The shards that this VM owns. The claims controller calls [`Registry::claim`] and
//! [`Registry::release`]; the filters look up the shard of a request.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use journal::claim;
use journal::copy::Batch;
use journal::log::Log;
use journal::log::Setup;
use journal::log::Status;
use platform::edge::Lease;
use ractor::Actor;
use ractor::ActorRef;
use ractor::MessagingErr;
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use wire::ask::Ask;
use wire::event::Event;
use wire::id;

use crate::core::Core;
use crate::owner::feed::Sink;
use crate::owner::message::Message;
use crate::owner::shard;

/// The result of a claim.
pub type Result<T> = claim::Result<T>;

/// The shards that this VM owns, sorted by shard.
#[derive(Default)]
pub struct Registry(Mutex<Vec<Entry>>);

#[derive(Clone)]
struct Entry {
    shard: id::Shard,
    epoch: u64,
    phase: Phase,
    actor: ActorRef<Message>,
    log: Log,
    setup: Setup,
}

/// Whether an owned shard accepts new turns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It accepts new turns.
    Serving,
    /// It is about to be released and refuses new turns.
    Draining,
}

/// An owned shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// The shard.
    pub shard: id::Shard,
    /// The epoch of this ownership.
    pub epoch: u64,
    /// Whether it accepts new turns.
    pub phase: Phase,
    /// The status of its journal.
    pub status: Status,
}

impl Registry {
    /// Opens a shard's journal, which fences every earlier owner, and starts to serve the shard.
    /// Returns the epoch of the ownership.
    ///
    /// # Errors
    ///
    /// Fails if the shard can't be opened now; the claim may be tried again.
    pub async fn claim(&self, core: &Arc<Core>, setup: Setup, lease: Lease) -> Result<u64> {
        let opened = claim::open(setup.clone(), lease).await?;
        let shard = setup.shard.clone();
        let arguments = shard::Arguments {
            core: core.clone(),
            shard: shard.clone(),
            state: opened.state,
            log: opened.log.clone(),
        };
        let spawned = Actor::spawn(None, shard::Shard, arguments).await;
        let (actor, task) = spawned.map_err(|f| claim::Fault::Damaged(f.to_string()))?;
        let ended = forget_when_ended(core.clone(), shard.clone(), opened.epoch, task);
        core.tasks.spawn(ended);
        core.tasks.spawn(watch_ownership(
            core.clone(),
            opened.log.clone(),
            actor.clone(),
        ));
        let entry = Entry {
            shard,
            epoch: opened.epoch,
            phase: Phase::Serving,
            actor,
            log: opened.log,
            setup,
        };
        let mut entries = self.lock();
        match entries.binary_search_by(|e| e.shard.cmp(&entry.shard)) {
            Ok(at) => entries[at] = entry,
            Err(at) => entries.insert(at, entry),
        }
        Ok(opened.epoch)
    }

    /// Writes the ownership record of an open shard again after its lease has expired. Returns
    /// `false` if the shard isn't open on this VM or another VM holds the record.
    ///
    /// # Errors
    ///
    /// Fails if the platform doesn't answer as expected.
    pub async fn reclaim(&self, shard: &id::Shard, lease: Lease) -> Result<bool> {
        let Some(entry) = self.entry(shard) else {
            return Ok(false);
        };
        claim::reclaim(&entry.setup, entry.epoch, lease).await
    }

    /// Waits until a shard's pending requests have ended, then releases the shard. Requests that
    /// arrive meanwhile wait or are forwarded. Returns when another VM can claim the shard.
    pub async fn release(&self, shard: &id::Shard) {
        let Some(entry) = self.entry(shard) else {
            return;
        };
        self.set_draining(shard);
        let (sender, drained) = oneshot::channel();
        if entry.actor.cast(Message::Drain(sender)).is_ok() {
            let _actor_gone = drained.await;
        }
        self.remove(shard, entry.epoch);
        // `Close` is queued behind the requests that reached the actor before the shard was
        // removed. An immediate stop would drop them.
        let _ended = entry.actor.cast(Message::Close);
        if let Err(fault) = claim::release(&entry.setup, entry.epoch).await {
            // The shard becomes free anyway, but only when its lease expires.
            log::warn!("{} shard={shard} reason={fault:?}", Event::ShardReleased);
            return;
        }
        log::info!(
            "{} shard={shard} epoch={}",
            Event::ShardReleased,
            entry.epoch
        );
    }

    /// Steps down for a newer owner of a shard. Returns the batches that may not be in the journal
    /// yet.
    pub async fn step_down(&self, shard: &id::Shard, epoch: u64) -> Vec<Batch> {
        let Some(entry) = self.entry(shard).filter(|entry| entry.epoch < epoch) else {
            return Vec::new();
        };
        let held = entry.log.step_down().await;
        self.remove(shard, entry.epoch);
        let _stopped = entry.actor.cast(Message::Lost);
        held
    }

    /// Removes a shard of which this VM's ownership with this epoch has ended.
    pub fn forget(&self, shard: &id::Shard, epoch: u64) {
        self.remove(shard, epoch);
    }

    /// Returns the shards that this VM owns, sorted.
    #[must_use]
    pub fn owned(&self) -> Vec<Owned> {
        let owned = |entry: &Entry| Owned {
            shard: entry.shard.clone(),
            epoch: entry.epoch,
            phase: entry.phase,
            status: entry.log.status(),
        };
        self.lock().iter().map(owned).collect()
    }

    /// Returns whether this VM owns a shard.
    #[must_use]
    pub fn holds(&self, shard: &id::Shard) -> bool {
        self.read_entry(shard, |_| ()).is_some()
    }

    /// Returns whether this VM owns a shard and accepts new turns for it.
    #[must_use]
    pub fn serves(&self, shard: &id::Shard) -> bool {
        self.read_entry(shard, |e| e.phase) == Some(Phase::Serving)
    }

    /// Sends a request to a shard's actor.
    ///
    /// # Errors
    ///
    /// Returns the request if this VM doesn't own the shard.
    pub fn ask(
        &self,
        shard: &id::Shard,
        ask: Ask,
        sink: Sink,
    ) -> std::result::Result<(), Box<(Ask, Sink)>> {
        let Some(actor) = self.read_entry(shard, |e| e.actor.clone()) else {
            return Err(Box::new((ask, sink)));
        };
        match actor.cast(Message::Ask(ask, sink)) {
            Err(MessagingErr::SendErr(Message::Ask(ask, sink))) => Err(Box::new((ask, sink))),
            // If the message is lost in another way, its sink is dropped, which the listener
            // notices.
            _ => Ok(()),
        }
    }

    /// Returns those of the programs that are gone (unknown to the shard, or ended), with the epoch
    /// of the ownership. Returns `None` if this VM doesn't own the shard.
    pub async fn gone(
        &self,
        shard: &id::Shard,
        programs: &[id::Program],
    ) -> Option<(u64, Vec<id::Program>)> {
        let (epoch, actor) = self.read_entry(shard, |e| (e.epoch, e.actor.clone()))?;
        let (sender, answer) = oneshot::channel();
        actor.cast(Message::Gone(programs.to_vec(), sender)).ok()?;
        Some((epoch, answer.await.ok()?))
    }

    /// Tells a shard's actor to order an endpoint to release its cache of those of the programs
    /// that are gone.
    pub fn sweep(&self, shard: &id::Shard, endpoint: &id::Endpoint, programs: &[id::Program]) {
        if let Some(actor) = self.read_entry(shard, |e| e.actor.clone()) {
            let _actor_gone = actor.cast(Message::Sweep(endpoint.clone(), programs.to_vec()));
        }
    }

    /// Tells every shard's actor to run its periodic maintenance.
    pub fn tick(&self) {
        for entry in self.lock().iter() {
            let _actor_gone = entry.actor.cast(Message::Tick);
        }
    }

    fn entry(&self, shard: &id::Shard) -> Option<Entry> {
        self.read_entry(shard, Entry::clone)
    }

    fn read_entry<T>(&self, shard: &id::Shard, read: impl Fn(&Entry) -> T) -> Option<T> {
        let entries = self.lock();
        let at = entries.binary_search_by(|e| e.shard.cmp(shard)).ok()?;
        Some(read(&entries[at]))
    }

    fn set_draining(&self, shard: &id::Shard) {
        let mut entries = self.lock();
        if let Ok(at) = entries.binary_search_by(|e| e.shard.cmp(shard)) {
            entries[at].phase = Phase::Draining;
        }
    }

    fn remove(&self, shard: &id::Shard, epoch: u64) {
        self.lock()
            .retain(|e| e.shard != *shard || e.epoch != epoch);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Entry>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a shard once its actor has ended, for example because of a fault in the actor. Otherwise
/// the VM would own the shard without serving it. After the removal the VM claims the shard again,
/// and the journal fences whatever is left of the old ownership.
async fn forget_when_ended<T>(core: Arc<Core>, shard: id::Shard, epoch: u64, actor: JoinHandle<T>) {
    tokio::select! {
        _ended = actor => core.registry.forget(&shard, epoch),
        () = core.stopped.cancelled() => {}
    }
}

/// Tells the actor when its journal has another owner.
async fn watch_ownership(core: Arc<Core>, log: Log, actor: ActorRef<Message>) {
    let mut status = log.watch();
    drop(log);
    let lost = async {
        // An error means that the log's task has ended, which it does once the shard is released.
        let _ended = status.wait_for(|status| *status == Status::Lost).await;
    };
    tokio::select! {
        () = lost => {
            let _stopped = actor.cast(Message::Lost);
        }
        () = core.stopped.cancelled() => {}
    }
}
