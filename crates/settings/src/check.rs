//! Finds all faults of a settings file in one pass.
//!
//! A check that stops at the first fault would cost the person on call one restart per fault.

use std::net::SocketAddr;

use derive_more::Display;
use derive_more::Error;
use toml::Spanned;
use toml::de::DeTable;
use toml::de::DeValue;
use wire::id;

use crate::schema;
use crate::schema::Count;
use crate::schema::Key;
use crate::schema::Kind;
use crate::schema::Table;
use crate::unit;
use crate::vm;
use crate::vm::Settings;

/// One fault of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
#[display("line {line}: {message}")]
pub struct Fault {
    /// The line number, from 1.
    pub line: usize,
    /// The key, the value and what is allowed.
    pub message: String,
}

/// The outcome of a check: the settings, or all faults sorted by line.
pub type Result<T> = std::result::Result<T, Vec<Fault>>;

/// Parses and checks a settings file.
///
/// # Errors
///
/// Fails with all faults in the text, sorted by line.
pub fn parse(text: &str) -> Result<Settings> {
    let (root, broken) = DeTable::parse_recoverable(text);
    let mut report = Report {
        text,
        faults: Vec::new(),
    };
    for fault in broken {
        report.add(
            fault.span().map_or(0, |span| span.start),
            fault.message().to_owned(),
        );
    }
    check_root(&mut report, root.get_ref());
    report.finish()?;
    let settings = vm::parse(text).map_err(|f| {
        vec![Fault {
            line: 1,
            message: f.message,
        }]
    })?;
    check_relations(&settings)?;
    Ok(settings)
}

/// The faults found so far in a text.
struct Report<'a> {
    text: &'a str,
    faults: Vec<Fault>,
}

impl Report<'_> {
    /// Adds a fault at a byte offset of the text.
    fn add(&mut self, offset: usize, message: String) {
        let before = self.text.get(..offset).unwrap_or_default();
        let line = before.bytes().filter(|b| *b == b'\n').count() + 1;
        self.faults.push(Fault { line, message });
    }

    fn finish(mut self) -> Result<()> {
        if self.faults.is_empty() {
            return Ok(());
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(self.faults)
    }
}

fn check_root(report: &mut Report<'_>, root: &DeTable<'_>) {
    for (name, _) in root {
        if schema::TABLES
            .iter()
            .any(|table| table.name == name.get_ref().as_ref())
        {
            continue;
        }
        let names: Vec<&str> = schema::TABLES.iter().map(|table| table.name).collect();
        let message = format!(
            "unknown table `{}`: allowed are {}",
            name.get_ref(),
            names.join(", ")
        );
        report.add(name.span().start, message);
    }
    for table in schema::TABLES {
        let found = root
            .iter()
            .find(|(name, _)| name.get_ref().as_ref() == table.name);
        check_table(report, table, found.map(|(_, value)| value));
    }
}

fn check_table(report: &mut Report<'_>, table: &Table, found: Option<&Spanned<DeValue<'_>>>) {
    let Some(value) = found else {
        if matches!(table.count, Count::One | Count::Some) {
            report.add(0, format!("table `{}` is missing", table.name));
        }
        return;
    };
    let is_array = matches!(table.count, Count::Some | Count::Any);
    match value.get_ref() {
        DeValue::Table(keys) if !is_array => check_keys(report, table, value.span().start, keys),
        DeValue::Array(items) if is_array => {
            for item in items {
                check_item(report, table, item);
            }
        }
        _ => {
            let (open, close) = if is_array { ("[[", "]]") } else { ("[", "]") };
            let message = format!("`{0}` is written {open}{0}{close}", table.name);
            report.add(value.span().start, message);
        }
    }
}

fn check_item(report: &mut Report<'_>, table: &Table, item: &Spanned<DeValue<'_>>) {
    match item.get_ref() {
        DeValue::Table(keys) => check_keys(report, table, item.span().start, keys),
        _ => report.add(
            item.span().start,
            format!("`{0}` is written [[{0}]]", table.name),
        ),
    }
}

fn check_keys(report: &mut Report<'_>, table: &Table, offset: usize, keys: &DeTable<'_>) {
    for (name, value) in keys {
        let known = table
            .keys
            .iter()
            .find(|key| key.name == name.get_ref().as_ref());
        if let Some(key) = known {
            check_value(report, table, key, value);
            continue;
        }
        let names: Vec<&str> = table.keys.iter().map(|key| key.name).collect();
        let names = names.join(", ");
        let message = format!(
            "unknown key `{}.{}`: allowed are {names}",
            table.name,
            name.get_ref()
        );
        report.add(name.span().start, message);
    }
    for key in table.keys.iter().filter(|key| key.default.is_none()) {
        if !keys
            .iter()
            .any(|(name, _)| name.get_ref().as_ref() == key.name)
        {
            report.add(
                offset,
                format!("key `{}.{}` is missing", table.name, key.name),
            );
        }
    }
}

fn check_value(report: &mut Report<'_>, table: &Table, key: &Key, value: &Spanned<DeValue<'_>>) {
    let Err(reason) = validate(key.kind, value.get_ref()) else {
        return;
    };
    let span = value.span();
    let written = report.text.get(span.clone()).unwrap_or_default();
    let message = format!(
        "`{}.{} = {written}`: {reason}; allowed is {}",
        table.name,
        key.name,
        allowed(key.kind),
    );
    report.add(span.start, message);
}

/// Describes the values that a kind allows.
#[must_use]
pub fn allowed(kind: Kind) -> String {
    match kind {
        Kind::Id => "an id of letters, digits and . _ : -".to_owned(),
        Kind::Address => "an IP number and a port, as \"127.0.0.1:8080\"".to_owned(),
        Kind::Addresses => "a list of IP numbers with ports, at least one".to_owned(),
        Kind::Number(low, high) => format!("a whole number from {low} to {high}"),
        Kind::Weight(high) => format!("a number from 0 to {high}"),
        Kind::Span(low, high) => {
            let [low, high] = [low, high].map(|n| unit::Span::render(wire::clock::Millis::new(n)));
            format!("a span from \"{low}\" to \"{high}\" (ms, s, m, h, d)")
        }
        Kind::Size(low, high) => {
            let [low, high] = [low, high].map(unit::Size::render);
            format!("a size from \"{low}\" to \"{high}\" (B, KiB, MiB, GiB)")
        }
        Kind::Rate(low, high) => format!("a rate from \"{low}/s\" to \"{high}/s\""),
    }
}

fn validate(kind: Kind, value: &DeValue<'_>) -> std::result::Result<(), String> {
    match kind {
        Kind::Id => id::Caller::parse(text(value)?)
            .map(drop)
            .map_err(|f| f.to_string()),
        Kind::Address => check_address(value),
        Kind::Addresses => check_addresses(value),
        Kind::Number(low, high) => check_bounds(parse_number(value)?, low, high),
        Kind::Weight(high) => check_weight(value, high),
        Kind::Span(low, high) => {
            let span = unit::Span::parse(text(value)?).map_err(|f| f.to_string())?;
            check_bounds(span.as_u64(), low, high)
        }
        Kind::Size(low, high) => {
            let size = unit::Size::parse(text(value)?).map_err(|f| f.to_string())?;
            check_bounds(size, low, high)
        }
        Kind::Rate(low, high) => {
            let rate = unit::Rate::parse(text(value)?).map_err(|f| f.to_string())?;
            check_bounds(rate, low, high)
        }
    }
}

fn text<'a>(value: &'a DeValue<'_>) -> std::result::Result<&'a str, String> {
    value
        .as_str()
        .ok_or_else(|| "it isn't a text in quotes".to_owned())
}

fn parse_number(value: &DeValue<'_>) -> std::result::Result<u64, String> {
    let whole = value
        .as_integer()
        .and_then(|i| u64::from_str_radix(i.as_str(), i.radix()).ok());
    whole.ok_or_else(|| "it isn't a whole number".to_owned())
}

fn check_weight(value: &DeValue<'_>, high: u32) -> std::result::Result<(), String> {
    let float = value
        .as_float()
        .and_then(|f| f.as_str().parse::<f64>().ok());
    let whole = value
        .as_integer()
        .and_then(|i| i.as_str().parse::<f64>().ok());
    let weight = float
        .or(whole)
        .ok_or_else(|| "it isn't a number".to_owned())?;
    if (0.0..=f64::from(high)).contains(&weight) {
        return Ok(());
    }
    Err("it is out of bounds".to_owned())
}

fn check_bounds(amount: u64, low: u64, high: u64) -> std::result::Result<(), String> {
    if (low..=high).contains(&amount) {
        return Ok(());
    }
    Err("it is out of bounds".to_owned())
}

fn check_address(value: &DeValue<'_>) -> std::result::Result<(), String> {
    let parsed = text(value)?.parse::<SocketAddr>();
    parsed
        .map(drop)
        .map_err(|_| "it isn't an IP number and a port".to_owned())
}

fn check_addresses(value: &DeValue<'_>) -> std::result::Result<(), String> {
    let items = value
        .as_array()
        .ok_or_else(|| "it isn't a list".to_owned())?;
    if items.is_empty() {
        return Err("the list is empty".to_owned());
    }
    items
        .iter()
        .try_for_each(|item| check_address(item.get_ref()))
}

/// Checks the rules that concern several keys.
fn check_relations(settings: &Settings) -> Result<()> {
    let mut faults = Vec::new();
    let known = |centre: &id::Centre| settings.centres.iter().any(|c| c.name == *centre);
    let mut add = |message: String| faults.push(Fault { line: 1, message });
    if !known(&settings.vm.centre) {
        add(format!(
            "`vm.centre = {}` isn't one of `centres`",
            settings.vm.centre
        ));
    }
    for peer in settings.peers.iter().filter(|peer| !known(&peer.centre)) {
        add(format!(
            "`peers.centre = {}` of {} isn't one of `centres`",
            peer.centre, peer.name
        ));
    }
    if settings.limits.connections_urgent >= settings.limits.connections {
        add("`limits.connections_urgent` isn't below `limits.connections`".to_owned());
    }
    for (at, centre) in settings.centres.iter().enumerate() {
        if settings.centres[..at]
            .iter()
            .any(|earlier| earlier.name == centre.name)
        {
            add(format!("`centres.name = {}` stands twice", centre.name));
        }
    }
    if faults.is_empty() {
        return Ok(());
    }
    Err(faults)
}

#[cfg(test)]
mod tests;
