//! Total load of the runners, for the metrics endpoint.

use adapter::runner::State;
use policy::opening::Room;
use policy::subset::MAX_USED;
use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::runner::Runner;
use crate::fleet::subset;

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
    /// Sums up the load of the runners of a service that a VM of a data centre uses. `turn` says how
    /// long a request takes.
    #[must_use]
    pub fn room(&self, service: &str, vm: &str, centre: &str, turn: Millis, now: Millis) -> Room {
        let is_usable = |runner: &&Runner| {
            runner.entry.service == service
                && runner.entry.state == State::Ready
                && !runner.unreachable
                && !runner.is_held_off(now)
        };
        let usable: Vec<&Runner> = self.runners.iter().filter(is_usable).collect();
        let mut room = Room {
            turn,
            ..Room::default()
        };
        for runner in subset::used(vm, centre, &usable, MAX_USED) {
            let (others, _) = runner.peer_reports.all(now);
            room.slots = room.slots.saturating_add(runner.entry.slots);
            room.occupied = room
                .occupied
                .saturating_add(runner.own_requests.saturating_add(others));
        }
        room
    }

    /// Sums up the load of all runners as far as this VM knows it.
    #[must_use]
    pub fn load(&self, now: Millis) -> Load {
        let mut load = Load::default();
        for runner in &self.runners {
            let (others, _) = runner.peer_reports.all(now);
            load.runners += 1;
            load.slots += u64::from(runner.entry.slots);
            load.own_requests += u64::from(runner.own_requests);
            load.occupied += u64::from(runner.own_requests.saturating_add(others));
            load.slowed += u64::from(runner.is_slowed(now));
        }
        load
    }
}
