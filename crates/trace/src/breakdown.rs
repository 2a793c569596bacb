//! Where programs that ended late, or didn't end, spent their time.
//!
//! A program is late where the time that it had left when its last answered turn came was shorter
//! than that turn; one that tells no time is never late. One whose last request wasn't answered is
//! counted as failed, unless it was refused for what it asked. Time counts for a cause from a try's
//! end until the program's next line: while it comes back after a refusal, say.

use std::fmt;

use serde::Serialize;
use wire::code::Code;
use wire::event::Event;

use crate::line::Line;

/// What a span of time went to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub enum Phase {
    /// From a refusal until the program came again.
    Refused,
    /// From a broken stream or a caller that left until the program came again.
    Broken,
    /// From a process's end until the program came again.
    ProcessEnded,
    /// From a call's placing until its end: waiting, reading and generating at the runner.
    Runner,
    /// Between an answer and the next request: pauses, and what isn't logged.
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

/// Where the time of one second's programs went; a program belongs to the second in which it ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Second {
    /// The second of the day.
    pub second: u64,
    /// Programs that ended late then.
    pub late: u64,
    /// Programs whose last request wasn't answered.
    pub failed: u64,
    /// Milliseconds by phase, in their order.
    pub spent_ms: Vec<(Phase, u64)>,
}

/// Sums up the programs that ended late or failed, by second.
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

/// Statuses below 500 that ask to come again: the system's state was the reason.
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
        // A program that tells no time to be finished by has zero there.
        (Some(left), Some(took)) if left > 0 && took > left => Outcome::Late,
        _ => Outcome::InTime,
    }
}

/// Tells whether a result code refuses what was asked (no such turn, the tokens are spent), whatever
/// state the system is in.
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

/// Renders the table that [`sum`] yields.
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
