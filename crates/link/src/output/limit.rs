//! How many lines of each event pass, and what was dropped.
//!
//! One event that floods would else fill the queue for all others; its lines beyond a rate are
//! dropped, as are those that find no room, and both are counted by event.

use std::fmt;
use std::time::Duration;
use std::time::Instant;

/// Lines of one event that pass within a [`WINDOW`]: about as many as a VM writes that does nothing but
/// serve turns on a whole core, so that only what turns in circles is held back.
pub const RATE: u32 = 2_000;
/// The span over which a rate counts, and the pause between two lines that tell what was dropped.
pub const WINDOW: Duration = Duration::from_secs(1);

/// Whether the queue has room for a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// It has.
    Free,
    /// It hasn't.
    Full,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is written.
    Passes,
    /// It is dropped, and has been counted.
    Dropped,
}

/// The lines of each event, in the order of the events' numbers.
#[derive(Debug, Default)]
pub struct Limit {
    events: Vec<Count>,
    /// Lines that were dropped for want of room, not for their rate.
    full: u64,
    /// When a line last told what was dropped.
    told: Option<Instant>,
}

#[derive(Debug)]
struct Count {
    event: u16,
    /// When its window began.
    since: Instant,
    passed: u32,
    dropped: u64,
}

/// What was dropped since it was told last.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Dropped {
    /// How many lines of each event.
    events: Vec<(u16, u64)>,
    /// How many of them for want of room.
    full: u64,
}

impl Limit {
    /// Decides on a line of an event; zero stands for lines that name none.
    pub fn judge(&mut self, event: u16, room: Room, now: Instant) -> Verdict {
        let count = self.count(event, now);
        if now.saturating_duration_since(count.since) >= WINDOW {
            count.since = now;
            count.passed = 0;
        }
        let floods = count.passed >= RATE;
        if room == Room::Free && !floods {
            count.passed += 1;
            return Verdict::Passes;
        }
        count.dropped += 1;
        self.full += u64::from(!floods);
        Verdict::Dropped
    }

    /// Takes the counts that are to be told now: nothing where none are, or where some were told
    /// within the last [`WINDOW`].
    pub fn take(&mut self, now: Instant) -> Dropped {
        let told = self.told;
        if told.is_some_and(|told| now.saturating_duration_since(told) < WINDOW) {
            return Dropped::default();
        }
        let some = self.events.iter_mut().filter(|count| count.dropped > 0);
        let taken = some.map(|count| (count.event, std::mem::take(&mut count.dropped)));
        let taken = Dropped {
            events: taken.collect(),
            full: std::mem::take(&mut self.full),
        };
        if !taken.is_empty() {
            self.told = Some(now);
        }
        taken
    }

    /// Tells whether there is anything to tell.
    #[must_use]
    pub fn is_pending(&self) -> bool {
        self.events.iter().any(|count| count.dropped > 0)
    }

    /// Has the next counts told however soon after the last ones.
    pub const fn hurry(&mut self) {
        self.told = None;
    }

    fn count(&mut self, event: u16, now: Instant) -> &mut Count {
        let found = self
            .events
            .binary_search_by_key(&event, |known| known.event);
        let at = found.unwrap_or_else(|at| {
            let new = Count {
                event,
                since: now,
                passed: 0,
                dropped: 0,
            };
            self.events.insert(at, new);
            at
        });
        &mut self.events[at]
    }
}

impl Dropped {
    /// Tells whether nothing was dropped.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.events.is_empty()
    }

    /// Yields how many lines were dropped.
    #[must_use]
    pub fn lines(&self) -> u64 {
        self.events.iter().map(|(_, lines)| lines).sum()
    }
}

impl fmt::Display for Dropped {
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
