use crate::line::Line;
use crate::line::parse;

/// Reads whole lines of one log.
pub fn lines(text: &str) -> Vec<Line> {
    let parsed = text.lines().map(|line| parse(line, "log"));
    parsed.map(|line| line.expect("it is whole")).collect()
}
