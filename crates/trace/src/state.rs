//! An index, by VM and time, of the lines in which VMs logged their own state.
//!
//! Few log lines are about a VM's own state; a timeline looks them up once for each request.

use wire::event::Event;

use crate::line::Line;

/// The groups of events about a VM's own state: in each group an event ends what the one before began.
const STATE_EVENTS: [&[Event]; 4] = [
    &[Event::NodeStarted, Event::NodeStopping],
    &[Event::OutageBegan, Event::OutageEnded],
    &[
        Event::MembersLost,
        Event::MembersBehind,
        Event::MembersRegained,
    ],
    &[Event::TurnsRefused, Event::TurnsServed],
];

/// The lines about the VMs' own states.
#[derive(Clone, Debug)]
pub struct Index<'a> {
    /// Ordered by VM and then by time.
    lines: Vec<&'a Line>,
}

impl<'a> Index<'a> {
    /// Builds the index from the lines of all logs.
    #[must_use]
    pub fn new(all: &'a [Line]) -> Self {
        let is_state = |line: &&Line| STATE_EVENTS.iter().any(|group| is_one_of(line, group));
        let mut lines: Vec<&Line> = all.iter().filter(is_state).collect();
        lines.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
        Self { lines }
    }

    /// Returns the latest state lines that the VM of `line` wrote up to the time of `line`: one for
    /// each group of events, and one for each subject of an outage.
    #[must_use]
    pub fn latest(&self, line: &Line) -> Vec<Line> {
        let vm_lines = self.vm_lines(&line.vm);
        let before = &vm_lines[..vm_lines.partition_point(|other| other.at <= line.at)];
        let mut latest = Vec::new();
        for group in STATE_EVENTS {
            let mut lines = before.to_vec();
            lines.retain(|other| is_one_of(other, group));
            // The sort is stable, so the lines of one subject stay ordered by time.
            lines.sort_by_key(|other| other.field("subject"));
            let subjects = lines.chunk_by(|a, b| a.field("subject") == b.field("subject"));
            latest.extend(subjects.filter_map(|lines| lines.last().copied().cloned()));
        }
        latest
    }

    /// Returns whether the VM of `line` started a process at the time of `line` or later.
    #[must_use]
    pub fn starts_after(&self, line: &Line) -> bool {
        let vm_lines = self.vm_lines(&line.vm);
        let after = &vm_lines[vm_lines.partition_point(|other| other.at < line.at)..];
        let started = Event::NodeStarted.number();
        after.iter().any(|other| other.event == started)
    }

    fn vm_lines(&self, vm: &str) -> &[&'a Line] {
        let first = self.lines.partition_point(|line| line.vm.as_str() < vm);
        let vm_lines = &self.lines[first..];
        &vm_lines[..vm_lines.partition_point(|line| line.vm == vm)]
    }
}

fn is_one_of(line: &Line, group: &[Event]) -> bool {
    group.iter().any(|event| event.number() == line.event)
}

#[cfg(test)]
mod tests;
