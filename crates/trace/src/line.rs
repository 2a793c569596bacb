//! Parses one line of a log.

use std::fmt;

use serde::Serialize;

/// A log line with an event number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// The time of writing, as text from the line; orders the lines of VMs whose clocks agree.
    pub at: String,
    /// The same time in milliseconds since midnight.
    pub day_ms: u64,
    /// The VM: the word that a collector put before the time, or else the log's name.
    pub vm: String,
    /// The event's number.
    pub event: u16,
    /// The other fields, in the order of the line.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Returns the value of a field, or an empty text if it is missing.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Returns the value of a field as a number, or `None` if it is missing or not a number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} E{}", self.at, self.vm, self.event)?;
        let present = self.fields.iter().filter(|(_, value)| !value.is_empty());
        for (name, value) in present {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Parses a line of the log called `log`; returns `None` if it is truncated or has no event number.
///
/// A killed process leaves its last line truncated and without a line end, so the first line of the
/// next process follows on the same text line. That first line is the start event, without which
/// the kill would go unnoticed. So the last complete line that begins in the text is parsed. A time
/// inside a quoted field value doesn't begin a complete line.
#[must_use]
pub fn parse(text: &str, log: &str) -> Option<Line> {
    let begins: Vec<usize> = text.match_indices(TIME_PREFIX).map(|(at, _)| at).collect();
    let mut begins = begins.into_iter().filter(|at| is_dated(&text[*at..]));
    let first = begins.next()?;
    let vm = text[..first].split_whitespace().next_back().unwrap_or(log);
    let mut parsed = begins.rev().filter_map(|at| read(&text[at..], vm));
    parsed.next().or_else(|| read(&text[first..], vm))
}

fn read(text: &str, vm: &str) -> Option<Line> {
    let mut fields = split(text)?;
    let at = take(&mut fields, "at")?;
    let event = take(&mut fields, "event")?;
    Some(Line {
        day_ms: day_ms(&at)?,
        at,
        vm: vm.to_owned(),
        event: event.strip_prefix('E')?.parse().ok()?,
        fields,
    })
}

/// What a line begins with, followed by its time.
const TIME_PREFIX: &str = "at=";
/// The format of the date in a line's time, with a zero for each digit.
const DATE_PATTERN: &str = "0000-00-00T";

/// Returns whether a date follows the `at=` that the text begins with.
fn is_dated(text: &str) -> bool {
    let date = text
        .as_bytes()
        .get(TIME_PREFIX.len()..TIME_PREFIX.len() + DATE_PATTERN.len());
    let fits = |(known, found): (u8, &u8)| match known {
        b'0' => found.is_ascii_digit(),
        _ => known == *found,
    };
    date.is_some_and(|date| DATE_PATTERN.bytes().zip(date).all(fits))
}

fn take(fields: &mut Vec<(String, String)>, name: &str) -> Option<String> {
    let at = fields.iter().position(|(known, _)| known == name)?;
    Some(fields.remove(at).1)
}

/// Splits `name=value name="value with spaces"`; returns `None` if a quote isn't closed or another
/// line begins within an unquoted value.
fn split(text: &str) -> Option<Vec<(String, String)>> {
    let mut fields = Vec::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let (value, left) = if let Some(quoted) = after.strip_prefix('"') {
            quoted.split_once('"')?
        } else {
            let (value, left) = after.split_once(' ').unwrap_or((after, ""));
            let mut begins = value.match_indices(TIME_PREFIX);
            if begins.any(|(at, _)| is_dated(&value[at..])) {
                return None;
            }
            (value, left)
        };
        fields.push((name.trim().to_owned(), value.to_owned()));
        rest = left.trim_start();
    }
    Some(fields)
}

/// Returns the milliseconds since midnight of a time in the form `YYYY-MM-DDThh:mm:ss.fff`.
fn day_ms(at: &str) -> Option<u64> {
    let (_, time) = at.split_once('T')?;
    let time = time.trim_end_matches('Z');
    let (clock, millis) = time.split_once('.').unwrap_or((time, "0"));
    let mut parts = clock.split(':').map(str::parse::<u64>);
    let mut next = || parts.next()?.ok();
    let seconds = next()? * 3600 + next()? * 60 + next()?;
    Some(seconds * 1000 + millis.get(..3).unwrap_or(millis).parse::<u64>().ok()?)
}

#[cfg(test)]
mod tests;
