//! The endpoint at which each program ran last, which caches the program's whole history. Kept in
//! memory only: after a takeover the journal's list of cache holders is used instead.

use wire::id;

/// The endpoint at which each program ran last, sorted by program.
#[derive(Debug, Default)]
pub struct Map(Vec<(id::Program, id::Endpoint)>);

impl Map {
    /// Returns the endpoint at which a program ran last.
    #[must_use]
    pub fn find(&self, program: &id::Program) -> Option<&id::Endpoint> {
        let at = self
            .0
            .binary_search_by(|(name, _)| name.cmp(program))
            .ok()?;
        Some(&self.0[at].1)
    }

    /// Records that a program ran at an endpoint.
    pub fn set(&mut self, program: &id::Program, endpoint: &id::Endpoint) {
        match self.0.binary_search_by(|(name, _)| name.cmp(program)) {
            Ok(at) => self.0[at].1 = endpoint.clone(),
            Err(at) => self.0.insert(at, (program.clone(), endpoint.clone())),
        }
    }

    /// Removes the programs for which `keep` returns `false`.
    pub fn retain(&mut self, keep: impl Fn(&id::Program) -> bool) {
        self.0.retain(|(name, _)| keep(name));
    }
}
