//! What clients ask for.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use fakes::runner;
use fakes::store;

use crate::body::Pace;

/// How long a route for long turns lets them take.
pub const LONG_MS: u64 = 7_000;
/// The tokens that an event of a stream stands for, as the configuration tells.
pub const EVENT_TOKENS: u64 = 10;

/// A kind of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A call that may be repeated.
    Look,
    /// A call that runs at most once.
    Order,
    /// A stream that may be resumed.
    Talk,
    /// A turn of a program.
    Kept,
    /// A turn that takes long.
    Long,
    /// A call of a route that was added while the system ran.
    Added(u64),
    /// A call of a route that was dropped.
    Dropped(u64),
}

impl Kind {
    /// Yields the path that its route begins with.
    #[must_use]
    pub fn prefix(self) -> String {
        match self {
            Self::Look => "/look/".to_owned(),
            Self::Order => "/order/".to_owned(),
            Self::Talk => "/talk/".to_owned(),
            Self::Kept => "/kept/".to_owned(),
            Self::Long => "/long/".to_owned(),
            Self::Added(version) | Self::Dropped(version) => format!("/new-{version}/"),
        }
    }

    /// Yields how long its route lets it take.
    #[must_use]
    pub const fn timeout(self) -> Duration {
        match self {
            Self::Long => Duration::from_millis(LONG_MS),
            _ => Duration::from_millis(store::DEFAULT_TIMEOUT_MS),
        }
    }

    /// Tells whether it may run once at most.
    #[must_use]
    pub const fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Kept | Self::Long)
    }

    /// Tells whether it is a turn of a program.
    #[must_use]
    pub const fn is_turn(self) -> bool {
        matches!(self, Self::Kept | Self::Long)
    }
}

/// What a client wants; each attempt at it is a request of its own.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its kind.
    pub kind: Kind,
    /// The events of its answer.
    pub events: u64,
    /// The pause before each.
    pub pause: Duration,
    /// How long the client says that it waits.
    pub deadline: Duration,
    /// When it leaves without a word, where it does.
    pub leave_after: Option<Duration>,
    /// How it sends the body.
    pub pace: Pace,
    /// The input.
    pub input: Bytes,
    /// What makes it a turn.
    pub turn: Option<Turn>,
}

/// What makes a request a turn.
#[derive(Clone, Debug)]
pub struct Turn {
    /// The program, by its place.
    pub program: usize,
    /// The tokens that all turns of the program may generate.
    pub budget: u64,
    /// The turn that it continues from.
    pub previous: Option<String>,
}

impl Spec {
    /// Yields the path and query.
    #[must_use]
    pub fn path(&self) -> String {
        format!(
            "{}x?events={}&pause={}&echo=1",
            self.kind.prefix(),
            self.events,
            self.pause.as_millis()
        )
    }

    /// Yields how long its runner works on it.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.pause * u32::try_from(self.events).unwrap_or(u32::MAX)
    }

    /// Yields the most tokens that it generates.
    #[must_use]
    pub const fn max_tokens(&self) -> u64 {
        self.events * EVENT_TOKENS
    }
}

/// Yields the whole answer to a request whose runner got `body`.
#[must_use]
pub fn answer(id: &str, body: &[u8], events: u64) -> String {
    let mut whole = String::new();
    for event in 1..=events {
        let data = runner::echo(id, body, event);
        // Writing to a string can't fail.
        let _written = write!(whole, "id: {event}\ndata: {data}\n\n");
    }
    whole
}

/// Yields what a turn with such an answer adds to its chain.
#[must_use]
pub fn output(id: &str, body: &[u8], events: u64) -> String {
    let lines = (1..=events).map(|event| runner::echo(id, body, event) + "\n");
    lines.collect()
}
