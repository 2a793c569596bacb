//! Total load of the runners, for the metrics endpoint.

use wire::clock::Millis;

use crate::fleet::Fleet;

/// Total load of the runners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Number of runners.
    pub runners: u64,
    /// Number of requests that the runners work on at once.
    pub slots: u64,
    /// Requests of this VM in flight at the runners.
    pub own_requests: u64,
    /// Requests of all VMs in flight at the runners.
    pub occupied: u64,
    /// Runners whose machines were slower than usual when that was last read, not long ago.
    pub slowed: u64,
}

impl Fleet {
    /// Sums up the load of all runners as far as this VM knows it.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load::default();
        for runner in &self.runners {
            let (others, _) = runner.peer_reports.all(now);
            load.runners += 1;
            load.slots += u64::from(runner.entry.slots);
            load.own_requests += u64::from(runner.own_requests);
            load.occupied += u64::from(runner.own_requests + others);
            load.slowed += u64::from(runner.is_slowed(now));
        }
        load
    }
}
