//! Appends to one shard's journal, one at a time.
//!
//! Exists for the failures "two owners both append" (each append is refused where another has
//! taken the key) and "an append's answer is lost" (nothing else is written until it is settled).

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use derive_more::Display;
use derive_more::Error;
use platform::edge::Platform;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use wire::clock::Millis;
use wire::code::Ran;
use wire::id;

use crate::copy;
use crate::record::Record;
use crate::snapshot;

/// Where a log stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Appends go to the journal.
    Open,
    /// The platform doesn't answer: appends wait in memory and at other VMs, intents are refused.
    Outage {
        /// When the platform is tried again.
        retry_after: Millis,
    },
    /// The shard has another owner; nothing is ever appended again.
    Lost,
}

/// How far an append is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durable {
    /// It is in the journal.
    Journal,
    /// Another VM holds a copy of it, and the journal will.
    Copy,
}

/// Why an append isn't durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The shard has another owner, or this one has stepped down. The state is void.
    #[display("the shard has another owner")]
    Lost {
        /// What may be said of what waited for the append and wasn't dispatched: `No` where its
        /// records surely aren't in the journal, else `Unknown`.
        ran: Ran,
    },
    /// The platform doesn't answer and the records carry an intent, which counts in the journal
    /// only. They stay in line, so the state stays valid; the caller must not dispatch the call,
    /// and withdraws it with [`crate::gate::resolve`] and [`crate::record::Effect::NotRun`].
    #[display("the platform doesn't answer, again in {retry_after}")]
    Withheld {
        /// `No` where the intent surely isn't in the journal, else `Unknown`.
        ran: Ran,
        /// When the platform is tried again.
        retry_after: Millis,
    },
    /// The records are over [`crate::record::MAX_BYTES`]; nothing was appended. Never met by who
    /// asks [`crate::gate`], which refuses such records before they are applied.
    #[display("the records are too large for one journal key")]
    TooLarge,
}

/// The outcome of an append.
pub type Result<T> = std::result::Result<T, Fault>;

/// What a log is opened with.
#[derive(Clone)]
pub struct Setup {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The other VMs of the centre.
    pub peers: Arc<dyn copy::Peers>,
    /// This VM.
    pub vm: id::Vm,
    /// The shard.
    pub shard: id::Shard,
    /// Drawn at random for each claim; the batches' nonces follow from it.
    pub seed: u64,
    /// The VMs that hold copies during an outage.
    pub copies: Vec<id::Vm>,
    /// How many of them must hold a batch before it counts as durable.
    pub acks: usize,
}

/// The end of a journal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The last key's number.
    pub seq: u64,
    /// The platform's revision at which the last key was created.
    pub revision: u64,
    /// The epoch of the last opening.
    pub epoch: u64,
}

/// A handle to the task that appends. Clones speak to the same task.
#[derive(Clone, Debug)]
pub struct Log {
    commands: mpsc::UnboundedSender<Command>,
    status: watch::Receiver<Status>,
}

/// Resolves when an append is durable or never will be. Dropping it doesn't take the append back.
#[derive(Debug)]
#[must_use]
pub struct Append(oneshot::Receiver<Result<Durable>>);

#[derive(Debug)]
enum Command {
    Append(Vec<Record>, oneshot::Sender<Result<Durable>>),
    Snapshot(snapshot::Image),
    Surrender(oneshot::Sender<Vec<copy::Held>>),
}

impl Log {
    /// Starts the task of a shard that [`crate::claim`] has opened. Must be called within a tokio
    /// runtime.
    #[must_use]
    pub fn start(setup: Setup, tail: Tail) -> Self {
        todo!("{} {tail:?}", setup.vm)
    }

    /// Hands records to the journal. The order of calls is the order of the journal; the records
    /// of one call take effect together.
    pub fn append(&self, records: Vec<Record>) -> Append {
        let (sender, receiver) = oneshot::channel();
        let _lost = self.commands.send(Command::Append(records, sender));
        Append(receiver)
    }

    /// Hands an image of the state to the journal, which may then drop the keys before it. The
    /// image must hold what was appended so far and no more.
    pub fn snapshot(&self, image: snapshot::Image) {
        let _lost = self.commands.send(Command::Snapshot(image));
    }

    /// Steps down for a new owner, and yields the batches that aren't surely in the journal.
    pub async fn surrender(&self) -> Vec<copy::Held> {
        let (sender, receiver) = oneshot::channel();
        let _lost = self.commands.send(Command::Surrender(sender));
        receiver.await.unwrap_or_default()
    }

    /// Yields where the log stands.
    #[must_use]
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Yields a watch on where the log stands.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }
}

impl Future for Append {
    type Output = Result<Durable>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        // A task that is gone without an answer may have sent the batch.
        let lost = Err(Fault::Lost { ran: Ran::Unknown });
        Pin::new(&mut self.0)
            .poll(context)
            .map(|result| result.unwrap_or(lost))
    }
}
