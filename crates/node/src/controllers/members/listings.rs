//! Which endpoints leave by the platform's list.
//!
//! Two VMs of a centre read the list, as reads by all would grow with the fleet; what they find
//! reaches the others with heartbeats.

use wire::clock::Millis;
use wire::id;

use super::beat::Listing;
use super::spread;
use super::spread::Spread;

/// By how much a finding must be newer than the known one, in milliseconds; see the slack of load
/// reports.
const SLACK: Millis = Millis::new(200);

#[derive(Clone, Debug)]
struct Row {
    endpoint: id::Endpoint,
    leaving: bool,
    at: Millis,
}

/// The findings, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Listings {
    rows: Vec<Row>,
    news: Spread<id::Endpoint>,
}

impl Listings {
    /// Tells whether an endpoint leaves.
    #[must_use]
    pub fn leaves(&self, endpoint: &id::Endpoint) -> bool {
        self.at(endpoint).is_ok_and(|at| self.rows[at].leaving)
    }

    /// Yields the endpoints that leave.
    pub fn leaving(&self) -> impl Iterator<Item = &id::Endpoint> {
        self.rows.iter().filter(|r| r.leaving).map(|r| &r.endpoint)
    }

    /// Takes a finding, the own ones too; news where it differs from what was known.
    pub fn merge(&mut self, told: &Listing, now: Millis) {
        let row = Row {
            endpoint: told.endpoint.clone(),
            leaving: told.leaving,
            at: Millis::new(now.as_u64().saturating_sub(told.age.as_u64())),
        };
        match self.at(&told.endpoint) {
            // One that never left is no news.
            Err(_) if !told.leaving => return,
            Err(at) => self.rows.insert(at, row),
            Ok(at) if row.at < self.rows[at].at.plus(SLACK) => return,
            Ok(at) if row.leaving == self.rows[at].leaving => {
                self.rows[at].at = row.at;
                return;
            }
            Ok(at) => self.rows[at] = row,
        }
        self.news.push(told.endpoint.clone());
    }

    /// Picks up to `most` findings that are news, for a heartbeat in a fleet of `vms`.
    pub fn news(&mut self, most: usize, vms: usize, now: Millis) -> Vec<Listing> {
        let names = self.news.take(most, spread::sends(vms));
        let rows = names
            .iter()
            .filter_map(|e| Some(&self.rows[self.at(e).ok()?]));
        rows.map(|row| Listing {
            endpoint: row.endpoint.clone(),
            leaving: row.leaving,
            age: now.since(row.at),
        })
        .collect()
    }

    fn at(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.rows.binary_search_by(|r| r.endpoint.cmp(endpoint))
    }
}
