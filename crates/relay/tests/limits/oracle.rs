//! Counts what runners got of each workspace, and who was refused below the limit.

use std::fmt;

use wire::clock::Millis;

/// The limit of a workspace.
#[derive(Clone, Copy, Debug)]
pub struct Limit {
    /// Requests per second.
    pub per_second: u32,
    /// Requests on top of that.
    pub burst: u32,
    /// The span in which requests are counted.
    pub window: Millis,
}

impl Limit {
    /// Returns the requests that are allowed in a window.
    pub fn allowance(&self) -> u64 {
        let at_rate = u64::from(self.per_second) * self.window.as_u64() / 1_000;
        at_rate + u64::from(self.burst)
    }

    /// Returns the most requests that may run in any window: a tenth and 20 over the limit.
    pub fn bound(&self) -> u64 {
        self.allowance() * 11 / 10 + 20
    }
}

/// What became of the requests of a workspace.
#[derive(Debug)]
pub struct Account {
    limit: Limit,
    /// When requests reached a runner, in milliseconds, ascending.
    ran: Vec<u64>,
    refused: u64,
    /// Those that were refused while fewer than the limit had run in the last window.
    refused_below: u64,
    /// Requests that were refused for the limit, came back and never ran.
    lost: u64,
}

impl Account {
    /// Creates an account without requests.
    pub const fn new(limit: Limit) -> Self {
        Self {
            limit,
            ran: Vec::new(),
            refused: 0,
            refused_below: 0,
            lost: 0,
        }
    }

    /// Records that a runner got a request.
    pub fn note_ran(&mut self, at: u64) {
        self.ran.push(at);
    }

    /// Records that a request was refused for the limit.
    pub fn note_refused(&mut self, at: u64) {
        self.refused += 1;
        if self.in_window_before(at) < self.limit.allowance() {
            self.refused_below += 1;
        }
    }

    /// Records that a caller gave a request up that had been refused for the limit.
    pub const fn note_lost(&mut self) {
        self.lost += 1;
    }

    fn in_window_before(&self, at: u64) -> u64 {
        let begin = at.saturating_sub(self.limit.window.as_u64());
        let first = self.ran.partition_point(|ran_at| *ran_at <= begin);
        (self.ran.len() - first) as u64
    }

    /// Returns the most requests that ran in any window.
    pub fn most_in_a_window(&self) -> u64 {
        let last_in_window = self.ran.iter().enumerate().map(|(first, from)| {
            let until = from + self.limit.window.as_u64();
            let end = self.ran.partition_point(|at| *at <= until);
            (end - first) as u64
        });
        last_in_window.max().unwrap_or(0)
    }

    /// Returns whether no window holds more requests than are allowed.
    pub fn is_within_bound(&self) -> bool {
        self.most_in_a_window() <= self.limit.bound()
    }

    /// Returns the part of the limit that was used in a span, in a hundred.
    pub fn used_percent(&self, from: u64, until: u64) -> u64 {
        let ran = self.ran.iter().filter(|at| (from..until).contains(at));
        let allowed = self.limit.allowance() * (until - from) / self.limit.window.as_u64();
        ran.count() as u64 * 100 / allowed
    }

    /// Returns the requests that were given up, in a thousand.
    pub fn lost_per_mille(&self) -> u64 {
        self.lost * 1_000 / (self.lost + self.ran.len() as u64).max(1)
    }
}

impl fmt::Display for Account {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "most {} of {} (bound {}), ran {}, refused {}, below the limit {}, lost {}",
            self.most_in_a_window(),
            self.limit.allowance(),
            self.limit.bound(),
            self.ran.len(),
            self.refused,
            self.refused_below,
            self.lost
        )
    }
}
