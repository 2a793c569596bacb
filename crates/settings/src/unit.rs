//! Parses and formats time spans, sizes and rates: a whole number with its unit.
//!
//! A number without a unit is rejected. If a writer meant `timeout = 5` in seconds and the program
//! read it as milliseconds, the mistake would show only under load.

use derive_more::Display;
use derive_more::Error;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serializer;
use serde::de;
use serde_with::DeserializeAs;
use serde_with::SerializeAs;
use wire::clock::Millis;

/// The reason that a text isn't a quantity.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Fault {
    /// The text doesn't begin with a whole number, or the number is too large.
    #[display("`{_0}` doesn't begin with a whole number")]
    Number(#[error(not(source))] String),
    /// The unit isn't one of the allowed units.
    #[display("the unit of `{text}` isn't one of {allowed}")]
    Unit {
        /// The text.
        text: String,
        /// The allowed units.
        allowed: String,
    },
}

/// The outcome of parsing a quantity.
pub type Result<T> = std::result::Result<T, Fault>;

/// Each unit with its factor, in milliseconds.
const SPANS: &[(&str, u64)] = &[
    ("ms", 1),
    ("s", 1_000),
    ("m", 60_000),
    ("h", 3_600_000),
    ("d", 86_400_000),
];
/// Each unit with its factor, in bytes.
const SIZES: &[(&str, u64)] = &[
    ("B", 1),
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
];
/// Each unit with its factor, per second.
const RATES: &[(&str, u64)] = &[("/s", 1)];

/// A span: `500ms`, `5s`, `2m`, `1h`, `1d`.
#[derive(Clone, Copy, Debug)]
pub struct Span;

/// A size in bytes: `100B`, `64KiB`, `2MiB`, `1GiB`.
#[derive(Clone, Copy, Debug)]
pub struct Size;

/// A rate per second: `30/s`.
#[derive(Clone, Copy, Debug)]
pub struct Rate;

impl Span {
    /// Parses a span.
    ///
    /// # Errors
    ///
    /// Fails if the number or the unit is wrong.
    pub fn parse(text: &str) -> Result<Millis> {
        parse_quantity(text, SPANS).map(Millis::new)
    }

    /// Formats a span in the largest unit that divides it without remainder.
    #[must_use]
    pub fn render(span: Millis) -> String {
        render(span.as_u64(), SPANS)
    }
}

impl Size {
    /// Parses a size in bytes.
    ///
    /// # Errors
    ///
    /// Fails if the number or the unit is wrong.
    pub fn parse(text: &str) -> Result<u64> {
        parse_quantity(text, SIZES)
    }

    /// Formats a size in the largest unit that divides it without remainder.
    #[must_use]
    pub fn render(bytes: u64) -> String {
        render(bytes, SIZES)
    }
}

impl Rate {
    /// Parses a rate per second.
    ///
    /// # Errors
    ///
    /// Fails if the number or the unit is wrong.
    pub fn parse(text: &str) -> Result<u64> {
        parse_quantity(text, RATES)
    }

    /// Formats a rate.
    #[must_use]
    pub fn render(rate: u64) -> String {
        render(rate, RATES)
    }
}

fn parse_quantity(text: &str, units: &[(&str, u64)]) -> Result<u64> {
    let end = text
        .find(|c: char| !c.is_ascii_digit())
        .unwrap_or(text.len());
    let (digits, unit) = text.split_at(end);
    let number: u64 = digits.parse().map_err(|_| Fault::Number(text.to_owned()))?;
    let factor = units.iter().find(|(name, _)| *name == unit.trim());
    let Some((_, factor)) = factor else {
        let names: Vec<&str> = units.iter().map(|(name, _)| *name).collect();
        return Err(Fault::Unit {
            text: text.to_owned(),
            allowed: names.join(", "),
        });
    };
    number
        .checked_mul(*factor)
        .ok_or_else(|| Fault::Number(text.to_owned()))
}

fn render(amount: u64, units: &[(&str, u64)]) -> String {
    let exact = units
        .iter()
        .rev()
        .find(|(_, factor)| amount.is_multiple_of(*factor));
    let (name, factor) = match exact {
        Some(unit) if amount > 0 => *unit,
        _ => units[0],
    };
    format!("{}{name}", amount / factor)
}

/// Implements serialisation of a value type as a text with a unit.
macro_rules! adapter {
    ($unit:ident, $value:ty, $from:expr, $into:expr) => {
        impl SerializeAs<$value> for $unit {
            fn serialize_as<S: Serializer>(
                value: &$value,
                serializer: S,
            ) -> std::result::Result<S::Ok, S::Error> {
                serializer.serialize_str(&Self::render($into(*value)))
            }
        }

        impl<'de> DeserializeAs<'de, $value> for $unit {
            fn deserialize_as<D: Deserializer<'de>>(
                deserializer: D,
            ) -> std::result::Result<$value, D::Error> {
                let text = String::deserialize(deserializer)?;
                let amount = Self::parse(&text).map_err(de::Error::custom)?;
                $from(amount).map_err(de::Error::custom)
            }
        }
    };
}

adapter!(Span, Millis, Ok::<Millis, Fault>, std::convert::identity);
adapter!(Size, usize, usize::try_from, |bytes: usize| bytes as u64);
adapter!(Rate, u32, u32::try_from, u64::from);

#[cfg(test)]
mod tests;
