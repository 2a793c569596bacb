//! Labels, and how selectors match them.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

/// A set of labels with unique names, sorted by name. Serialised as a map of names to values.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "BTreeMap<String, String>", into = "BTreeMap<String, String>")]
pub struct Set(Vec<(String, String)>);

impl Set {
    /// Returns a label's value.
    #[must_use]
    pub fn value(&self, name: &str) -> Option<&str> {
        let at = self.find(name).ok()?;
        Some(&self.0[at].1)
    }

    /// Sets a label.
    pub fn insert(&mut self, name: &str, value: &str) {
        match self.find(name) {
            Ok(at) => value.clone_into(&mut self.0[at].1),
            Err(at) => self.0.insert(at, (name.to_owned(), value.to_owned())),
        }
    }

    /// Removes a label if it is present.
    pub fn remove(&mut self, name: &str) {
        if let Ok(at) = self.find(name) {
            self.0.remove(at);
        }
    }

    /// Returns whether this set contains every label of `required` with the same value.
    #[must_use]
    pub fn covers(&self, required: &Self) -> bool {
        required
            .iter()
            .all(|(name, value)| self.value(name) == Some(value))
    }

    /// Iterates over the labels in the order of their names.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    fn find(&self, name: &str) -> std::result::Result<usize, usize> {
        self.0
            .binary_search_by(|(other, _)| other.as_str().cmp(name))
    }
}

impl From<BTreeMap<String, String>> for Set {
    fn from(pairs: BTreeMap<String, String>) -> Self {
        Self(pairs.into_iter().collect())
    }
}

impl From<Set> for BTreeMap<String, String> {
    fn from(set: Set) -> Self {
        set.0.into_iter().collect()
    }
}

impl<'a> FromIterator<(&'a str, &'a str)> for Set {
    fn from_iter<I: IntoIterator<Item = (&'a str, &'a str)>>(pairs: I) -> Self {
        let mut set = Self::default();
        for (name, value) in pairs {
            set.insert(name, value);
        }
        set
    }
}
