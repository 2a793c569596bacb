//! The numbered result codes and the refusal that carries one to a caller.
//!
//! `docs/ERRORS.md` explains each number; a test compares the page with [`Code::ALL`].

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;

/// Whether the refused request ran at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// The request did not run, and is guaranteed never to run later.
    No,
    /// The request may have run, or may still run.
    Unknown,
    /// The request ran.
    Yes,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $status:literal, $text:literal;)*) => {
        /// A numbered result code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub enum Code { $(#[doc = $text] $name,)* }

        impl Code {
            /// All codes, in numerical order.
            pub const ALL: &'static [Self] = &[$(Self::$name,)*];

            /// Returns the code's number. The meaning of a number never changes.
            #[must_use]
            pub const fn number(self) -> u16 {
                match self { $(Self::$name => $number,)* }
            }

            /// Returns the HTTP status of responses with this code.
            #[must_use]
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status,)* }
            }

            /// Returns the fixed part of the message.
            #[must_use]
            pub const fn text(self) -> &'static str {
                match self { $(Self::$name => $text,)* }
            }
        }
    };
}

codes! {
    BadJson = 1101, 400, "the body isn't the JSON that this path takes";
    BodyTooLarge = 1102, 413, "the body is over the limit";
    HeadersTooLarge = 1103, 431, "the headers are over the limit";
    BadField = 1104, 400, "a field or header has a value that isn't allowed";
    UnknownPath = 1105, 404, "no such path";
    ReadTimeout = 1106, 408, "the request wasn't received in time";
    BadMethod = 1107, 405, "the path doesn't take this method";
    TooManyConnections = 1108, 503, "the VM has as many connections as it takes";
    VersionTooOld = 1109, 505, "streams take HTTP/1.1";
    UnknownToken = 1201, 401, "the token isn't known";
    NotAllowed = 1202, 403, "no selector lets this work use such an endpoint";
    UnknownModel = 1203, 404, "the model isn't known";
    UnknownService = 1204, 404, "the service or operation isn't known";
    UnknownProgram = 1205, 404, "the program isn't known";
    UnknownKey = 1206, 401, "no workspace holds the key";
    RevokedKey = 1207, 401, "the key was taken away";
    WrongTurn = 1301, 409, "the turn isn't the next one";
    TurnConflict = 1302, 409, "the turn was asked before with other content";
    ProgramEnded = 1303, 410, "the program has ended";
    KeyConflict = 1304, 422, "the idempotency key was used with other content";
    KeyMissing = 1305, 400, "the operation needs an idempotency key";
    UnknownTurn = 1306, 404, "no such turn is kept";
    BudgetSpent = 2101, 403, "the program's token budget is spent";
    TurnLimit = 2102, 403, "the program has had all its turns";
    IdleExpired = 2103, 410, "the program was idle for too long";
    TokensSpent = 2104, 402, "the program's tokens are spent";
    QueueFull = 2201, 429, "too much work waits";
    Overloaded = 2202, 429, "the work isn't let in at the present load";
    DeadlineUnmeetable = 2203, 503, "the deadline can't be met";
    NoEndpoint = 2204, 503, "no endpoint can take the work now";
    WaitedTooLong = 2205, 503, "the work waited as long as it may";
    OverLimit = 2206, 429, "the workspace is over its limit";
    OverShare = 2207, 429, "the VM's share of the workspace's limit is used up";
    BuildUnavailable = 2208, 503, "the build that began the stream isn't known or has no endpoint";
    MemoryTaken = 2209, 503, "requests under way hold all the memory that they may";
    StreamUnknown = 2210, 503, "what the caller has of the stream isn't known";
    HistoryTooLong = 2211, 503, "the turn's history is longer than the VM's memory for requests";
    EndpointFailed = 3101, 502, "the endpoint failed";
    Poisoned = 3102, 500, "the request crashed the endpoints that ran it";
    AnswerIncomplete = 3103, 502, "the answer couldn't be completed";
    OutcomeUnknown = 3104, 504, "the call was sent and its outcome isn't known";
    EndpointRefused = 3105, 503, "the endpoint refused the call";
    NoOwner = 4101, 503, "the program's shard has no owner now";
    HomeUnreachable = 4102, 503, "the program's data centre can't be reached";
    OwnerLost = 4103, 503, "the owner changed while the call was under way";
    PlatformDown = 4104, 503, "the call needs the platform, which doesn't answer";
    ShuttingDown = 4105, 503, "the VM is shutting down";
    ForwardFailed = 4106, 503, "the VM that owns the program broke off";
    RecordsUnreachable = 4107, 503, "too few VMs with a disk answer";
    NoConfiguration = 4108, 503, "no configuration is known yet";
    StaleConfiguration = 4109, 503, "the configuration may have changed without the VM hearing of it";
    RecordsLost = 4110, 503, "records may have been lost with disks";
    RevisionConflict = 5101, 409, "the configuration changed meanwhile";
    BadChange = 5102, 400, "the change isn't allowed";
    ChangeUnknown = 5103, 504, "it isn't known whether the change was accepted";
    UnknownSubject = 5104, 404, "no such caller, program, endpoint or selector";
    BadSettings = 6101, 500, "the settings have faults";
    Internal = 9001, 500, "an internal fault";
}

/// A refusal: the final response to a request that can't be answered as requested.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
#[display("CY{}: {message}", code.number())]
pub struct Refusal {
    /// The result code.
    pub code: Code,
    /// The reason in words, with the relevant values.
    pub message: String,
    /// Whether the request ran.
    pub ran: Ran,
    /// The time after which to retry. `None` if a retry is of no use.
    pub retry_after: Option<Millis>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run, for which a retry is of no use.
    #[must_use]
    pub fn new(code: Code, detail: &str) -> Self {
        let message = match detail {
            "" => code.text().to_owned(),
            _ => format!("{}: {detail}", code.text()),
        };
        Self {
            code,
            message,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Returns what the message adds to the fixed part; empty if it adds nothing.
    #[must_use]
    pub fn detail(&self) -> &str {
        let added = self.message.strip_prefix(self.code.text());
        added.map_or(&self.message, |added| added.trim_start_matches(": "))
    }

    /// Sets the time after which to retry.
    #[must_use]
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Sets whether the request ran.
    #[must_use]
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = ran;
        self
    }

    /// Returns the response body for callers.
    #[must_use]
    pub fn to_json(&self) -> serde_json::Value {
        serde_json::json!({ "error": {
            "code": format!("CY{}", self.code.number()),
            "type": "chestnutyoke",
            "message": self.message,
            "ran": self.ran,
            "retry_after_ms": self.retry_after,
        }})
    }
}
