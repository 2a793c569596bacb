//! The operators' configuration: one document with one revision, changed by compare-and-swap, so
//! that two operators who race can't both succeed and no change is ever undone by an older one.

use std::cmp::Reverse;

use serde::Deserialize;
use serde::Serialize;
use serde_with::serde_as;
use wire::clock::Millis;
use wire::id;

use crate::label;
use crate::unit;

/// The whole configuration. Every list is sorted by its first field.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Config {
    /// Grows by one with each accepted change.
    pub revision: u64,
    /// The nonce of the change that made this revision; settles a change whose answer was lost.
    pub nonce: u64,
    /// The nonces of the revisions before this one, the latest first; they settle a change whose
    /// answer was lost after others have built on it.
    pub recent: Vec<u64>,
    /// Who may ask.
    pub callers: Vec<Caller>,
    /// The back ends.
    pub endpoints: Vec<Endpoint>,
    /// Labels that operators put on programs.
    pub programs: Vec<Program>,
    /// Which labelled work may use which endpoints, and how.
    pub selectors: Vec<Selector>,
    /// Data centres that an operator has declared lost; others take their shards over.
    pub lost: Vec<id::Centre>,
}

/// Who may ask.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The caller's name.
    pub name: id::Caller,
    /// The digest of the caller's bearer token; the token itself isn't kept.
    pub token: id::Digest,
    /// The caller's labels.
    #[serde(default)]
    pub labels: label::Set,
}

/// The kinds of back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs models.
    Runner,
    /// A plain service.
    Service,
}

/// A back end.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name, as in the platform's list.
    pub name: id::Endpoint,
    /// What it is.
    pub kind: Kind,
    /// IP number and port.
    pub address: String,
    /// Its data centre.
    pub centre: id::Centre,
    /// The models that a runner serves, or the one service's name.
    pub serves: Vec<String>,
    /// Whether it checks fencing numbers of orders.
    #[serde(default)]
    pub fences: bool,
    /// How many calls it works on at once.
    pub slots: u32,
    /// Operations of a service that may run more than once; `*` for all.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// The endpoint's labels.
    #[serde(default)]
    pub labels: label::Set,
}

/// Labels of one program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The program.
    pub name: id::Program,
    /// Its labels.
    pub labels: label::Set,
}

/// How soon work is heard.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Heard first, on every limit.
    Urgent,
    /// All other work.
    #[default]
    Routine,
}

/// What a program may use in all.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Budget {
    /// Tokens generated.
    pub tokens: u64,
    /// Turns.
    pub turns: u32,
    /// The longest pause between turns.
    #[serde_as(as = "unit::Span")]
    pub idle: Millis,
}

impl Default for Budget {
    /// Yields the budget of work for which no selector names one: the letter's largest program
    /// (77 turns, 440,000 tokens) and a day's pause.
    fn default() -> Self {
        Self {
            tokens: 440_000,
            turns: 77,
            idle: Millis::new(24 * 60 * 60 * 1000),
        }
    }
}

/// Says which labelled work may use which endpoints, at what priority and within what budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// The selector's name.
    pub name: id::Selector,
    /// Within a class, selectors with a higher rank are tried first; equal ranks go by name.
    #[serde(default)]
    pub rank: i32,
    /// Labels that the caller must have.
    #[serde(default)]
    pub caller: label::Set,
    /// Labels that the program must have.
    #[serde(default)]
    pub program: label::Set,
    /// Labels that an endpoint must have.
    #[serde(default)]
    pub endpoint: label::Set,
    /// Models and services that it speaks for; empty for all.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Whether the work is allowed at all.
    #[serde(default = "yes")]
    pub allow: bool,
    /// How soon it is heard.
    #[serde(default)]
    pub class: Class,
    /// What the program may use.
    #[serde(default)]
    pub budget: Budget,
}

fn yes() -> bool {
    true
}

/// What a selector grants to one piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant<'a> {
    /// The selector that spoke.
    pub selector: &'a Selector,
    /// The endpoints that may be used, in all data centres.
    pub endpoints: Vec<&'a Endpoint>,
}

impl Config {
    /// Looks a caller up by the digest of the token.
    #[must_use]
    pub fn caller_by_token(&self, token: id::Digest) -> Option<&Caller> {
        self.callers.iter().find(|caller| caller.token == token)
    }

    /// Looks a caller up by name.
    #[must_use]
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        let at = self
            .callers
            .binary_search_by(|c| c.name.as_str().cmp(name))
            .ok()?;
        Some(&self.callers[at])
    }

    /// Looks an endpoint up by name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let at = self
            .endpoints
            .binary_search_by(|e| e.name.as_str().cmp(name))
            .ok()?;
        Some(&self.endpoints[at])
    }

    /// Looks the labels of a program up.
    #[must_use]
    pub fn program(&self, name: &str) -> Option<&Program> {
        let at = self
            .programs
            .binary_search_by(|p| p.name.as_str().cmp(name))
            .ok()?;
        Some(&self.programs[at])
    }

    /// Tells whether any endpoint serves the model or service.
    #[must_use]
    pub fn serves(&self, kind: Kind, name: &str) -> bool {
        self.endpoints
            .iter()
            .any(|e| e.kind == kind && e.serves.iter().any(|s| s == name))
    }

    /// Tells whether an operation of a service runs at most once. It does unless every endpoint
    /// that serves it says that it may be repeated.
    ///
    /// The default is the safe one, and no selector decides on it: an operation that an operator
    /// forgot to list, or a selector with a broader match that speaks for the work in place of
    /// the one that was meant, would otherwise let a switching order go through twice.
    #[must_use]
    pub fn runs_at_most_once(&self, service: &str, operation: &str) -> bool {
        let serving = self
            .endpoints
            .iter()
            .filter(|e| e.kind == Kind::Service && e.serves.iter().any(|name| name == service));
        let listed = |e: &Endpoint| e.repeatable.iter().any(|o| o == "*" || o == operation);
        !serving.clone().all(listed) || serving.count() == 0
    }

    /// Finds the selector that speaks for the work; `None` where none matches or the one that
    /// does forbids it.
    ///
    /// Selectors of urgent work go before all others, then the higher rank, then the name. If
    /// rank alone decided, a broad selector that limits callers with overdue fees would sooner or
    /// later be given a rank above the one for emergencies, and an emergency cutoff would wait
    /// behind chatter. This way no selector of routine work can lower or forbid urgent work.
    #[must_use]
    pub fn grant(
        &self,
        caller: &Caller,
        program: &id::Program,
        kind: Kind,
        serves: &str,
    ) -> Option<Grant<'_>> {
        let none = label::Set::default();
        let labels = self.program(program.as_str()).map_or(&none, |p| &p.labels);
        let matching = self.selectors.iter().filter(|s| {
            caller.labels.covers(&s.caller)
                && labels.covers(&s.program)
                && (s.serves.is_empty() || s.serves.iter().any(|name| name == serves))
        });
        let selector = matching.min_by_key(|s| (s.class, Reverse(s.rank), &s.name))?;
        if !selector.allow {
            return None;
        }
        let usable = self.endpoints.iter().filter(|e| {
            e.kind == kind
                && e.labels.covers(&selector.endpoint)
                && e.serves.iter().any(|name| name == serves)
        });
        Some(Grant {
            selector,
            endpoints: usable.collect(),
        })
    }
}

#[cfg(test)]
mod tests;
