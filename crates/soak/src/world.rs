//! What the parts of a run share.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use crate::balancer::Balancer;
use crate::oracle::Oracle;

/// What the parts of a run share.
#[derive(Debug)]
pub struct World {
    /// Which VM gets a new connection.
    pub balancer: Balancer,
    /// Data centres.
    pub centres: usize,
    oracle: Mutex<Oracle>,
}

impl World {
    /// Joins the parts.
    #[must_use]
    pub fn new(balancer: Balancer, centres: usize, oracle: Oracle) -> Self {
        Self {
            balancer,
            centres,
            oracle: Mutex::new(oracle),
        }
    }

    /// Yields the judge.
    pub fn oracle(&self) -> MutexGuard<'_, Oracle> {
        self.oracle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
