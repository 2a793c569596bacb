//! Messages and bytes of one VM, by what they are for.

use std::collections::BTreeSet;
use std::time::Duration;

use relay::exchange::outgoing::Message;
use relay::subject::Subject;

/// Bytes of a message's head, as the exchange of a VM of usual name has it.
const HEAD: usize = 112;

/// What a message is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mechanism {
    /// An exchange between VMs: its head and the revisions in it.
    Exchange,
    /// Requests at each runner, in an exchange.
    Tallies,
    /// The runners' entries, in an exchange.
    Entries,
    /// The configuration, in an exchange.
    Document,
    /// Calls of the service for the configuration.
    StoreConfig,
    /// Calls of the service for the runners' entries.
    StoreRunners,
    /// Calls of the service for the system's own keys.
    StoreOwn,
    /// Renewals of a VM's lease.
    StoreLease,
}

impl Mechanism {
    /// All of them, in the order in which they are counted.
    pub const ALL: [Self; 8] = [
        Self::Exchange,
        Self::Tallies,
        Self::Entries,
        Self::Document,
        Self::StoreConfig,
        Self::StoreRunners,
        Self::StoreOwn,
        Self::StoreLease,
    ];

    /// Yields what stands for it in tables.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Exchange => "exchange",
            Self::Tallies => "tallies",
            Self::Entries => "entries",
            Self::Document => "document",
            Self::StoreConfig => "store-config",
            Self::StoreRunners => "store-runners",
            Self::StoreOwn => "store-own",
            Self::StoreLease => "store-lease",
        }
    }

    /// Yields what calls of the service for a subject count as.
    pub const fn of(subject: Subject) -> Self {
        match subject {
            Subject::Config => Self::StoreConfig,
            Subject::Runners => Self::StoreRunners,
            Subject::Own => Self::StoreOwn,
        }
    }
}

/// How many messages, and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// Messages.
    pub messages: u64,
    /// Bytes.
    pub bytes: u64,
}

impl Sum {
    fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }
}

/// What one VM sent to others, and got from the service.
#[derive(Clone, Debug, Default)]
pub struct Count {
    sums: [Sum; Mechanism::ALL.len()],
    /// Exchanges that others started with it.
    pub asked: u64,
    /// Processor time of the machine that plays the model, spent on building and reading messages.
    pub spent: Duration,
    /// The most VMs that started an exchange with it within a second.
    pub most_askers: usize,
    askers: BTreeSet<usize>,
}

impl Count {
    /// Yields the sum of a mechanism.
    pub fn sum(&self, of: Mechanism) -> Sum {
        self.sums[of as usize]
    }

    /// Yields the messages of all mechanisms; what is told within an exchange is none of its own.
    pub fn messages(&self) -> u64 {
        let within = [Mechanism::Tallies, Mechanism::Entries, Mechanism::Document];
        let own = Mechanism::ALL.into_iter().filter(|of| !within.contains(of));
        own.map(|of| self.sum(of).messages).sum()
    }

    /// Yields the bytes of all mechanisms.
    pub fn bytes(&self) -> u64 {
        self.sums.iter().map(|sum| sum.bytes).sum()
    }

    /// Notes a call of the service whose answer has so many bytes.
    pub fn note_call(&mut self, of: Mechanism, bytes: usize) {
        self.sums[of as usize].add(HEAD + bytes);
    }

    /// Notes a message that was sent to another VM.
    pub fn note_message(&mut self, message: &Message) {
        let whole = size(message);
        let tallies = part(size(&message.tallies), message.tallies.is_empty());
        let entries = part(size(&message.entries), message.entries.is_none());
        let document = part(size(&message.document), message.document.is_none());
        let rest = whole - tallies - entries - document;
        self.sums[Mechanism::Exchange as usize].add(HEAD + rest);
        let parts = [
            (Mechanism::Tallies, tallies),
            (Mechanism::Entries, entries),
            (Mechanism::Document, document),
        ];
        for (of, bytes) in parts.into_iter().filter(|(_, bytes)| *bytes > 0) {
            self.sums[of as usize].add(bytes);
        }
    }

    /// Notes that another VM started an exchange.
    pub fn note_asked(&mut self, by: usize) {
        self.asked += 1;
        self.askers.insert(by);
    }

    /// Ends a second.
    pub fn end_second(&mut self) {
        self.most_askers = self.most_askers.max(self.askers.len());
        self.askers.clear();
    }
}

fn size<T: serde::Serialize>(of: &T) -> usize {
    rmp_serde::to_vec(of)
        .expect("a message can be encoded")
        .len()
}

const fn part(bytes: usize, absent: bool) -> usize {
    if absent { 0 } else { bytes }
}
