//! One line of a log.

use std::fmt;

use serde::Serialize;

/// A line that names an event.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Line {
    /// When it was written, as it stands there; orders lines of VMs whose clocks agree.
    pub at: String,
    /// The same in milliseconds of its day.
    pub day_ms: u64,
    /// The VM: the word before the time, as collectors put it there, else the log's name.
    pub vm: String,
    /// The event's number.
    pub event: u16,
    /// The other fields, in their order.
    pub fields: Vec<(String, String)>,
}

impl Line {
    /// Yields a field's value, or nothing for one that is missing.
    #[must_use]
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(known, _)| known == name);
        found.map_or("", |(_, value)| value)
    }

    /// Yields a field's number.
    #[must_use]
    pub fn number(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} E{}", self.at, self.vm, self.event)?;
        let told = self.fields.iter().filter(|(_, value)| !value.is_empty());
        for (name, value) in told {
            write!(f, " {name}={value}")?;
        }
        Ok(())
    }
}

/// Reads a line of the log called `log`; `None` for one that is torn or names no event.
///
/// A process that is killed leaves its last line torn and without an end, and the first line of the
/// next process stands right behind it: its start, without which the kill would pass unnoticed. So
/// the last whole line that begins in the text is read. A time inside a field's quotes begins no
/// whole line.
#[must_use]
pub fn parse(text: &str, log: &str) -> Option<Line> {
    let begins: Vec<usize> = text.match_indices(TIME_PREFIX).map(|(at, _)| at).collect();
    let mut begins = begins.into_iter().filter(|at| is_dated(&text[*at..]));
    let first = begins.next()?;
    let vm = text[..first].split_whitespace().next_back().unwrap_or(log);
    let mut whole = begins.rev().filter_map(|at| read(&text[at..], vm));
    whole.next().or_else(|| read(&text[first..], vm))
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

/// What a line begins with; its time follows.
const TIME_PREFIX: &str = "at=";
/// The form of the date in a line's time, with a zero for each digit.
const DATE_PATTERN: &str = "0000-00-00T";

/// Tells whether a text that begins as a line does goes on with a date.
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

/// Splits `name=value name="value with spaces"`; `None` where a quote isn't closed or another line
/// begins within a value.
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

/// Yields the milliseconds since midnight of `2026-12-03T05:02:55.123`.
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
