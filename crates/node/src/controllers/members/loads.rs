//! Load reports of the endpoints of the own data centre.
//!
//! Loads change all the time, so sending each change to each VM would cause traffic that grows with
//! the number of endpoints times the number of VMs. Each frame therefore has room for a fixed
//! number of reports. With more endpoints than fit, the reports become older but the traffic
//! doesn't grow; owners add the calls that they have dispatched since a report was made.

use wire::clock::Millis;
use wire::id;

use super::super::poller::Audience;
use super::heartbeat;

/// How often one VM forwards a report. Two suffice because each VM receives four frames a round.
const MAX_SENDS: u32 = 2;
/// By how much a report must be newer than the known one, in milliseconds. Each hop adds its
/// transit time to the apparent time of a report, so without this margin a report would come back
/// as newer than itself.
const SLACK: Millis = Millis::new(200);

/// An endpoint's latest known report.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The report. Its age is the one at the time when this VM received it.
    pub load: heartbeat::Load,
    /// When the report was made, by this VM's clock.
    pub made_at: Millis,
    sent: u32,
}

/// The reports, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    entries: Vec<Entry>,
}

impl Loads {
    /// Returns all reports.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Merges a report, from the endpoint or from another VM. An older report can't revert that an
    /// endpoint is leaving.
    pub fn merge(&mut self, load: &heartbeat::Load, now: Millis) {
        let new = Entry {
            load: load.clone(),
            made_at: Millis::new(now.as_u64().saturating_sub(load.age.as_u64())),
            sent: 0,
        };
        match self.position(&load.endpoint) {
            Err(at) => self.entries.insert(at, new),
            Ok(at) if new.made_at >= self.entries[at].made_at.plus(SLACK) => self.entries[at] = new,
            Ok(_) => {}
        }
    }

    /// Merges a report that this VM got from the endpoint itself. One for [`Audience::Local`] isn't
    /// forwarded.
    pub fn record(&mut self, load: &heartbeat::Load, audience: Audience, now: Millis) {
        self.merge(load, now);
        if audience == Audience::Local
            && let Ok(at) = self.position(&load.endpoint)
        {
            self.entries[at].sent = MAX_SENDS;
        }
    }

    /// Takes up to `max` reports for a frame: those of endpoints that are leaving or don't answer
    /// first, then those sent least often, then the newest.
    pub fn take_reports(&mut self, max: usize, now: Millis) -> Vec<heartbeat::Load> {
        let mut due: Vec<&mut Entry> = self
            .entries
            .iter_mut()
            .filter(|e| e.sent < MAX_SENDS)
            .collect();
        due.sort_by_key(|e| {
            let healthy = e.load.up && !e.load.leaving;
            (healthy, e.sent, std::cmp::Reverse(e.made_at))
        });
        due.truncate(max);
        let reports = due.into_iter().map(|entry| {
            entry.sent += 1;
            let mut load = entry.load.clone();
            load.age = now.since(entry.made_at);
            load
        });
        reports.collect()
    }

    fn position(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.entries
            .binary_search_by(|e| e.load.endpoint.cmp(endpoint))
    }

    /// Drops the reports of endpoints that `keep` rejects, as the configuration no longer has them.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.entries.retain(|e| keep(&e.load.endpoint));
    }
}
