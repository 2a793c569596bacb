//! The operators' configuration: one document with one revision, changed by compare-and-swap. Of
//! two operators who race, only one can succeed, and an older change never overwrites a newer one.

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
    /// Increases by one with each accepted change.
    pub revision: u64,
    /// The nonce of the change that made this revision. It shows whether a change whose response
    /// was lost has been accepted.
    pub nonce: u64,
    /// The nonces of earlier revisions, latest first. They show whether a change whose response was
    /// lost has been accepted, even if other changes were accepted after it.
    pub recent: Vec<u64>,
    /// The callers whose requests are accepted.
    pub callers: Vec<Caller>,
    /// The model runners and services.
    pub endpoints: Vec<Endpoint>,
    /// Labels that operators gave to programs.
    pub programs: Vec<Program>,
    /// The rules for which labelled work may use which endpoints, and how.
    pub selectors: Vec<Selector>,
    /// Data centres that an operator has declared lost. Other data centres take over their shards.
    pub lost: Vec<id::Centre>,
}

/// A person or system that may send requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Caller {
    /// The caller's name.
    pub name: id::Caller,
    /// The digest of the caller's bearer token. The token itself isn't stored.
    pub token: id::Digest,
    /// The caller's labels.
    #[serde(default)]
    pub labels: label::Set,
}

/// The kinds of endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Kind {
    /// Runs models.
    Runner,
    /// A plain service.
    Service,
}

/// An endpoint: a model runner or a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Endpoint {
    /// The endpoint's name, as in the platform's list.
    pub name: id::Endpoint,
    /// The kind of endpoint.
    pub kind: Kind,
    /// The IP address and port.
    pub address: String,
    /// The endpoint's data centre.
    pub centre: id::Centre,
    /// The models that a runner serves, or a service's name.
    pub serves: Vec<String>,
    /// Whether the endpoint checks the fencing numbers of orders.
    #[serde(default)]
    pub fences: bool,
    /// How many calls the endpoint handles concurrently.
    pub slots: u32,
    /// The service's operations that may run more than once. `*` means all.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// The endpoint's labels.
    #[serde(default)]
    pub labels: label::Set,
}

/// The labels of one program.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Program {
    /// The program's id.
    pub name: id::Program,
    /// The program's labels.
    pub labels: label::Set,
}

/// The class of work, which decides what is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Class {
    /// Served first at every limit.
    Urgent,
    /// All other work.
    #[default]
    Routine,
}

/// The limits on what a program may use.
#[serde_as]
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Budget {
    /// The most tokens generated.
    pub tokens: u64,
    /// The most turns.
    pub turns: u32,
    /// The longest pause between turns.
    #[serde_as(as = "unit::Span")]
    pub idle: Millis,
}

impl Default for Budget {
    /// Returns the budget of work whose selector sets none: that of the largest expected program
    /// (77 turns, 440,000 tokens), with at most a day between turns.
    fn default() -> Self {
        Self {
            tokens: 440_000,
            turns: 77,
            idle: Millis::new(24 * 60 * 60 * 1000),
        }
    }
}

/// A rule for which labelled work may use which endpoints, with which priority and budget.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Selector {
    /// The selector's name.
    pub name: id::Selector,
    /// Within a class, selectors with a higher rank take precedence; equal ranks are ordered by
    /// name.
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
    /// The models and services that the selector applies to. Empty means all.
    #[serde(default)]
    pub serves: Vec<String>,
    /// Whether the work is allowed.
    #[serde(default = "yes")]
    pub allow: bool,
    /// The class of the work.
    #[serde(default)]
    pub class: Class,
    /// The budget of the program.
    #[serde(default)]
    pub budget: Budget,
}

fn yes() -> bool {
    true
}

/// What a selector allows for one piece of work.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant<'a> {
    /// The selector that applies.
    pub selector: &'a Selector,
    /// The endpoints that may be used, in all data centres.
    pub endpoints: Vec<&'a Endpoint>,
}

impl Config {
    /// Returns the caller with the given token digest.
    #[must_use]
    pub fn caller_by_token(&self, token: id::Digest) -> Option<&Caller> {
        self.callers.iter().find(|caller| caller.token == token)
    }

    /// Returns the caller with the given name.
    #[must_use]
    pub fn caller(&self, name: &str) -> Option<&Caller> {
        let at = self
            .callers
            .binary_search_by(|c| c.name.as_str().cmp(name))
            .ok()?;
        Some(&self.callers[at])
    }

    /// Returns the endpoint with the given name.
    #[must_use]
    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        let at = self
            .endpoints
            .binary_search_by(|e| e.name.as_str().cmp(name))
            .ok()?;
        Some(&self.endpoints[at])
    }

    /// Returns the entry with a program's labels.
    #[must_use]
    pub fn program(&self, name: &str) -> Option<&Program> {
        let at = self
            .programs
            .binary_search_by(|p| p.name.as_str().cmp(name))
            .ok()?;
        Some(&self.programs[at])
    }

    /// Returns whether any endpoint serves the model or service.
    #[must_use]
    pub fn serves(&self, kind: Kind, name: &str) -> bool {
        self.endpoints
            .iter()
            .any(|e| e.kind == kind && e.serves.iter().any(|s| s == name))
    }

    /// Returns whether an operation of a service runs at most once. It does unless every endpoint
    /// that serves it lists it as repeatable.
    ///
    /// The default is the safe choice, and selectors have no influence on it. Otherwise a switching
    /// order could run twice because an operator forgot to list the operation, or because a
    /// selector with a broader match applied in place of the intended one.
    #[must_use]
    pub fn runs_at_most_once(&self, service: &str, operation: &str) -> bool {
        let serving = self
            .endpoints
            .iter()
            .filter(|e| e.kind == Kind::Service && e.serves.iter().any(|name| name == service));
        let listed = |e: &Endpoint| e.repeatable.iter().any(|o| o == "*" || o == operation);
        !serving.clone().all(listed) || serving.count() == 0
    }

    /// Finds the selector that applies to the work. Returns `None` if no selector matches, or the
    /// one that applies forbids the work.
    ///
    /// Selectors for urgent work take precedence, then those of higher rank, then the first by
    /// name. If rank alone decided, a broad selector that limits callers with overdue fees would
    /// sooner or later get a higher rank than the one for emergencies, and an emergency cutoff
    /// would wait behind routine messages. With this order no selector for routine work can demote
    /// or forbid urgent work.
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
