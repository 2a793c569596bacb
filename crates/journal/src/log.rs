//! Appends to one shard's journal, one batch at a time.
//!
//! Prevents these failures: two owners both append (an append is refused if another owner has
//! created the key), the response to an append is lost (nothing else is written until the outcome
//! is known), and each turn costs one write to the platform (appends that arrive during a write
//! share the next one).

mod queue;
mod retry;
mod task;
mod write;

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
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

pub(crate) use retry::backoff;
pub(crate) use write::KeyWrite;
pub(crate) use write::WriteOutcome;
pub(crate) use write::encode;
pub(crate) use write::nonce;
pub(crate) use write::send;

/// The state of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Appends go to the journal.
    Open,
    /// The platform doesn't answer: appends wait in memory and on other VMs, and intents are
    /// refused.
    Outage {
        /// The longest time until the platform is tried again.
        retry_after: Millis,
    },
    /// The shard has another owner; this log never appends again.
    Lost,
}

/// How an append is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Durable {
    /// It is in the journal.
    Journal,
    /// Other VMs hold copies of it. It goes to the journal when the platform answers again.
    Copy,
}

/// Why an append isn't durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The shard has another owner, or this owner has stepped down. The owner's state is no longer
    /// valid.
    #[display("the shard has another owner")]
    Lost {
        /// What may be said of work that waited for the append and wasn't dispatched: `No` if its
        /// records are certainly not in the journal, otherwise `Unknown`.
        ran: Ran,
    },
    /// The platform doesn't answer and the records contain an intent, which counts only in the
    /// journal. The records stay queued, so the state stays valid. The caller must not dispatch the
    /// call, and withdraws it with [`crate::decision::resolve`] and
    /// [`crate::record::Outcome::NotRun`].
    #[display("the platform doesn't answer; it is tried again within {retry_after}")]
    Withheld {
        /// `No` if the intent is certainly not in the journal, otherwise `Unknown`.
        ran: Ran,
        /// The longest time until the platform is tried again.
        retry_after: Millis,
    },
    /// The records exceed [`crate::record::MAX_BYTES`]; nothing was appended. Doesn't occur for
    /// records from [`crate::decision`], which refuses such records before they are applied.
    #[display("the records are too large for one journal key")]
    TooLarge,
}

/// The result of an append.
pub type Result<T> = std::result::Result<T, Fault>;

/// The parameters of a log.
#[derive(Clone)]
pub struct Setup {
    /// The platform.
    pub platform: Arc<dyn Platform>,
    /// The VMs of the centre.
    pub peers: Arc<dyn copy::Peers>,
    /// This VM.
    pub vm: id::Vm,
    /// The shard.
    pub shard: id::Shard,
    /// Random for each claim; the batches' nonces are derived from it.
    pub seed: u64,
    /// The other VMs that hold copies during an outage: two, or four in a larger centre.
    pub copy_holders: Vec<copy::Holder>,
    /// How many of them must hold a batch before it counts as durable. With 0, or if none of them
    /// answers, appends wait for the platform.
    pub acks: usize,
}

/// The end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The number of the last key.
    pub seq: u64,
    /// The epoch of the last opening.
    pub epoch: u64,
    /// The snapshot index.
    pub index: snapshot::KnownIndex,
}

/// A handle to the task that appends. All clones share one task, which ends when all of them are
/// dropped and everything passed to it is in the journal.
#[derive(Clone, Debug)]
pub struct Log {
    commands: mpsc::UnboundedSender<Command>,
    status: watch::Receiver<Status>,
    flags: Arc<Flags>,
}

/// What the task reports in addition to its status.
#[derive(Debug, Default)]
struct Flags {
    /// A snapshot is due.
    snapshot_due: AtomicBool,
    /// A change of the copy holders isn't in the journal yet.
    changing_holders: AtomicBool,
    /// At least one other VM is set to hold copies.
    has_holders: AtomicBool,
}

/// Resolves when an append is durable or it is known that it won't be. Dropping it doesn't cancel
/// the append.
#[derive(Debug)]
#[must_use]
pub struct Append(oneshot::Receiver<Result<Durable>>);

#[derive(Debug)]
enum Command {
    Append(Vec<Record>, oneshot::Sender<Result<Durable>>),
    Snapshot(snapshot::Image),
    /// An image has been written completely, or was abandoned.
    ImageWritten(Option<snapshot::Index>),
    /// The journal keys up to this number have been removed.
    KeysRemoved(u64),
    StepDown(oneshot::Sender<Vec<copy::Batch>>),
}

impl Log {
    /// Starts the task for a shard that [`crate::claim`] has opened. Must be called within a tokio
    /// runtime.
    #[must_use]
    pub fn start(setup: Setup, tail: Tail) -> Self {
        let (commands, receiver) = mpsc::unbounded_channel();
        let (sender, status) = watch::channel(Status::Open);
        let flags = Arc::<Flags>::default();
        flags.has_holders.store(setup.acks > 0, Ordering::SeqCst);
        let channels = task::Channels {
            commands: receiver,
            self_sender: commands.downgrade(),
            status: sender,
            flags: Arc::clone(&flags),
        };
        tokio::spawn(task::run(setup, tail, channels));
        Self {
            commands,
            status,
            flags,
        }
    }

    /// Appends records to the journal, in the order of the calls. The records of one call take
    /// effect together.
    pub fn append(&self, records: Vec<Record>) -> Append {
        let (sender, receiver) = oneshot::channel();
        if records.iter().any(|r| matches!(r, Record::Copies { .. })) {
            self.flags.changing_holders.store(true, Ordering::SeqCst);
        }
        self.send_command(Command::Append(records, sender));
        Append(receiver)
    }

    /// Returns whether the copy holders may be changed ([`crate::decision::change_copy_holders`]):
    /// only if an earlier change is in the journal, and not during an outage. Two pending changes
    /// could both be written late, and a claimer would then ask none of the VMs that hold copies.
    #[must_use]
    pub fn may_change_holders(&self) -> bool {
        self.status() == Status::Open && !self.flags.changing_holders.load(Ordering::SeqCst)
    }

    /// Returns whether no other VM is set to hold copies, so that nothing can become durable in an
    /// outage.
    #[must_use]
    pub fn has_no_holders(&self) -> bool {
        !self.flags.has_holders.load(Ordering::SeqCst)
    }

    /// Returns whether the journal has grown enough for a [`snapshot`](Self::snapshot).
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        self.flags.snapshot_due.load(Ordering::Relaxed)
    }

    /// Stores an image of the state and then drops the journal keys that it covers. The image must
    /// contain exactly what has been appended so far. Has no effect during an outage or while an
    /// earlier image is being written.
    pub fn snapshot(&self, image: snapshot::Image) {
        self.send_command(Command::Snapshot(image));
    }

    /// Steps down for a new owner and returns the batches that may not be in the journal. Later
    /// calls return the same batches.
    pub async fn step_down(&self) -> Vec<copy::Batch> {
        let (sender, receiver) = oneshot::channel();
        self.send_command(Command::StepDown(sender));
        receiver.await.unwrap_or_default()
    }

    /// Returns the current state of the log.
    #[must_use]
    pub fn status(&self) -> Status {
        *self.status.borrow()
    }

    /// Returns a watch on the state of the log.
    #[must_use]
    pub fn watch(&self) -> watch::Receiver<Status> {
        self.status.clone()
    }

    fn send_command(&self, command: Command) {
        // Fails only if the task has panicked; the append's waiter then learns that the append is
        // lost.
        let _ended = self.commands.send(command);
    }
}

impl Future for Append {
    type Output = Result<Durable>;

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Self::Output> {
        // A task that ended without a response may have sent the batch.
        let lost = Err(Fault::Lost { ran: Ran::Unknown });
        Pin::new(&mut self.0)
            .poll(context)
            .map(|result| result.unwrap_or(lost))
    }
}
