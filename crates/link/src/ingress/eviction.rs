//! How a listener has one of its connections end.

use tokio::sync::SetOnce;

/// Tells a connection that it has to end, and why.
pub(crate) type Eviction = SetOnce<Cause>;

/// Why a listener has a connection end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Another one needs its place, and is open already.
    Room,
    /// Its time is up.
    Time,
}
