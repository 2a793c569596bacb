//! What all runners have to do, for scrapers.

use wire::clock::Millis;

use crate::fleet::Fleet;

/// What all runners have to do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// How many runners there are.
    pub runners: u64,
    /// Requests that they work on at once.
    pub slots: u64,
    /// Requests of this VM under way at them.
    pub own_requests: u64,
    /// Requests of all VMs.
    pub occupied: u64,
}

impl Fleet {
    /// Sums up the runners' load, as far as this VM knows it.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load::default();
        for runner in &self.runners {
            let (others, _) = runner.peer_reports.all(now);
            load.runners += 1;
            load.slots += u64::from(runner.entry.slots);
            load.own_requests += u64::from(runner.own_requests);
            load.occupied += u64::from(runner.own_requests + others);
        }
        load
    }
}
