//! What keepers tell of the endpoints of the own data centre.
//!
//! Loads change all the time, so the traffic would grow with endpoints times VMs. Each frame
//! therefore has room for so many lines and no more: where there are more endpoints than fit,
//! reports grow older instead of the traffic larger, and owners add their own dispatches since.

use wire::clock::Millis;
use wire::id;

use super::super::keeper::Tell;
use super::beat;

/// How often one VM passes a report on. Two, as each VM hears four frames a round.
const SENDS: u32 = 2;
/// By how much a report must be newer than the known one, in milliseconds. Each hop adds its
/// transit time to the apparent time of a report; without the slack a report would come back as
/// newer than itself.
const SLACK: Millis = Millis::new(200);

/// An endpoint's last known report.
#[derive(Clone, Debug)]
pub struct Row {
    /// What it says; its age is that of the moment it was taken in.
    pub line: beat::Load,
    /// When it was made, by this VM's clock.
    pub at: Millis,
    sent: u32,
}

/// The reports, sorted by endpoint.
#[derive(Clone, Debug, Default)]
pub struct Loads {
    rows: Vec<Row>,
}

impl Loads {
    /// Yields all reports.
    #[must_use]
    pub fn rows(&self) -> &[Row] {
        &self.rows
    }

    /// Takes a report, from the endpoint or from another VM. That an endpoint leaves isn't taken
    /// back by an older report.
    pub fn merge(&mut self, line: &beat::Load, now: Millis) {
        let row = Row {
            line: line.clone(),
            at: Millis::new(now.as_u64().saturating_sub(line.age.as_u64())),
            sent: 0,
        };
        match self.at(&line.endpoint) {
            Err(at) => self.rows.insert(at, row),
            Ok(at) if row.at >= self.rows[at].at.plus(SLACK) => self.rows[at] = row,
            Ok(_) => {}
        }
    }

    /// Takes a report from the endpoint itself.
    pub fn keep(&mut self, line: &beat::Load, tell: Tell, now: Millis) {
        self.merge(line, now);
        if tell == Tell::Nobody
            && let Ok(at) = self.at(&line.endpoint)
        {
            self.rows[at].sent = SENDS;
        }
    }

    /// Picks up to `most` reports for a frame: those sent least first, then the newest, and first
    /// of all those that say that an endpoint leaves or doesn't answer.
    pub fn pick(&mut self, most: usize, now: Millis) -> Vec<beat::Load> {
        let mut due: Vec<&mut Row> = self.rows.iter_mut().filter(|r| r.sent < SENDS).collect();
        due.sort_by_key(|r| {
            let well = r.line.up && !r.line.leaving;
            (well, r.sent, std::cmp::Reverse(r.at))
        });
        due.truncate(most);
        let told = due.into_iter().map(|row| {
            row.sent += 1;
            let mut line = row.line.clone();
            line.age = now.since(row.at);
            line
        });
        told.collect()
    }

    fn at(&self, endpoint: &id::Endpoint) -> std::result::Result<usize, usize> {
        self.rows
            .binary_search_by(|r| r.line.endpoint.cmp(endpoint))
    }

    /// Drops what the configuration no longer has.
    pub fn retain(&mut self, keep: impl Fn(&id::Endpoint) -> bool) {
        self.rows.retain(|r| keep(&r.line.endpoint));
    }
}
