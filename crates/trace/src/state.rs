//! What VMs noted of their own state, found by VM and time.
//!
//! Few of a log's lines tell of a VM's own state; a story asks for them once for each request.

use wire::event::Event;

use crate::line::Line;

/// The pairs of events that tell of a VM's own state.
const STATE_EVENTS: [[Event; 2]; 3] = [
    [Event::NodeStarted, Event::NodeStopping],
    [Event::OutageBegan, Event::OutageEnded],
    [Event::MembersLost, Event::MembersRegained],
];

/// The lines that tell of VMs' own states.
#[derive(Clone, Debug)]
pub struct Index<'a> {
    /// In the order of VMs and times.
    lines: Vec<&'a Line>,
}

impl<'a> Index<'a> {
    /// Picks and orders the lines.
    #[must_use]
    pub fn new(all: &'a [Line]) -> Self {
        let tells = |line: &&Line| STATE_EVENTS.iter().any(|pair| is_of(line, *pair));
        let mut lines: Vec<&Line> = all.iter().filter(tells).collect();
        lines.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
        Self { lines }
    }

    /// Finds the last line about each part of its own state that a line's VM wrote until then; the
    /// parts of an outage are its subjects.
    #[must_use]
    pub fn latest(&self, line: &Line) -> Vec<Line> {
        let of_vm = self.of_vm(&line.vm);
        let before = &of_vm[..of_vm.partition_point(|other| other.at <= line.at)];
        let mut latest = Vec::new();
        for pair in STATE_EVENTS {
            let mut told = before.to_vec();
            told.retain(|other| is_of(other, pair));
            // Stable, so that the lines of one subject stay in the order of their times.
            told.sort_by_key(|other| other.field("subject"));
            let subjects = told.chunk_by(|a, b| a.field("subject") == b.field("subject"));
            latest.extend(subjects.filter_map(|of_subject| of_subject.last().copied().cloned()));
        }
        latest
    }

    /// Tells whether a line's VM started a process at that time or later.
    #[must_use]
    pub fn starts_after(&self, line: &Line) -> bool {
        let of_vm = self.of_vm(&line.vm);
        let after = &of_vm[of_vm.partition_point(|other| other.at < line.at)..];
        let started = Event::NodeStarted.number();
        after.iter().any(|other| other.event == started)
    }

    fn of_vm(&self, vm: &str) -> &[&'a Line] {
        let first = self.lines.partition_point(|line| line.vm.as_str() < vm);
        let of_vm = &self.lines[first..];
        &of_vm[..of_vm.partition_point(|line| line.vm == vm)]
    }
}

fn is_of(line: &Line, pair: [Event; 2]) -> bool {
    pair.iter().any(|event| event.number() == line.event)
}

#[cfg(test)]
mod tests;
