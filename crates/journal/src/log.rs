//! Appends to one shard's journal, one at a time.
//!
//! Exists for the failures "two owners both append" (each append is refused where another has
//! taken the key), "an append's answer is lost" (nothing else is written until it is settled) and
//! "each turn costs a write of the platform" (what arrives during one append goes into the next).

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

/// Where a log stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// Appends go to the journal.
    Open,
    /// The platform doesn't answer: appends wait in memory and at other VMs, intents are refused.
    Outage {
        /// When the platform is tried again, at the latest.
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
    /// Other VMs hold copies of it, and it goes to the journal when the platform answers again.
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
    /// and withdraws it with [`crate::decision::resolve`] and [`crate::record::Outcome::NotRun`].
    #[display("the platform doesn't answer, again in {retry_after}")]
    Withheld {
        /// `No` where the intent surely isn't in the journal, else `Unknown`.
        ran: Ran,
        /// When the platform is tried again, at the latest.
        retry_after: Millis,
    },
    /// The records are over [`crate::record::MAX_BYTES`]; nothing was appended. Never met by who
    /// asks [`crate::decision`], which refuses such records before they are applied.
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
    /// The VMs of the centre.
    pub peers: Arc<dyn copy::Peers>,
    /// This VM.
    pub vm: id::Vm,
    /// The shard.
    pub shard: id::Shard,
    /// Drawn at random for each claim; the batches' nonces follow from it.
    pub seed: u64,
    /// The other VMs that hold copies during an outage: two, or four in a larger centre.
    pub copies: Vec<copy::Holder>,
    /// How many of them must hold a batch before it counts as durable; with 0, or without any
    /// that answers, appends wait for the platform.
    pub acks: usize,
}

/// The end of a journal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tail {
    /// The last key's number.
    pub seq: u64,
    /// The epoch of the last opening.
    pub epoch: u64,
    /// The snapshot index.
    pub index: snapshot::KnownIndex,
}

/// A handle to the task that appends. Clones speak to the same task, which ends when all are
/// dropped and everything handed to it is in the journal.
#[derive(Clone, Debug)]
pub struct Log {
    commands: mpsc::UnboundedSender<Command>,
    status: watch::Receiver<Status>,
    flags: Arc<Flags>,
}

/// What the task tells besides its status.
#[derive(Debug, Default)]
struct Flags {
    /// A snapshot is due.
    snapshot_due: AtomicBool,
    /// A naming of other holders of copies isn't in the journal yet.
    changing_holders: AtomicBool,
    /// Some VM holds copies.
    has_holders: AtomicBool,
}

/// Resolves when an append is durable or never will be. Dropping it doesn't take the append back.
#[derive(Debug)]
#[must_use]
pub struct Append(oneshot::Receiver<Result<Durable>>);

#[derive(Debug)]
enum Command {
    Append(Vec<Record>, oneshot::Sender<Result<Durable>>),
    Snapshot(snapshot::Image),
    /// An image is written whole, or was given up.
    ImageWritten(Option<snapshot::Index>),
    /// The journal keys up to this number are removed.
    KeysRemoved(u64),
    StepDown(oneshot::Sender<Vec<copy::Batch>>),
}

impl Log {
    /// Starts the task of a shard that [`crate::claim`] has opened. Must be called within a tokio
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

    /// Hands records to the journal. The order of calls is the order of the journal; the records
    /// of one call take effect together.
    pub fn append(&self, records: Vec<Record>) -> Append {
        let (sender, receiver) = oneshot::channel();
        if records.iter().any(|r| matches!(r, Record::Copies { .. })) {
            self.flags.changing_holders.store(true, Ordering::SeqCst);
        }
        self.send_command(Command::Append(records, sender));
        Append(receiver)
    }

    /// Tells whether other VMs may be named for the copies ([`crate::decision::change_copy_holders`]): not before an
    /// earlier naming is in the journal, and not during an outage. Two namings on their way could
    /// both land late, and a claimer would then ask none of the VMs that hold copies.
    #[must_use]
    pub fn may_change_holders(&self) -> bool {
        self.status() == Status::Open && !self.flags.changing_holders.load(Ordering::SeqCst)
    }

    /// Tells whether no other VM holds copies, so that in an outage nothing can become durable.
    #[must_use]
    pub fn has_no_holders(&self) -> bool {
        !self.flags.has_holders.load(Ordering::SeqCst)
    }

    /// Tells whether the journal has grown enough for a [`snapshot`](Self::snapshot).
    #[must_use]
    pub fn is_snapshot_due(&self) -> bool {
        self.flags.snapshot_due.load(Ordering::Relaxed)
    }

    /// Hands an image of the state to the journal, which then drops the keys before it. The image
    /// must hold what was appended so far and no more. Without effect during an outage or while
    /// an earlier image is being written.
    pub fn snapshot(&self, image: snapshot::Image) {
        self.send_command(Command::Snapshot(image));
    }

    /// Steps down for a new owner, and yields the batches that aren't surely in the journal. Asked
    /// again, yields the same ones.
    pub async fn step_down(&self) -> Vec<copy::Batch> {
        let (sender, receiver) = oneshot::channel();
        self.send_command(Command::StepDown(sender));
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

    fn send_command(&self, command: Command) {
        // Fails only where the task has panicked; an append's waiter then learns that it is lost.
        let _ended = self.commands.send(command);
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
