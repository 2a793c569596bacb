//! What keepers tell of the endpoints of the own data centre.
//!
//! Loads change all the time, so the traffic would grow with endpoints times VMs. Each frame
//! therefore has room for so many lines and no more: where there are more endpoints than fit,
//! reports grow older instead of the traffic larger, and owners add their own dispatches since.

use wire::clock::Millis;
use wire::id;

use super::super::poller::Audience;
use super::heartbeat;

/// How often one VM passes a report on. Two, as each VM hears four frames a round.
const MAX_SENDS: u32 = 2;
/// By how much a report must be newer than the known one, in milliseconds. Each hop adds its
/// transit time to the apparent time of a report; without the slack a report would come back as
/// newer than itself.
const SLACK: Millis = Millis::new(200);

/// An endpoint's last known report.
#[derive(Clone, Debug)]
pub struct Entry {
    /// What it says; its age is that of the moment it was taken in.
    pub load: heartbeat::Load,
    /// When it was made, by this VM's clock.
    pub made_at: Millis,
    sent: u32,
}

/// The reports, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    entries: Vec<Entry>,
}

impl Loads {
    /// Yields all reports.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        &self.entries
    }

    /// Takes a report, from the endpoint or from another VM. That an endpoint leaves isn't taken
    /// back by an older report.
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

    /// Takes a report from the endpoint itself.
    pub fn record(&mut self, load: &heartbeat::Load, audience: Audience, now: Millis) {
        self.merge(load, now);
        if audience == Audience::Local
            && let Ok(at) = self.position(&load.endpoint)
        {
            self.entries[at].sent = MAX_SENDS;
        }
    }

    /// Picks up to `most` reports for a frame: those sent least first, then the newest, and first
    /// of all those that say that an endpoint leaves or doesn't answer.
    pub fn take_reports(&mut self, max: usize, now: Millis) -> Vec<heartbeat::Load> {
        let mut due: Vec<&mut Entry> = self
            .entries
            .iter_mut()
            .filter(|r| r.sent < MAX_SENDS)
            .collect();
        due.sort_by_key(|r| {
            let healthy = r.load.up && !r.load.leaving;
            (healthy, r.sent, std::cmp::Reverse(r.made_at))
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
            .binary_search_by(|r| r.load.endpoint.cmp(endpoint))
    }

    /// Drops what the configuration no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.entries.retain(|r| keep(&r.load.endpoint));
    }
}
