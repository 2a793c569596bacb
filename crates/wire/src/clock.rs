//! The type for points in time and time spans, and the clock that provides the current time.
//!
//! Decisions take the time as a [`Millis`] argument and never read a clock, so that tests control
//! it.

use std::fmt;
use std::sync::Arc;
use std::sync::OnceLock;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use nix::time::ClockId;
use nix::time::clock_gettime;
use serde::Deserialize;
use serde::Serialize;

/// A point in time (since the Unix epoch) or a span of time, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(u64);

impl Millis {
    /// The empty span.
    pub const ZERO: Self = Self(0);

    /// Wraps a count of milliseconds.
    #[must_use]
    pub const fn new(millis: u64) -> Self {
        Self(millis)
    }

    /// Returns the count of milliseconds.
    #[must_use]
    pub const fn as_u64(self) -> u64 {
        self.0
    }

    /// Adds a span, saturating at the largest value.
    #[must_use]
    pub const fn plus(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }

    /// Returns the span since `earlier`, or [`Millis::ZERO`] if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }

    /// Converts to a [`Duration`], for timers.
    #[must_use]
    pub const fn as_duration(self) -> Duration {
        Duration::from_millis(self.0)
    }
}

impl From<Duration> for Millis {
    fn from(span: Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// A source of the current time.
#[derive(Clone, Debug, Default)]
pub enum Clock {
    /// The system time at process start plus the time since then. It never goes back when the
    /// system clock is changed, and it includes the time for which the VM was suspended: otherwise
    /// what a process knew before would still look recent.
    #[default]
    System,
    /// A time that a test sets, in milliseconds.
    Manual(Arc<AtomicU64>),
}

impl Clock {
    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Millis {
        match self {
            Self::System => system_now(),
            Self::Manual(time) => Millis(time.load(Ordering::SeqCst)),
        }
    }
}

fn system_now() -> Millis {
    static START: OnceLock<(Millis, Duration)> = OnceLock::new();
    let (wall, started) = START.get_or_init(|| {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        (Millis::from(wall), since_boot())
    });
    wall.plus(Millis::from(since_boot().saturating_sub(*started)))
}

/// Returns the time since the VM's boot, suspensions included.
fn since_boot() -> Duration {
    // The clock exists on all supported kernels; without it, all ages would be zero.
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("the kernel has a boot-time clock");
    Duration::from(time)
}
