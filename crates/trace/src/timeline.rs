//! The timeline of one request or program, and the cause of each request's end.

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::gap;
use crate::gap::Gap;
use crate::line::Line;
use crate::state::Index;

/// How long after a refusal its own VM or another VM may log the same loss of VMs with a disk: the
/// time of two health checks of the VMs with a disk.
const SAME_TROUBLE_WINDOW_MS: u64 = 1_500;

/// How long after a broken request another VM may log that the request's runner is gone: three
/// missed heartbeats, and the time until that VM learns of them.
const RUNNER_LOSS_WINDOW_MS: u64 = 5_000;

/// How a request ended, as far as the logs show.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Cause {
    /// It was answered.
    Answered {
        /// The HTTP status of its runner's answer.
        status: String,
    },
    /// It was answered, but later than its program could wait.
    Late {
        /// Milliseconds from its arrival to the end of its answer.
        ms: u64,
        /// Milliseconds that its program had left when it arrived.
        left_ms: u64,
        /// Milliseconds from its arrival until it was sent to the runner that answered it.
        placed_ms: u64,
    },
    /// The system refused it.
    Refused {
        /// The result code.
        code: String,
        /// The reason, with the values that led to it.
        why: String,
    },
    /// Its stream broke off before the end.
    Broken {
        /// The reason.
        why: String,
    },
    /// Its caller left before the end.
    CallerGone,
    /// The process of its VM ended before the request did.
    ProcessEnded {
        /// The VM.
        vm: String,
    },
    /// The logs don't show its end: a line or a whole log is missing.
    EndMissing {
        /// The VM that logged its last line.
        vm: String,
    },
}

/// The log lines of one request or program, with how each request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// The lines, ordered by time.
    pub lines: Vec<Line>,
    /// How each request ended, in the order of the requests' first lines.
    pub ends: Vec<End>,
    /// The gaps in which lines of this timeline may be missing.
    #[serde(rename = "holes")]
    pub gaps: Vec<Gap>,
}

/// How one request ended, with the log lines that help to explain it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct End {
    /// The request's id.
    pub request: String,
    /// Why it ended.
    pub cause: Cause,
    /// The last runner that it was sent to; empty if there was none.
    pub runner: String,
    /// The last line that its VM wrote about that runner up to the end, unless the request was
    /// answered in time.
    pub reach: Option<Line>,
    /// The first line that another VM wrote about that runner soon after the end.
    pub elsewhere: Option<Line>,
    /// How that runner's other requests ended while it had this one, from the logs of all VMs.
    pub beside: Option<Concurrent>,
    /// The latest lines that its VM wrote about its own state before the end, if the request wasn't
    /// answered: a refusal says what is missing, and these lines say since when.
    pub state: Vec<Line>,
    /// The line soon after the end in which its VM names the VMs with a disk that don't answer, if
    /// a turn had noticed the loss before the VM knew their names.
    pub after: Option<Line>,
    /// Which other VMs reached too few VMs with a disk at that time, if its own VM did.
    pub alike: Option<Affected>,
}

/// How other requests at a runner ended. If all of them failed, the runner hung or was unreachable;
/// if only a few did, it lost single answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Concurrent {
    /// Requests that it answered.
    pub answered: usize,
    /// Requests that it didn't answer.
    pub failed: usize,
}

/// Which VMs had the same trouble at the same time. If few had it, the request's own VM is cut off;
/// if all had it, the VMs with a disk are down.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Affected {
    /// The number of other VMs that logged anything about reaching VMs with a disk.
    pub others: usize,
    /// Those of them that had the same trouble.
    pub vms: Vec<String>,
}

/// The log field that names the VMs with a disk that don't answer.
const SILENT_FIELD: &str = "silent";
/// The beginning of the reason of an attempt that its runner turned away; such a runner did answer.
const NOT_RUN_PREFIX: &str = "not run";
/// The events about whether a runner can be used.
const RUNNER_EVENTS: [Event; 6] = [
    Event::EndpointEjected,
    Event::EndpointRestored,
    Event::EndpointLeaving,
    Event::EndpointGone,
    Event::EndpointUnreachable,
    Event::EndpointReachable,
];

/// Builds the timeline of a request, or of all requests of a program.
#[must_use]
pub fn build(id: &str, lines: &[Line]) -> Timeline {
    let concerns = |line: &&Line| line.field("request") == id || line.field("program") == id;
    let mut own_lines: Vec<Line> = lines.iter().filter(concerns).cloned().collect();
    own_lines.sort_by(|a, b| a.at.cmp(&b.at));
    let states = Index::new(lines);
    let ends = by_request(&own_lines);
    let ends = ends
        .iter()
        .map(|(request, request_lines)| end(request, request_lines, lines, &states));
    let ends = ends.collect();
    Timeline {
        ends,
        gaps: gaps_within(&own_lines, lines),
        lines: own_lines,
    }
}

fn gaps_within(own_lines: &[Line], all: &[Line]) -> Vec<Gap> {
    let (Some(first), Some(last)) = (own_lines.first(), own_lines.last()) else {
        return Vec::new();
    };
    let vms: Vec<&str> = own_lines.iter().map(|line| line.vm.as_str()).collect();
    gap::within(&gap::find(all), &first.at, &last.at, &vms)
}

/// Groups lines by request, in the order of the requests' first lines.
fn by_request(own_lines: &[Line]) -> Vec<(&str, Vec<&Line>)> {
    let numbered = own_lines.iter().enumerate();
    let mut by_id: Vec<(&str, usize)> = numbered
        .map(|(at, line)| (line.field("request"), at))
        .filter(|(request, _)| !request.is_empty())
        .collect();
    by_id.sort_unstable();
    let mut groups: Vec<&[(&str, usize)]> = by_id.chunk_by(|a, b| a.0 == b.0).collect();
    groups.sort_by_key(|group| group[0].1);
    let lines = |group: &&[(&str, usize)]| group.iter().map(|(_, at)| &own_lines[*at]).collect();
    groups
        .iter()
        .map(|group| (group[0].0, lines(group)))
        .collect()
}

fn end(request: &str, request_lines: &[&Line], all: &[Line], states: &Index<'_>) -> End {
    let cause = cause(request_lines, states);
    let runners = request_lines.iter().rev().map(|line| line.field("runner"));
    let runner = runners.into_iter().find(|runner| !runner.is_empty());
    let runner = runner.unwrap_or_default().to_owned();
    let mut end = End {
        request: request.to_owned(),
        cause,
        runner,
        reach: None,
        elsewhere: None,
        beside: None,
        state: Vec::new(),
        after: None,
        alike: None,
    };
    let last = match (&end.cause, request_lines.last()) {
        (Cause::Answered { .. }, _) | (_, None) => return end,
        (_, Some(last)) => last,
    };
    end.reach = last_runner_line(&end.runner, last, all);
    end.elsewhere = runner_line_elsewhere(&end.runner, last, all);
    end.beside = count_concurrent(&end.runner, request_lines, all);
    if matches!(end.cause, Cause::Late { .. }) {
        return end;
    }
    end.state = states.latest(last);
    if let Some(members_lost) = end.state.iter().find(|line| is_members_lost(line)) {
        end.alike = Some(find_affected(last, all));
        if members_lost.field(SILENT_FIELD).is_empty() {
            end.after = silent_named_after(last, all);
        }
    }
    end
}

fn is_members_lost(line: &Line) -> bool {
    line.event == Event::MembersLost.number()
}

/// Finds the first line soon after `last` in which its VM names the VMs with a disk that it didn't
/// reach.
fn silent_named_after(last: &Line, all: &[Line]) -> Option<Line> {
    let names = |line: &&Line| {
        let in_window = line.at >= last.at && line.day_ms <= last.day_ms + SAME_TROUBLE_WINDOW_MS;
        is_members_lost(line)
            && line.vm == last.vm
            && in_window
            && !line.field(SILENT_FIELD).is_empty()
    };
    let found = all.iter().filter(names);
    found.min_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Counts how other requests ended at a runner, from the last time that it got this request until
/// this request's end.
fn count_concurrent(runner: &str, request_lines: &[&Line], all: &[Line]) -> Option<Concurrent> {
    let placed =
        |line: &&&Line| line.event == Event::CallPlaced.number() && line.field("runner") == runner;
    let begin = request_lines.iter().rfind(placed)?;
    let last = request_lines.last()?;
    let meanwhile = all.iter().filter(|line| {
        let within = line.at >= begin.at && line.at <= last.at;
        within && line.field("runner") == runner && line.field("request") != last.field("request")
    });
    let mut counts = Concurrent {
        answered: 0,
        failed: 0,
    };
    for line in meanwhile {
        if line.event == Event::RequestAnswered.number() {
            counts.answered += 1;
        }
        let failure_events = [Event::CallRetried, Event::StreamBroken];
        let is_failure = failure_events
            .iter()
            .any(|event| event.number() == line.event);
        if is_failure && !line.field("why").starts_with(NOT_RUN_PREFIX) {
            counts.failed += 1;
        }
    }
    Some(counts)
}

/// Finds the first line that another VM wrote about a runner soon after `last`.
fn runner_line_elsewhere(runner: &str, last: &Line, all: &[Line]) -> Option<Line> {
    let matches = |line: &&Line| {
        let is_about_runner = RUNNER_EVENTS
            .iter()
            .any(|event| event.number() == line.event);
        let in_window = line.at >= last.at && line.day_ms <= last.day_ms + RUNNER_LOSS_WINDOW_MS;
        is_about_runner && in_window && line.field("runner") == runner && line.vm != last.vm
    };
    let found = all.iter().filter(matches);
    found.min_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Finds the last line that the VM of `last` wrote about a runner up to `last`.
fn last_runner_line(runner: &str, last: &Line, all: &[Line]) -> Option<Line> {
    let matches = |line: &&Line| {
        let is_about_runner = RUNNER_EVENTS
            .iter()
            .any(|event| event.number() == line.event);
        is_about_runner
            && line.field("runner") == runner
            && line.vm == last.vm
            && line.at <= last.at
    };
    let found = all.iter().filter(matches);
    found.max_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Finds the other VMs that reached too few VMs with a disk at `last`, or logged that soon after.
fn find_affected(last: &Line, all: &[Line]) -> Affected {
    let member_lines = all.iter().filter(|line| {
        let is_about_members =
            is_members_lost(line) || line.event == Event::MembersRegained.number();
        is_about_members && line.vm != last.vm
    });
    let mut member_lines: Vec<&Line> = member_lines.collect();
    member_lines.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
    let vms: Vec<&[&Line]> = member_lines.chunk_by(|a, b| a.vm == b.vm).collect();
    let had_trouble = |vm_lines: &&&[&Line]| {
        let before = vm_lines.partition_point(|line| line.at <= last.at);
        let (before, after) = vm_lines.split_at(before);
        let in_window = |line: &&&Line| line.day_ms <= last.day_ms + SAME_TROUBLE_WINDOW_MS;
        let mut after = after.iter().take_while(in_window);
        before.last().is_some_and(|line| is_members_lost(line))
            || after.any(|line| is_members_lost(line))
    };
    let affected = vms.iter().filter(had_trouble);
    Affected {
        others: vms.len(),
        vms: affected.map(|vm_lines| vm_lines[0].vm.clone()).collect(),
    }
}

/// Determines how a request ended from its own lines, ordered by time, and from the state lines of
/// its VM.
#[must_use]
pub fn cause(request_lines: &[&Line], index: &Index<'_>) -> Cause {
    let is = |line: &Line, event: Event| line.event == event.number();
    let ends = request_lines.iter().rev();
    // A call that may run at most once continues after its caller has left; the line with its
    // outcome precedes the line about the caller.
    let mut ran_on = false;
    for line in ends {
        if is(line, Event::RequestAnswered) && ran_on {
            return Cause::CallerGone;
        }
        if is(line, Event::RequestAnswered) {
            return answered(line, request_lines);
        }
        if is(line, Event::RequestRefused) {
            return Cause::Refused {
                code: line.field("code").to_owned(),
                why: refusal_reason(line),
            };
        }
        if is(line, Event::StreamBroken) {
            let why = line.field("why").to_owned();
            return Cause::Broken { why };
        }
        if is(line, Event::CallerGone) && line.field("ran_on").is_empty() {
            return Cause::CallerGone;
        }
        ran_on |= is(line, Event::CallerGone);
        if is(line, Event::RequestCut) && line.field("what") == "Answer" {
            let vm = line.vm.clone();
            return Cause::ProcessEnded { vm };
        }
    }
    if ran_on {
        return Cause::CallerGone;
    }
    let Some(last) = request_lines.last() else {
        return Cause::EndMissing { vm: String::new() };
    };
    let vm = last.vm.clone();
    if index.starts_after(last) {
        Cause::ProcessEnded { vm }
    } else {
        Cause::EndMissing { vm }
    }
}

/// Returns the message of a refusal. A line whose `why` holds all of it has no `code_text`.
fn refusal_reason(line: &Line) -> String {
    match (line.field("code_text"), line.field("why")) {
        ("", reason) | (reason, "") => reason.to_owned(),
        (text, detail) => format!("{text}: {detail}"),
    }
}

/// Determines whether an answer came in time. A program that states no time limit has
/// `finish_ms=0`.
fn answered(line: &Line, request_lines: &[&Line]) -> Cause {
    let left_ms = line.number("finish_ms").unwrap_or_default();
    let ms = line.number("ms").unwrap_or_default();
    if left_ms == 0 || ms <= left_ms {
        let status = line.field("status").to_owned();
        return Cause::Answered { status };
    }
    let mut placed = request_lines.iter().rev().copied();
    let placed = placed.find(|line| line.event == Event::CallPlaced.number());
    let placed_ms = placed.and_then(|line| line.number("waited_ms"));
    Cause::Late {
        ms,
        left_ms,
        placed_ms: placed_ms.unwrap_or_default(),
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(f, "answered with status {status}"),
            Self::Late {
                ms,
                left_ms,
                placed_ms,
            } => write!(
                f,
                "late: answered after {ms} ms, its program had {left_ms}; {placed_ms} ms until it was sent to its runner, {} from then on",
                ms.saturating_sub(*placed_ms)
            ),
            Self::Refused { code, why } => write!(f, "refused, {code}: {why}"),
            Self::Broken { why } => write!(f, "broken off: {why}"),
            Self::CallerGone => write!(f, "its caller left before the end"),
            Self::ProcessEnded { vm } => {
                write!(f, "the process on {vm} ended before the request did")
            }
            Self::EndMissing { vm } => {
                write!(f, "its end is missing: is the log of {vm} complete?")
            }
        }
    }
}

impl fmt::Display for Timeline {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        for end in &self.ends {
            write!(f, "{end}")?;
        }
        for gap in &self.gaps {
            writeln!(f, "lines may be missing: {gap}")?;
        }
        Ok(())
    }
}

impl fmt::Display for End {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "request {}: {}", self.request, self.cause)?;
        if self.runner.is_empty() {
            writeln!(f)?;
        } else {
            writeln!(f, " (at runner {})", self.runner)?;
        }
        if let Some(reach) = &self.reach {
            writeln!(f, "  its runner before that: {reach}")?;
        }
        if let Some(elsewhere) = &self.elsewhere {
            writeln!(f, "  another VM about that runner just after: {elsewhere}")?;
        }
        if let Some(beside) = &self.beside {
            let Concurrent { answered, failed } = beside;
            writeln!(
                f,
                "  its runner meanwhile: {answered} other requests answered, {failed} not"
            )?;
        }
        for state in &self.state {
            writeln!(f, "  its VM before that: {state}")?;
        }
        if let Some(after) = &self.after {
            writeln!(f, "  its VM just after: {after}")?;
        }
        if let Some(alike) = &self.alike {
            let (same, others) = (alike.vms.len(), alike.others);
            write!(
                f,
                "  same trouble at that time: {same} of {others} other VMs"
            )?;
            let separator = if same > 0 { ": " } else { "" };
            writeln!(f, "{separator}{}", alike.vms.join(", "))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
