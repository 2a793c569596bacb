//! Limits the rate of log lines of each event, and counts the dropped lines.
//!
//! Without a limit, one event that floods would fill the queue for all others. Lines of an event
//! beyond its rate are dropped, as are lines for which the queue has no room. Both are counted by
//! event.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

/// The most lines of one event that are written within a [`WINDOW`]: about as many as a VM writes
/// that uses a whole core to serve turns, so that only events that repeat in a loop are limited.
pub const MAX_LINES_PER_WINDOW: u32 = 2_000;
/// The span over which lines count towards the rate, and the shortest time between two reports.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Whether the queue has room for a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// The queue has room.
    Free,
    /// The queue is full.
    Full,
}

/// What happens to a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The line is written.
    Written,
    /// The line is dropped, and has been counted.
    Dropped,
}

/// The rate limits of all events.
#[derive(Debug, Default)]
pub struct Limit {
    /// Sorted by event number.
    events: Vec<Counter>,
    /// Lines that were dropped because the queue was full, not because of their rate.
    full: u64,
    /// When dropped lines were last reported.
    reported: Option<Instant>,
}

#[derive(Debug)]
struct Counter {
    event: u16,
    /// The start of the event's current window.
    window_start: Instant,
    /// Lines written within the current window.
    passed: u32,
    /// Lines dropped since the last report.
    dropped: u64,
}

/// The lines that were dropped since the last report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Each event's number and how many of its lines were dropped.
    events: Vec<(u16, u64)>,
    /// How many of them were dropped because the queue was full.
    full: u64,
}

impl Limit {
    /// Decides on a line of `event`, which is 0 for lines that name no event.
    pub fn decide(&mut self, event: u16, room: Room, now: Instant) -> Verdict {
        let counter = self.counter(event, now);
        if now.saturating_duration_since(counter.window_start) >= WINDOW {
            counter.window_start = now;
            counter.passed = 0;
        }
        let floods = counter.passed >= MAX_LINES_PER_WINDOW;
        if room == Room::Free && !floods {
            counter.passed += 1;
            return Verdict::Written;
        }
        counter.dropped += 1;
        self.full += u64::from(!floods);
        Verdict::Dropped
    }

    /// Takes the counts of dropped lines to report now. The report is empty if no lines were
    /// dropped or the last report was taken less than a [`WINDOW`] ago.
    pub fn take_report(&mut self, now: Instant) -> Report {
        let reported = self.reported;
        if reported.is_some_and(|reported| now.saturating_duration_since(reported) < WINDOW) {
            return Report::default();
        }
        let dropped = self.events.iter_mut().filter(|counter| counter.dropped > 0);
        let taken = dropped.map(|counter| (counter.event, std::mem::take(&mut counter.dropped)));
        let report = Report {
            events: taken.collect(),
            full: std::mem::take(&mut self.full),
        };
        if !report.is_empty() {
            self.reported = Some(now);
        }
        report
    }

    /// Returns whether there are dropped lines to report.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.events.iter().any(|counter| counter.dropped > 0)
    }

    /// Lets the next report be taken however soon after the last one.
    pub const fn allow_report(&mut self) {
        self.reported = None;
    }

    fn counter(&mut self, event: u16, now: Instant) -> &mut Counter {
        let found = self
            .events
            .binary_search_by_key(&event, |known| known.event);
        let at = found.unwrap_or_else(|at| {
            let new = Counter {
                event,
                window_start: now,
                passed: 0,
                dropped: 0,
            };
            self.events.insert(at, new);
            at
        });
        &mut self.events[at]
    }
}

impl Report {
    /// Returns whether no lines were dropped.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Returns how many lines were dropped.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.events.iter().map(|(_, lines)| lines).sum()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "lines={} full={} events=", self.lines(), self.full)?;
        for (at, (event, lines)) in self.events.iter().enumerate() {
            let comma = if at > 0 { "," } else { "" };
            write!(f, "{comma}E{event}:{lines}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
