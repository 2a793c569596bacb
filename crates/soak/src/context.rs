//! The state that the parts of a run share.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use crate::balancer::Balancer;
use crate::oracle::Oracle;

/// The state that the parts of a run share.
#[derive(Debug)]
pub struct Context {
    /// Chooses the VM for each new connection.
    pub balancer: Balancer,
    /// The number of data centres.
    pub centres: usize,
    oracle: Mutex<Oracle>,
    /// How many active faults have clients send bodies slowly.
    slow_bodies: AtomicUsize,
}

impl Context {
    /// Creates the shared state.
    #[must_use]
    pub fn new(balancer: Balancer, centres: usize, oracle: Oracle) -> Self {
        Self {
            balancer,
            centres,
            oracle: Mutex::new(oracle),
            slow_bodies: AtomicUsize::new(0),
        }
    }

    /// Locks the oracle.
    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        self.oracle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Has some clients send bodies slowly until [`Self::end_slow_bodies`].
    pub fn begin_slow_bodies(&self) {
        self.slow_bodies.fetch_add(1, Ordering::SeqCst);
    }

    /// Ends one [`Self::begin_slow_bodies`].
    pub fn end_slow_bodies(&self) {
        self.slow_bodies.fetch_sub(1, Ordering::SeqCst);
    }

    /// Returns whether some clients send bodies slowly.
    #[must_use]
    pub fn has_slow_bodies(&self) -> bool {
        self.slow_bodies.load(Ordering::SeqCst) > 0
    }
}
