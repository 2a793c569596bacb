//! The names of the headers that callers and endpoints use.

/// The program of a request or an answer.
pub const PROGRAM: &str = "chestnutyoke-program";
/// The turn of a request or an answer, from 1.
pub const TURN: &str = "chestnutyoke-turn";
/// How long the caller waits, in milliseconds.
pub const DEADLINE: &str = "chestnutyoke-deadline-ms";
/// The caller's key that makes a request idempotent; forwarded to services.
pub const KEY: &str = "idempotency-key";
/// The id of the attempt, sent to runners and services.
pub const ATTEMPT: &str = "chestnutyoke-attempt";
/// After how many seconds a refused request may be sent again.
pub const RETRY_AFTER: &str = "retry-after";
