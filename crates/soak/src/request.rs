//! The requests that clients send.

use std::fmt::Write;
use std::time::Duration;

use bytes::Bytes;
use fakes::runner;
use fakes::store;

use crate::body::Pace;

/// The time-out of the route for long turns, in milliseconds.
pub const LONG_MS: u64 = 7_000;
/// The tokens that one event of a stream counts for; set in the configuration of the service.
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
    /// A long turn of a program.
    Long,
    /// A turn of a program whose stream may be resumed.
    Resumable,
    /// A call of the route that the configuration of this version added.
    Added(u64),
    /// A call of the route that the configuration of this version added and a later one dropped.
    Dropped(u64),
}

impl Kind {
    /// Returns the path prefix of its route.
    #[must_use]
    pub fn prefix(self) -> String {
        match self {
            Self::Look => "/look/".to_owned(),
            Self::Order => "/order/".to_owned(),
            Self::Talk => "/talk/".to_owned(),
            Self::Kept => "/kept/".to_owned(),
            Self::Long => "/long/".to_owned(),
            Self::Resumable => "/both/".to_owned(),
            Self::Added(version) | Self::Dropped(version) => format!("/new-{version}/"),
        }
    }

    /// Returns the time-out of its route.
    #[must_use]
    pub const fn timeout(self) -> Duration {
        match self {
            Self::Long => Duration::from_millis(LONG_MS),
            _ => Duration::from_millis(store::DEFAULT_TIMEOUT_MS),
        }
    }

    /// Returns whether it may run at most once.
    #[must_use]
    pub const fn runs_once(self) -> bool {
        matches!(self, Self::Order | Self::Kept | Self::Long)
    }

    /// Returns whether it is a turn of a program.
    #[must_use]
    pub const fn is_turn(self) -> bool {
        matches!(self, Self::Kept | Self::Long | Self::Resumable)
    }
}

/// What a client asks for. Each attempt at it is a request of its own.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its kind.
    pub kind: Kind,
    /// The number of events in its answer.
    pub events: u64,
    /// The pause before each event.
    pub pause: Duration,
    /// How long the client waits, as it states in the request.
    pub deadline: Duration,
    /// The time after which the client leaves without notice, if it does.
    pub leave_after: Option<Duration>,
    /// How the client sends the body.
    pub pace: Pace,
    /// The input.
    pub input: Bytes,
    /// The data of a turn, if the request is one.
    pub turn: Option<Turn>,
    /// What the client has of the stream, if the attempt takes it up.
    pub got: Option<Got>,
}

/// What a client has of a stream that broke off.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Got {
    /// The id of the attempt that brought its first event.
    pub first: String,
    /// The id of its last event.
    pub last_event: u64,
    /// The data of its events, each followed by a line feed.
    pub data: String,
}

impl Got {
    /// Returns what a client has after an attempt `id` at `spec` that broke off with this part of its answer.
    #[must_use]
    pub fn after(spec: &Spec, id: &str, body: &str) -> Option<Self> {
        let complete = body.rfind("\n\n").map_or("", |end| &body[..end]);
        let lines = complete
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let data: String = lines.map(|data| data.to_owned() + "\n").collect();
        let events = data.lines().count() as u64;
        match &spec.got {
            _ if events == 0 => spec.got.clone(),
            None => Some(Self {
                first: id.to_owned(),
                last_event: events,
                data,
            }),
            Some(before) => Some(Self {
                first: before.first.clone(),
                last_event: before.last_event + events,
                data: format!("{}{data}", before.data),
            }),
        }
    }
}

/// The data of a turn.
#[derive(Clone, Debug)]
pub struct Turn {
    /// The index of its program.
    pub program: usize,
    /// The token budget of all turns of the program together.
    pub budget: u64,
    /// The id of the turn that it continues.
    pub previous: Option<String>,
}

impl Spec {
    /// Returns the path and query.
    #[must_use]
    pub fn path(&self) -> String {
        format!(
            "{}x?events={}&pause={}&echo=1",
            self.kind.prefix(),
            self.events,
            self.pause.as_millis()
        )
    }

    /// Returns the id of the first event that the attempt's answer has.
    #[must_use]
    pub fn first_event(&self) -> u64 {
        self.got.as_ref().map_or(1, |got| got.last_event + 1)
    }

    /// Returns how long a runner works on it.
    #[must_use]
    pub fn work(&self) -> Duration {
        self.pause * u32::try_from(self.events).unwrap_or(u32::MAX)
    }

    /// Returns how long a runner works on what the client doesn't have.
    #[must_use]
    pub fn work_left(&self) -> Duration {
        let left = self.events + 1 - self.first_event();
        self.pause * u32::try_from(left).unwrap_or(u32::MAX)
    }

    /// Returns the most tokens that it generates.
    #[must_use]
    pub const fn max_tokens(&self) -> u64 {
        self.events * EVENT_TOKENS
    }
}

/// Returns the complete answer to an attempt at `spec` of which the runner received `body`.
#[must_use]
pub fn answer(id: &str, body: &[u8], spec: &Spec) -> String {
    let mut whole = String::new();
    for event in spec.first_event()..=spec.events {
        let data = runner::echo(id, body, event);
        // Writing to a string can't fail.
        let _written = write!(whole, "id: {event}\ndata: {data}\n\n");
    }
    whole
}

/// Returns the text that a turn with this answer appends to its chain.
#[must_use]
pub fn output(id: &str, body: &[u8], spec: &Spec) -> String {
    let before = spec.got.as_ref().map_or("", |got| got.data.as_str());
    let events = spec.first_event()..=spec.events;
    let lines = events.map(|event| runner::echo(id, body, event) + "\n");
    before.to_owned() + &lines.collect::<String>()
}
