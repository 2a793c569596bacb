use crate::line::Line;
use crate::line::parse;

/// Parses the lines of one log, all of which must be complete.
pub fn lines(text: &str) -> Vec<Line> {
    let parsed = text.lines().map(|line| parse(line, "log"));
    parsed
        .map(|line| line.expect("the line is complete"))
        .collect()
}
