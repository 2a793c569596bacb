//! What the reports that VMs tell each other of single runners have in common.
//!
//! Of two reports on a runner the newer one counts, whoever made it, and nothing is confirmed or repeated.

use wire::clock::Millis;

use crate::fleet::Fleet;
use crate::fleet::runner::Runner;

/// What a message takes on its way at most, as a rule. Without it, a VM that hears its own report
/// again would take it for a newer one.
const MESSAGE_TIME: Millis = Millis::new(5);

/// Returns the hash by which VMs tell each other of a runner, from that of its id.
#[expect(
    clippy::cast_possible_truncation,
    reason = "two runners of the same hash would only take each other's reports"
)]
pub(super) const fn short_hash(id_hash: u64) -> u32 {
    id_hash as u32
}

/// Returns when a report was made that is `age` milliseconds old by what its VM told.
pub(super) fn made_at(age: u64, now: Millis) -> Millis {
    now.since(Millis::new(age).plus(MESSAGE_TIME))
}

/// Returns the newest reports, at most `max`, sorted by runner.
pub(super) fn newest<T>(
    reports: impl Iterator<Item = T>,
    max: usize,
    age: impl Fn(&T) -> u64,
    runner: impl Fn(&T) -> u32,
) -> Vec<T> {
    let mut reports: Vec<T> = reports.collect();
    if reports.len() > max {
        reports.sort_by_key(age);
        reports.truncate(max);
    }
    reports.sort_by_key(runner);
    reports
}

impl Fleet {
    /// Returns the runners of reports that are sorted by runner, each with its report.
    pub(super) fn reported<'a, T>(
        &'a mut self,
        reports: &'a [T],
        runner: impl Fn(&T) -> u32,
    ) -> impl Iterator<Item = (&'a mut Runner, &'a T)> {
        self.runners.iter_mut().filter_map(move |known| {
            let hash = short_hash(known.id_hash);
            let index = reports.binary_search_by_key(&hash, &runner).ok()?;
            Some((known, &reports[index]))
        })
    }
}
