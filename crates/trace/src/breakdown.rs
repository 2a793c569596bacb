//! Sums up where programs that ended late, or failed, spent their time.
//!
//! A program is late if its last answered turn took longer than the time that the program had left
//! when the turn arrived; a program that states no time limit is never late. A program whose last
//! request wasn't answered counts as failed, unless that request was refused because of what it
//! asked for. The time between two lines of a program counts for the phase that the first line
//! begins: after a refusal, for example, until the program sends its next request.

use std::fmt;

use serde::Serialize;
use wire::code::Code;
use wire::event::Event;

use crate::line::Line;

/// What a program spent a span of time on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Phase {
    /// From a refusal until the program's next line.
    Refused,
    /// From a broken stream, or a caller that left, until the program's next line.
    Broken,
    /// From the last line of a request that has no end until the program's next request: a process
    /// ended.
    ProcessEnded,
    /// From the placing of a call until its end: waiting, prefill and decoding at the runner.
    Runner,
    /// Between an answer and the next line: pauses, and whatever isn't logged.
    Between,
}

impl Phase {
    const ALL: [Self; 5] = [
        Self::Refused,
        Self::Broken,
        Self::ProcessEnded,
        Self::Runner,
        Self::Between,
    ];
}

/// Time spent by the programs that ended in one second.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Second {
    /// The second of the day.
    pub second: u64,
    /// Programs that ended late in this second.
    pub late: u64,
    /// Programs that failed in this second.
    pub failed: u64,
    /// Milliseconds by phase, in the order of [`Phase`].
    pub spent_ms: Vec<(Phase, u64)>,
}

/// Sums up the time of the programs that ended late or failed, by second.
#[must_use]
pub fn sum(lines: &[Line]) -> Vec<Second> {
    let mut sorted: Vec<&Line> = lines
        .iter()
        .filter(|line| !line.field("program").is_empty())
        .collect();
    sorted.sort_by(|a, b| (a.field("program"), &a.at).cmp(&(b.field("program"), &b.at)));
    let mut seconds: Vec<Second> = Vec::new();
    for program in sorted.chunk_by(|a, b| a.field("program") == b.field("program")) {
        let outcome = outcome(program);
        let Some(last) = program.last() else {
            continue;
        };
        if outcome == Outcome::InTime {
            continue;
        }
        let second = entry(&mut seconds, last.day_ms / 1000);
        match outcome {
            Outcome::Late => second.late += 1,
            Outcome::Failed | Outcome::InTime => second.failed += 1,
        }
        for pair in program.windows(2) {
            let span = pair[1].day_ms.saturating_sub(pair[0].day_ms);
            let phase = phase(pair[0], pair[1]);
            let at = Phase::ALL.iter().position(|known| *known == phase);
            second.spent_ms[at.unwrap_or_default()].1 += span;
        }
    }
    seconds
}

fn entry(seconds: &mut Vec<Second>, second: u64) -> &mut Second {
    let found = seconds.binary_search_by_key(&second, |known| known.second);
    let at = found.unwrap_or_else(|at| {
        let new = Second {
            second,
            late: 0,
            failed: 0,
            spent_ms: Phase::ALL.iter().map(|phase| (*phase, 0)).collect(),
        };
        seconds.insert(at, new);
        at
    });
    &mut seconds[at]
}

/// Statuses below 500 that ask the caller to retry: the reason was the state of the system.
const RETRYABLE_STATUSES: [u16; 2] = [408, 429];

/// How a program ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    InTime,
    Late,
    Failed,
}

fn outcome(program: &[&Line]) -> Outcome {
    let answered = program
        .iter()
        .rfind(|line| line.event == Event::RequestAnswered.number());
    let last = program.last();
    let refused = last.is_some_and(|line| line.event == Event::RequestRefused.number());
    if refused && last.is_some_and(|line| !is_caller_fault(line.field("code"))) {
        return Outcome::Failed;
    }
    let Some(answered) = answered else {
        return if refused {
            Outcome::InTime
        } else {
            Outcome::Failed
        };
    };
    let left = answered.number("finish_ms");
    match (left, answered.number("ms")) {
        // Zero means that the program states no time limit.
        (Some(left), Some(took)) if left > 0 && took > left => Outcome::Late,
        _ => Outcome::InTime,
    }
}

/// Returns whether a result code refuses what was asked for (no such turn, the tokens are spent),
/// independent of the state of the system.
fn is_caller_fault(code: &str) -> bool {
    let number = code.strip_prefix("CY").and_then(|text| text.parse().ok());
    let known = Code::ALL.iter().find(|code| Some(code.number()) == number);
    known.is_some_and(|code| {
        (400..500).contains(&code.status()) && !RETRYABLE_STATUSES.contains(&code.status())
    })
}

fn phase(from: &Line, to: &Line) -> Phase {
    let is = |event: Event| from.event == event.number();
    if is(Event::RequestRefused) {
        return Phase::Refused;
    }
    if is(Event::StreamBroken) || is(Event::CallerGone) {
        return Phase::Broken;
    }
    if is(Event::RequestAnswered) {
        return Phase::Between;
    }
    if from.field("request") == to.field("request") {
        return Phase::Runner;
    }
    Phase::ProcessEnded
}

/// Renders the result of [`sum`] as a table.
#[must_use]
pub fn render(seconds: &[Second]) -> String {
    struct Table<'a>(&'a [Second]);
    impl fmt::Display for Table<'_> {
        fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
            write!(f, "{:>8} {:>5} {:>6}", "second", "late", "failed")?;
            for phase in Phase::ALL {
                write!(f, " {:>15}", format!("{phase:?} ms"))?;
            }
            writeln!(f)?;
            for second in self.0 {
                write!(f, "{:>8} {:>5}", second.second, second.late)?;
                write!(f, " {:>6}", second.failed)?;
                for (_, spent) in &second.spent_ms {
                    write!(f, " {spent:>15}")?;
                }
                writeln!(f)?;
            }
            Ok(())
        }
    }
    Table(seconds).to_string()
}

#[cfg(test)]
mod tests;
