//! How a listener has one of its connections end.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

use tokio_util::sync::CancellationToken;

/// Why a listener has a connection end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Another one needs its place, and is open already.
    Room,
    /// Its time is up.
    Time,
}

/// Tells a connection that it has to end.
#[derive(Debug, Default)]
pub(crate) struct Eviction {
    evicted: CancellationToken,
    is_for_room: AtomicBool,
}

impl Eviction {
    /// Has the connection end.
    pub(crate) fn evict(&self, cause: Cause) {
        self.is_for_room
            .store(cause == Cause::Room, Ordering::Relaxed);
        self.evicted.cancel();
    }

    /// Returns whether the connection has to end.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.is_cancelled()
    }

    /// Returns the cause once the connection has to end.
    pub(crate) async fn evicted(&self) -> Cause {
        self.evicted.cancelled().await;
        if self.is_for_room.load(Ordering::Relaxed) {
            Cause::Room
        } else {
            Cause::Time
        }
    }
}
