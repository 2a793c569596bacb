//! The edits that operators make. An edit contains only what it sets, so it can be applied again to
//! a later revision after it lost a race.

use serde::Deserialize;
use serde::Serialize;
use settings::config::Caller;
use settings::config::Config;
use settings::config::Endpoint;
use settings::config::Program;
use settings::config::Selector;
use settings::label;
use wire::code::Code;
use wire::code::Refusal;
use wire::id;

/// The result of an edit.
pub type Result<T> = std::result::Result<T, Refusal>;

/// One edit of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Edit {
    /// Sets a label, or removes it if the value is absent.
    Label {
        /// The subject that carries the label.
        subject: Subject,
        /// The label's name.
        name: String,
        /// The label's value.
        value: Option<String>,
    },
    /// Adds a selector, or replaces the one of that name.
    Selector(Selector),
    /// Removes a selector.
    RemoveSelector(id::Selector),
    /// Adds a caller, or replaces the one of that name.
    Caller(Caller),
    /// Removes a caller.
    RemoveCaller(id::Caller),
    /// Adds an endpoint, or replaces the one of that name.
    Endpoint(Endpoint),
    /// Removes an endpoint.
    RemoveEndpoint(id::Endpoint),
    /// Declares a data centre lost.
    Lost(id::Centre),
    /// Takes a data centre off the lost ones.
    Found(id::Centre),
    /// Makes all of these edits in one revision, or none of them.
    Several(Vec<Edit>),
}

/// A subject that carries labels.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Subject {
    /// A caller.
    Caller(id::Caller),
    /// A program. It need not have an entry yet.
    Program(id::Program),
    /// An endpoint.
    Endpoint(id::Endpoint),
}

impl Edit {
    /// Applies the edit.
    ///
    /// # Errors
    ///
    /// Fails with [`Code::UnknownSubject`] if the edit's subject isn't in the configuration.
    /// `config` may then be partly edited and must be discarded.
    pub fn apply(&self, config: &mut Config) -> Result<()> {
        match self {
            Self::Label {
                subject,
                name,
                value,
            } => {
                let labels = labels(config, subject)?;
                match value {
                    Some(value) => labels.insert(name, value),
                    None => labels.remove(name),
                }
            }
            Self::Selector(s) => upsert(&mut config.selectors, s.clone(), |s| &s.name),
            Self::RemoveSelector(n) => remove(&mut config.selectors, n, |s| &s.name, n.as_str())?,
            Self::Caller(c) => upsert(&mut config.callers, c.clone(), |c| &c.name),
            Self::RemoveCaller(n) => remove(&mut config.callers, n, |c| &c.name, n.as_str())?,
            Self::Endpoint(e) => upsert(&mut config.endpoints, e.clone(), |e| &e.name),
            Self::RemoveEndpoint(n) => remove(&mut config.endpoints, n, |e| &e.name, n.as_str())?,
            Self::Lost(c) => upsert(&mut config.lost, c.clone(), |c| c),
            Self::Found(c) => remove(&mut config.lost, c, |c| c, c.as_str())?,
            Self::Several(edits) => return edits.iter().try_for_each(|edit| edit.apply(config)),
        }
        Ok(())
    }
}

fn labels<'a>(config: &'a mut Config, subject: &Subject) -> Result<&'a mut label::Set> {
    match subject {
        Subject::Caller(name) => {
            let at = find(&config.callers, name, |c| &c.name)
                .map_err(|_| unknown_subject(name.as_str()))?;
            Ok(&mut config.callers[at].labels)
        }
        Subject::Endpoint(name) => {
            let at = find(&config.endpoints, name, |e| &e.name)
                .map_err(|_| unknown_subject(name.as_str()))?;
            Ok(&mut config.endpoints[at].labels)
        }
        Subject::Program(name) => {
            let at = find(&config.programs, name, |p| &p.name).unwrap_or_else(|at| {
                let entry = Program {
                    name: name.clone(),
                    labels: label::Set::default(),
                };
                config.programs.insert(at, entry);
                at
            });
            Ok(&mut config.programs[at].labels)
        }
    }
}

fn unknown_subject(name: &str) -> Refusal {
    Refusal::new(Code::UnknownSubject, name)
}

fn find<T, K: Ord>(
    list: &[T],
    key: &K,
    name: impl Fn(&T) -> &K,
) -> std::result::Result<usize, usize> {
    list.binary_search_by(|entry| name(entry).cmp(key))
}

fn upsert<T, K: Ord>(list: &mut Vec<T>, entry: T, name: impl Fn(&T) -> &K) {
    match find(list, name(&entry), &name) {
        Ok(at) => list[at] = entry,
        Err(at) => list.insert(at, entry),
    }
}

fn remove<T, K: Ord>(
    list: &mut Vec<T>,
    key: &K,
    name: impl Fn(&T) -> &K,
    text: &str,
) -> Result<()> {
    let at = find(list, key, name).map_err(|_| unknown_subject(text))?;
    list.remove(at);
    Ok(())
}
