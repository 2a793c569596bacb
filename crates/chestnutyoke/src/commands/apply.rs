//! `apply`: adds callers, endpoints and selectors from a file in one change.

use derive_more::Display;
use derive_more::Error;
use derive_more::From;
use node::controllers::config::edit::Edit;
use serde::Deserialize;
use settings::config;
use settings::label;
use wire::id;

/// Why a file was rejected.
#[derive(Debug, Display, Error, From)]
pub struct Fault(toml::de::Error);

/// The result of parsing a file.
pub type Result<T> = std::result::Result<T, Fault>;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct File {
    #[serde(default)]
    callers: Vec<Caller>,
    #[serde(default)]
    endpoints: Vec<config::Endpoint>,
    #[serde(default)]
    selectors: Vec<config::Selector>,
}

/// A caller with its plain token; only the token's digest leaves this process.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Caller {
    name: id::Caller,
    token: String,
    #[serde(default)]
    labels: label::Set,
}

/// Parses a file into a single edit that adds everything in it.
///
/// # Errors
///
/// Fails with the line and the reason if the text isn't such a file.
pub fn parse(text: &str) -> Result<Edit> {
    let file: File = toml::from_str(text)?;
    let callers = file.callers.into_iter().map(|caller| {
        Edit::Caller(config::Caller {
            name: caller.name,
            token: id::Digest::of(caller.token.as_bytes()),
            labels: caller.labels,
        })
    });
    let endpoints = file.endpoints.into_iter().map(Edit::Endpoint);
    let selectors = file.selectors.into_iter().map(Edit::Selector);
    Ok(Edit::Several(
        callers.chain(endpoints).chain(selectors).collect(),
    ))
}
