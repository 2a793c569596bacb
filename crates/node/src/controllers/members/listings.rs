//! Which endpoints are leaving according to the platform's list.
//!
//! Only two VMs of a centre read the list, because reads by all VMs would grow with the fleet.
//! Their findings reach the other VMs with heartbeats.

use wire::clock::Millis;
use wire::id;

use super::broadcast;
use super::broadcast::Queue;
use super::heartbeat::Listing;

/// By how much a finding must be newer than the known one, in milliseconds, for the same reason as
/// with load reports: each hop adds its transit time to the apparent time of a finding.
const SLACK: Millis = Millis::new(200);

#[derive(Clone, Debug)]
struct Entry {
    endpoint: id::Endpoint,
    leaving: bool,
    read_at: Millis,
}

impl Entry {
    fn listing(&self, now: Millis) -> Listing {
        Listing {
            endpoint: self.endpoint.clone(),
            leaving: self.leaving,
            age: now.since(self.read_at),
        }
    }
}

/// The findings, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Listings {
    entries: Vec<Entry>,
    updates: Queue<id::Endpoint>,
}

impl Listings {
    /// Returns whether an endpoint is leaving.
    #[must_use]
    pub fn leaves(&self, endpoint: &id::Endpoint) -> bool {
        self.position(endpoint)
            .is_ok_and(|at| self.entries[at].leaving)
    }

    /// Returns the endpoints that are leaving.
    pub fn leaving(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.entries
            .iter()
            .filter(|e| e.leaving)
            .map(|e| &e.endpoint)
    }

    /// Merges a finding of this VM or of another one. It is sent to others if it differs from what
    /// was known.
    pub fn merge(&mut self, received: &Listing, now: Millis) {
        let entry = Entry {
            endpoint: received.endpoint.clone(),
            leaving: received.leaving,
            read_at: Millis::new(now.as_u64().saturating_sub(received.age.as_u64())),
        };
        match self.position(&received.endpoint) {
            // An endpoint that was never leaving is no update.
            Err(_) if !received.leaving => return,
            Err(at) => self.entries.insert(at, entry),
            Ok(at) if entry.read_at < self.entries[at].read_at.plus(SLACK) => return,
            Ok(at) if entry.leaving == self.entries[at].leaving => {
                self.entries[at].read_at = entry.read_at;
                return;
            }
            Ok(at) => self.entries[at] = entry,
        }
        self.updates.push(received.endpoint.clone());
    }

    /// Takes up to `max` findings to send with a heartbeat in a fleet of `vms`.
    pub fn take_updates(&mut self, max: usize, vms: usize, now: Millis) -> Vec<Listing> {
        let names = self.updates.take(max, broadcast::transmit_limit(vms));
        let entries = names
            .iter()
            .filter_map(|e| Some(&self.entries[self.position(e).ok()?]));
        entries.map(|entry| entry.listing(now)).collect()
    }

    /// Returns the findings on endpoints that are leaving, for a VM that has just started and missed
    /// the updates.
    #[must_use]
    pub fn all_leaving(&self, now: Millis) -> Vec<Listing> {
        let leaving = self.entries.iter().filter(|entry| entry.leaving);
        leaving.map(|entry| entry.listing(now)).collect()
    }

    fn position(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.entries.binary_search_by(|e| e.endpoint.cmp(endpoint))
    }
}
