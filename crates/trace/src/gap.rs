//! Gaps in logs: a process that ended without logging its end, and lines that were dropped.
//!
//! A timeline looks complete even where a VM's log lacks the lines that matter. A later line
//! reveals such a gap: a start (E1001) without an end (E1003) since the previous start, or the
//! count of the lines that were dropped because the log's queue was full (E1005).

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::line::Line;

/// A place where lines are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Gap {
    /// A process started, and the previous one never logged its end.
    Ended {
        /// The VM.
        vm: String,
        /// The time of the last line before the start.
        last: String,
        /// The time of the start.
        start: String,
        /// What the previous process had logged about its end.
        told: Notice,
    },
    /// Lines were dropped because the log's queue was full.
    Dropped {
        /// The VM.
        vm: String,
        /// The time of the line with the count, which is later than the dropped lines.
        at: String,
        /// The number of dropped lines.
        lines: u64,
    },
}

/// What a process whose end isn't in the log had logged about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Notice {
    /// Nothing: it was killed, or its VM lost power.
    Nothing,
    /// That it was stopping (E1002), but no end after that.
    Stopping,
}

/// Finds the gaps in the logs of all VMs, ordered by VM and then by time.
#[must_use]
pub fn find(lines: &[Line]) -> Vec<Gap> {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
    let vms = sorted.chunk_by(|a, b| a.vm == b.vm);
    vms.flat_map(find_in_vm).collect()
}

fn find_in_vm(lines: &[&Line]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut told = Notice::Nothing;
    // The beginning of a log may be cut off, so its first line doesn't reveal a missing end.
    let mut ended = true;
    let mut last = "";
    for line in lines {
        let is = |event: Event| line.event == event.number();
        if is(Event::NodeStarted) {
            if !ended {
                gaps.push(Gap::Ended {
                    vm: line.vm.clone(),
                    last: last.to_owned(),
                    start: line.at.clone(),
                    told,
                });
            }
            told = Notice::Nothing;
        }
        if is(Event::NodeStopping) {
            told = Notice::Stopping;
        }
        if is(Event::LinesDropped) {
            gaps.push(Gap::Dropped {
                vm: line.vm.clone(),
                at: line.at.clone(),
                lines: line.number("lines").unwrap_or_default(),
            });
        }
        ended = is(Event::NodeStopped);
        last = &line.at;
    }
    gaps
}

/// Returns the gaps in which a timeline from `begin` to `end` may have lost lines.
///
/// These are processes of any VM that ended in that time, and lines that one of `vms` dropped. The
/// count of dropped lines is logged with the next line that passes, so the first count after `end`
/// belongs to it too.
#[must_use]
pub fn within(gaps: &[Gap], begin: &str, end: &str, vms: &[&str]) -> Vec<Gap> {
    let mut found: Vec<Gap> = Vec::new();
    // The VM of the last count after `end`, to take only the first of each VM: gaps are ordered by
    // VM.
    let mut counted_vm = "";
    for gap in gaps {
        let overlaps = match gap {
            Gap::Ended { last, start, .. } => last.as_str() <= end && start.as_str() >= begin,
            Gap::Dropped { vm, at, .. } if at.as_str() > end => {
                std::mem::replace(&mut counted_vm, vm) != vm && vms.contains(&vm.as_str())
            }
            Gap::Dropped { vm, at, .. } => at.as_str() >= begin && vms.contains(&vm.as_str()),
        };
        if overlaps {
            found.push(gap.clone());
        }
    }
    found
}

impl fmt::Display for Gap {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Ended {
                vm,
                last,
                start,
                told,
            } => {
                let notice = match told {
                    Notice::Nothing => "without logging its end",
                    Notice::Stopping => "while it was stopping, or its last line is missing",
                };
                write!(
                    f,
                    "the process on {vm} ended {notice} after {last}; a new one started at {start}"
                )
            }
            Self::Dropped { vm, at, lines } => {
                write!(f, "{vm} dropped {lines} lines before {at}")
            }
        }
    }
}

#[cfg(test)]
mod tests;
