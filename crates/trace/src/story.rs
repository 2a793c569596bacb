//! The story of one request or program, and its cause.

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::line::Line;
use crate::state::Index;

/// What became of a request, as far as the logs tell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub enum Cause {
    /// It was answered.
    Answered {
        /// The status that its runner gave.
        status: String,
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
pub struct Story {
    /// The lines, in order.
    pub lines: Vec<Line>,
    /// What became of each request, in the order in which the requests came.
    pub ends: Vec<End>,
}

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct End {
    /// Its id.
    pub request: String,
    /// Why it ended.
    pub cause: Cause,
    /// What its VM last noted of its own state before that, where it wasn't answered: a refusal says
    /// what is missing, these lines since when.
    pub state: Vec<Line>,
}

/// Tells the story of a request or of all requests of a program.
#[must_use]
pub fn of(id: &str, lines: &[Line]) -> Story {
    let concerns = |line: &&Line| line.field("request") == id || line.field("program") == id;
    let mut told: Vec<Line> = lines.iter().filter(concerns).cloned().collect();
    told.sort_by(|a, b| a.at.cmp(&b.at));
    let states = Index::new(lines);
    let ends = by_request(&told);
    let ends = ends
        .iter()
        .map(|(request, lines)| end(request, lines, &states));
    Story {
        ends: ends.collect(),
        lines: told,
    }
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

fn end(request: &str, of_request: &[&Line], states: &Index<'_>) -> End {
    let cause = cause(of_request, states);
    let state = match (&cause, of_request.last()) {
        (Cause::Answered { .. }, _) | (_, None) => Vec::new(),
        (_, Some(last)) => states.until(last),
    };
    End {
        request: request.to_owned(),
        cause,
        state,
    }
}

/// Names the cause of a request's end by its own lines, in order, and by what its VM did.
#[must_use]
pub fn cause(of_request: &[&Line], index: &Index<'_>) -> Cause {
    let is = |line: &Line, event: Event| line.event == event.number();
    let ends = of_request.iter().rev();
    for line in ends {
        if is(line, Event::RequestAnswered) {
            let status = line.field("status").to_owned();
            return Cause::Answered { status };
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
        if is(line, Event::CallerGone) {
            return Cause::CallerGone;
        }
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

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(f, "answered with status {status}"),
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

impl fmt::Display for Story {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for line in &self.lines {
            writeln!(f, "{line}")?;
        }
        for end in &self.ends {
            writeln!(f, "request {}: {}", end.request, end.cause)?;
            for state in &end.state {
                writeln!(f, "  its VM before that: {state}")?;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
