//! The story of one request or program, and its cause.

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::gap;
use crate::gap::Gap;
use crate::line::Line;
use crate::state::Index;

/// How long after a refusal its VM or another one may notice the same: two looks at the VMs with a
/// disk.
const SAME_TROUBLE_WINDOW_MS: u64 = 1_500;

/// How long after a broken request another VM may notice that its runner is gone: three heartbeats that
/// are missed, and the way of the news.
const RUNNER_LOSS_WINDOW_MS: u64 = 5_000;

/// What became of a request, as far as the logs tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Cause {
    /// It was answered.
    Answered {
        /// The status that its runner gave.
        status: String,
    },
    /// It was answered, later than its program had time for.
    Late {
        /// Milliseconds from its arrival to its end.
        ms: u64,
        /// Milliseconds that its program had left when it came.
        left_ms: u64,
        /// Milliseconds of these until it was sent to the runner that answered it.
        placed_ms: u64,
    },
    /// The system refused it.
    Refused {
        /// The result code.
        code: String,
        /// The reason, with the values concerned.
        why: String,
    },
    /// Its stream broke off.
    Broken {
        /// The reason.
        why: String,
    },
    /// Its caller left before the end.
    CallerGone,
    /// Its VM's process ended before it did.
    ProcessEnded {
        /// The VM.
        vm: String,
    },
    /// The logs hold no end of it: a line or a whole log is missing.
    EndMissing {
        /// The VM that had it last.
        vm: String,
    },
}

/// The lines of one id.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Timeline {
    /// The lines, in order.
    pub lines: Vec<Line>,
    /// What became of each request, in the order in which the requests came.
    pub ends: Vec<End>,
    /// Where lines may be missing in it.
    #[serde(rename = "holes")]
    pub gaps: Vec<Gap>,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct End {
    /// Its id.
    pub request: String,
    /// Why it ended.
    pub cause: Cause,
    /// The runner that had it last; empty where none had it.
    pub runner: String,
    /// What its VM last noted of that runner until then, where it wasn't answered in time.
    pub reach: Option<Line>,
    /// What another VM noted of that runner first from then on.
    pub elsewhere: Option<Line>,
    /// What else that runner did while it had the request, by the logs of all VMs.
    pub beside: Option<Concurrent>,
    /// What its VM last noted of its own state before that, where it wasn't answered: a refusal says
    /// what is missing, these lines since when.
    pub state: Vec<Line>,
    /// What its VM noted of the silent ones just after, where a turn had found them before it knew their
    /// names.
    pub after: Option<Line>,
    /// Who else reached too few VMs with a disk at that time, where its own VM did.
    pub alike: Option<Affected>,
}

/// How other requests at a runner ended: with all of them unanswered it stood still or was out of
/// reach, with few it lost an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Concurrent {
    /// Those that it answered.
    pub answered: usize,
    /// Those that it didn't.
    pub failed: usize,
}

/// Which VMs had the same trouble at the same time: where few did, their own VM is cut off, where all
/// did, the VMs with a disk are away.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Affected {
    /// How many other VMs the logs tell of that look for VMs with a disk.
    pub others: usize,
    /// Those of them that had it.
    pub vms: Vec<String>,
}

/// The field that names VMs with a disk that don't answer.
const SILENT_FIELD: &str = "silent";
/// What the reason of a try begins with that its runner turned away: it did answer.
const NOT_RUN_PREFIX: &str = "not run";
/// The events that tell how a runner is to be used.
const RUNNER_EVENTS: [Event; 6] = [
    Event::EndpointEjected,
    Event::EndpointRestored,
    Event::EndpointLeaving,
    Event::EndpointGone,
    Event::EndpointUnreachable,
    Event::EndpointReachable,
];

/// Tells the story of a request or of all requests of a program.
#[must_use]
pub fn build(id: &str, lines: &[Line]) -> Timeline {
    let concerns = |line: &&Line| line.field("request") == id || line.field("program") == id;
    let mut told: Vec<Line> = lines.iter().filter(concerns).cloned().collect();
    told.sort_by(|a, b| a.at.cmp(&b.at));
    let states = Index::new(lines);
    let ends = by_request(&told);
    let ends = ends
        .iter()
        .map(|(request, of_request)| end(request, of_request, lines, &states));
    let ends = ends.collect();
    Timeline {
        ends,
        gaps: gaps(&told, lines),
        lines: told,
    }
}

fn gaps(told: &[Line], all: &[Line]) -> Vec<Gap> {
    let (Some(first), Some(last)) = (told.first(), told.last()) else {
        return Vec::new();
    };
    let vms: Vec<&str> = told.iter().map(|line| line.vm.as_str()).collect();
    gap::within(&gap::find(all), &first.at, &last.at, &vms)
}

/// Groups lines by their requests, in the order of the requests' first lines.
fn by_request(told: &[Line]) -> Vec<(&str, Vec<&Line>)> {
    let numbered = told.iter().enumerate();
    let mut of_requests: Vec<(&str, usize)> = numbered
        .map(|(at, line)| (line.field("request"), at))
        .filter(|(request, _)| !request.is_empty())
        .collect();
    of_requests.sort_unstable();
    let mut groups: Vec<&[(&str, usize)]> = of_requests.chunk_by(|a, b| a.0 == b.0).collect();
    groups.sort_by_key(|group| group[0].1);
    let lines = |group: &&[(&str, usize)]| group.iter().map(|(_, at)| &told[*at]).collect();
    groups
        .iter()
        .map(|group| (group[0].0, lines(group)))
        .collect()
}

fn end(request: &str, of_request: &[&Line], all: &[Line], states: &Index<'_>) -> End {
    let cause = cause(of_request, states);
    let named = of_request.iter().rev().map(|line| line.field("runner"));
    let runner = named.into_iter().find(|runner| !runner.is_empty());
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
    let last = match (&end.cause, of_request.last()) {
        (Cause::Answered { .. }, _) | (_, None) => return end,
        (_, Some(last)) => last,
    };
    end.reach = reach(&end.runner, last, all);
    end.elsewhere = elsewhere(&end.runner, last, all);
    end.beside = beside(&end.runner, of_request, all);
    if matches!(end.cause, Cause::Late { .. }) {
        return end;
    }
    end.state = states.latest(last);
    if let Some(lost) = end.state.iter().find(|line| is_members_lost(line)) {
        end.alike = Some(alike(last, all));
        if lost.field(SILENT_FIELD).is_empty() {
            end.after = named_after(last, all);
        }
    }
    end
}

fn is_members_lost(line: &Line) -> bool {
    line.event == Event::MembersLost.number()
}

/// Finds the line just after that names the VMs with a disk that its VM didn't reach.
fn named_after(last: &Line, all: &[Line]) -> Option<Line> {
    let names = |line: &&Line| {
        let soon = line.at >= last.at && line.day_ms <= last.day_ms + SAME_TROUBLE_WINDOW_MS;
        is_members_lost(line) && line.vm == last.vm && soon && !line.field(SILENT_FIELD).is_empty()
    };
    let found = all.iter().filter(names);
    found.min_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Counts how others ended at a runner from the time that it got the request until the request's end.
fn beside(runner: &str, of_request: &[&Line], all: &[Line]) -> Option<Concurrent> {
    let placed =
        |line: &&&Line| line.event == Event::CallPlaced.number() && line.field("runner") == runner;
    let begin = of_request.iter().rfind(placed)?;
    let last = of_request.last()?;
    let meanwhile = all.iter().filter(|line| {
        let within = line.at >= begin.at && line.at <= last.at;
        within && line.field("runner") == runner && line.field("request") != last.field("request")
    });
    let mut beside = Concurrent {
        answered: 0,
        failed: 0,
    };
    for line in meanwhile {
        if line.event == Event::RequestAnswered.number() {
            beside.answered += 1;
        }
        let failed = [Event::CallRetried, Event::StreamBroken];
        let failed = failed.iter().any(|event| event.number() == line.event);
        if failed && !line.field("why").starts_with(NOT_RUN_PREFIX) {
            beside.failed += 1;
        }
    }
    Some(beside)
}

/// Finds the first line about a runner that another VM wrote from then on.
fn elsewhere(runner: &str, last: &Line, all: &[Line]) -> Option<Line> {
    let tells = |line: &&Line| {
        let about = RUNNER_EVENTS
            .iter()
            .any(|event| event.number() == line.event);
        let soon = line.at >= last.at && line.day_ms <= last.day_ms + RUNNER_LOSS_WINDOW_MS;
        about && soon && line.field("runner") == runner && line.vm != last.vm
    };
    let told = all.iter().filter(tells);
    told.min_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Finds the last line about a runner that a VM wrote until then.
fn reach(runner: &str, last: &Line, all: &[Line]) -> Option<Line> {
    let tells = |line: &&Line| {
        let about = RUNNER_EVENTS
            .iter()
            .any(|event| event.number() == line.event);
        about && line.field("runner") == runner && line.vm == last.vm && line.at <= last.at
    };
    let told = all.iter().filter(tells);
    told.max_by(|a, b| a.at.cmp(&b.at)).cloned()
}

/// Names the other VMs that reached too few VMs with a disk then, or noticed it just after.
fn alike(last: &Line, all: &[Line]) -> Affected {
    let told = all.iter().filter(|line| {
        let about = is_members_lost(line) || line.event == Event::MembersRegained.number();
        about && line.vm != last.vm
    });
    let mut told: Vec<&Line> = told.collect();
    told.sort_by(|a, b| (&a.vm, &a.at).cmp(&(&b.vm, &b.at)));
    let vms: Vec<&[&Line]> = told.chunk_by(|a, b| a.vm == b.vm).collect();
    let had = |of_vm: &&&[&Line]| {
        let before = of_vm.partition_point(|line| line.at <= last.at);
        let (before, after) = of_vm.split_at(before);
        let soon = |line: &&&Line| line.day_ms <= last.day_ms + SAME_TROUBLE_WINDOW_MS;
        let mut after = after.iter().take_while(soon);
        before.last().is_some_and(|line| is_members_lost(line))
            || after.any(|line| is_members_lost(line))
    };
    let same = vms.iter().filter(had);
    Affected {
        others: vms.len(),
        vms: same.map(|of_vm| of_vm[0].vm.clone()).collect(),
    }
}

/// Names the cause of a request's end by its own lines, in order, and by what its VM did.
#[must_use]
pub fn cause(of_request: &[&Line], index: &Index<'_>) -> Cause {
    let is = |line: &Line, event: Event| line.event == event.number();
    let ends = of_request.iter().rev();
    // A call that may run once goes on without its caller; what became of it stands before that.
    let mut ran_on = false;
    for line in ends {
        if is(line, Event::RequestAnswered) && ran_on {
            return Cause::CallerGone;
        }
        if is(line, Event::RequestAnswered) {
            return answered(line, of_request);
        }
        if is(line, Event::RequestRefused) {
            return Cause::Refused {
                code: line.field("code").to_owned(),
                why: line.field("why").to_owned(),
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
    let Some(last) = of_request.last() else {
        return Cause::EndMissing { vm: String::new() };
    };
    let vm = last.vm.clone();
    if index.starts_after(last) {
        Cause::ProcessEnded { vm }
    } else {
        Cause::EndMissing { vm }
    }
}

/// Tells whether an answer came in its program's time. A program that tells none has `finish_ms=0`.
fn answered(line: &Line, of_request: &[&Line]) -> Cause {
    let left_ms = line.number("finish_ms").unwrap_or_default();
    let ms = line.number("ms").unwrap_or_default();
    if left_ms == 0 || ms <= left_ms {
        let status = line.field("status").to_owned();
        return Cause::Answered { status };
    }
    let mut placed = of_request.iter().rev().copied();
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
            Self::ProcessEnded { vm } => write!(f, "the process on {vm} ended before it did"),
            Self::EndMissing { vm } => {
                write!(f, "its end is missing: is the log of {vm} whole?")
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
            writeln!(f, "  another VM of that runner just after: {elsewhere}")?;
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
            write!(f, "  told the same then: {same} of {others} other VMs")?;
            let lead = if same > 0 { ": " } else { "" };
            writeln!(f, "{lead}{}", alike.vms.join(", "))?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
