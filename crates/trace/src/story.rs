//! The story of one request or program, and its cause.

use std::fmt;

use serde::Serialize;
use wire::event::Event;

use crate::line::Line;

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

/// The pairs of events that tell of a VM's own state.
const STATES: [[Event; 2]; 3] = [
    [Event::NodeStarted, Event::NodeStopping],
    [Event::OutageBegan, Event::OutageEnded],
    [Event::MembersLost, Event::MembersRegained],
];

/// Tells the story of a request or of all requests of a program.
#[must_use]
pub fn of(id: &str, lines: &[Line]) -> Story {
    let concerns = |line: &&Line| line.field("request") == id || line.field("program") == id;
    let mut told: Vec<Line> = lines.iter().filter(concerns).cloned().collect();
    told.sort_by(|a, b| a.at.cmp(&b.at));
    let mut requests: Vec<&str> = Vec::new();
    for line in &told {
        let request = line.field("request");
        if !request.is_empty() && !requests.contains(&request) {
            requests.push(request);
        }
    }
    let ends = requests.iter().map(|request| {
        let of_request = told.iter().filter(|line| line.field("request") == *request);
        let of_request: Vec<&Line> = of_request.collect();
        end(request, &of_request, lines)
    });
    Story {
        ends: ends.collect(),
        lines: told,
    }
}

fn end(request: &str, of_request: &[&Line], all: &[Line]) -> End {
    let cause = cause(of_request, all);
    let state = match (&cause, of_request.last()) {
        (Cause::Answered { .. }, _) | (_, None) => Vec::new(),
        (_, Some(last)) => state(last, all),
    };
    End {
        request: request.to_owned(),
        cause,
        state,
    }
}

/// Finds the last line about each part of its own state that a VM wrote until then.
fn state(last: &Line, all: &[Line]) -> Vec<Line> {
    let before = |line: &&Line| line.vm == last.vm && line.at <= last.at;
    let before: Vec<&Line> = all.iter().filter(before).collect();
    let latest = |pair: &[Event; 2]| {
        let tells = |line: &&&Line| pair.iter().any(|event| event.number() == line.event);
        let told = before.iter().filter(tells);
        told.max_by(|a, b| a.at.cmp(&b.at)).copied().cloned()
    };
    STATES.iter().filter_map(latest).collect()
}

/// Names the cause of a request's end by its own lines, in order, and by what its VM did.
#[must_use]
pub fn cause(of_request: &[&Line], all: &[Line]) -> Cause {
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
    let restarted = all
        .iter()
        .any(|line| line.vm == vm && is(line, Event::NodeStarted) && line.at >= last.at);
    if restarted {
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
