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
    /// Each request's cause, in the order in which the requests came.
    pub causes: Vec<(String, Cause)>,
}

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
    let causes = requests.iter().map(|request| {
        let of_request = told.iter().filter(|line| line.field("request") == *request);
        let of_request: Vec<&Line> = of_request.collect();
        ((*request).to_owned(), cause(&of_request, lines))
    });
    Story {
        causes: causes.collect(),
        lines: told,
    }
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
            write!(f, "{} {} E{}", line.at, line.vm, line.event)?;
            let told = line.fields.iter().filter(|(_, value)| !value.is_empty());
            for (name, value) in told {
                write!(f, " {name}={value}")?;
            }
            writeln!(f)?;
        }
        for (request, cause) in &self.causes {
            writeln!(f, "request {request}: {cause}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
