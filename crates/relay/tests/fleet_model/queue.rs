//! What is going to happen, in the order of time.

use std::collections::BTreeMap;

use adapter::kv::Freshness;
use adapter::kv::Listing;
use adapter::kv::Update;
use platform::edge;
use relay::exchange::tell::Message;

/// One thing that happens.
#[derive(Debug)]
pub enum Event {
    /// Something of one process; dropped where it has ended meanwhile.
    Process {
        /// Its VM.
        vm: usize,
        /// The VM's count of starts and ends.
        life: u64,
        /// What.
        step: Step,
    },
    /// A lease may have lapsed.
    Lapse {
        /// The VM whose entry it keeps.
        vm: usize,
        /// When it lapses, unless it was renewed.
        due: u64,
    },
    /// A watch has waited for long enough at the service.
    WatchEnds(u64),
    /// The service renews its copies.
    Copy,
    /// A second is over.
    Second,
}

/// Something of one process.
#[derive(Debug)]
pub enum Step {
    /// Its next look at what it follows, by number.
    Follow(usize),
    /// A call arrives at the service.
    Called(Call),
    /// The service's answer arrives, or none has come in time.
    Returned(usize, Answer),
    /// It starts its exchanges.
    Exchange,
    /// Another VM's exchange arrives.
    Asked {
        /// The other VM.
        by: usize,
        /// The other's count of starts and ends.
        life: u64,
        /// When it was sent.
        sent: u64,
        /// What it tells.
        message: Box<Message>,
    },
    /// The answer to its exchange arrives.
    Answered(Box<Message>),
    /// It renews its lease.
    Register,
    /// It looks its runners over.
    Sweep,
    /// Some of its requests end and others begin.
    Load,
}

/// A call of the service.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    /// What follows, by number.
    pub follower: usize,
    /// What is asked for.
    pub ask: Ask,
    /// When no answer is waited for any more.
    pub until: u64,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub enum Ask {
    /// All entries.
    List(Freshness),
    /// Changes after a revision.
    Watch(u64),
}

/// What the service answered.
#[derive(Debug)]
pub enum Answer {
    /// All entries.
    Listed(edge::Result<Listing>),
    /// Changes.
    Watched(edge::Result<Update>),
}

/// The queue.
#[derive(Debug, Default)]
pub struct Queue {
    events: BTreeMap<(u64, u64), Event>,
    last: u64,
}

impl Queue {
    /// Puts an event at a time; events of one time stay in the order in which they were put.
    pub fn put(&mut self, at: u64, event: Event) {
        self.last += 1;
        self.events.insert((at, self.last), event);
    }

    /// Takes the next event until a time, this included.
    pub fn take(&mut self, until: u64) -> Option<(u64, Event)> {
        let next = self.events.first_entry()?;
        let (at, _) = *next.key();
        (at <= until).then(|| (at, next.remove()))
    }
}
