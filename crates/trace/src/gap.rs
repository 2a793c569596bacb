//! What logs don't hold: a process that ended without a word, and lines that were dropped.
//!
//! A story reads as if it were whole also where a VM's log lacks the lines that matter. Such a place
//! is told by what comes after it: a start (E1001) with no end (E1003) since the start before, or the
//! count of the lines that found no room (E1005).

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::line::Line;

/// A place where lines are missing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Gap {
    /// A process started, and the one before it never told its end.
    Ended {
        /// The VM.
        vm: String,
        /// When its log last told something before.
        last: String,
        /// When it started again.
        start: String,
        /// What the process before had told of its end.
        told: Notice,
    },
    /// The log's queue was full.
    Dropped {
        /// The VM.
        vm: String,
        /// When that was told, which is after it.
        at: String,
        /// How many lines.
        lines: u64,
    },
}

/// What a process whose end isn't in the log told of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub enum Notice {
    /// Nothing: it was killed, or its VM lost its power.
    Nothing,
    /// That it stops (E1002), and then no end.
    Stopping,
}

/// Finds the gaps in the logs of all VMs, by VM and then by time.
#[must_use]
pub fn find(lines: &[Line]) -> Vec<Gap> {
    let mut sorted: Vec<&Line> = lines.iter().collect();
    sorted.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
    let vms = sorted.chunk_by(|a, b| a.vm == b.vm);
    vms.flat_map(of_vm).collect()
}

fn of_vm(lines: &[&Line]) -> Vec<Gap> {
    let mut gaps = Vec::new();
    let mut told = Notice::Nothing;
    // The head of a log may be cut: what came before its first line isn't known to be missing.
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

/// Yields the gaps that a story from `begin` to `end` may have lost lines in: a process of any VM
/// that ended meanwhile, and lines that one of `vms` dropped, which is told with the next line that
/// passes.
#[must_use]
pub fn within(gaps: &[Gap], begin: &str, end: &str, vms: &[&str]) -> Vec<Gap> {
    let mut found: Vec<Gap> = Vec::new();
    // The VM of the last count after the story's end: gaps go by VM.
    let mut counted = "";
    for gap in gaps {
        let touches = match gap {
            Gap::Ended { last, start, .. } => last.as_str() <= end && start.as_str() >= begin,
            Gap::Dropped { vm, at, .. } if at.as_str() > end => {
                std::mem::replace(&mut counted, vm) != vm && vms.contains(&vm.as_str())
            }
            Gap::Dropped { vm, at, .. } => at.as_str() >= begin && vms.contains(&vm.as_str()),
        };
        if touches {
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
                let told = match told {
                    Notice::Nothing => "without a word",
                    Notice::Stopping => "while it stopped, or its last line is missing",
                };
                write!(
                    f,
                    "the process on {vm} ended {told} after {last}; a new one started at {start}"
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
