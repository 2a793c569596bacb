//! Where each program ran last, and so where its whole history is cached. Kept in memory only:
//! after a takeover the journal's list of holders stands in for it.

use wire::id;

/// Where each program ran last, sorted by program.
#[derive(Debug, Default)]
pub struct LastEndpoints(Vec<(id::Program, id::Endpoint)>);

impl LastEndpoints {
    /// Looks up where a program ran last.
    #[must_use]
    pub fn find(&self, program: &id::Program) -> Option<&id::Endpoint> {
        let at = self
            .0
            .binary_search_by(|(name, _)| name.cmp(program))
            .ok()?;
        Some(&self.0[at].1)
    }

    /// Notes where a program ran.
    pub fn set(&mut self, program: &id::Program, endpoint: &id::Endpoint) {
        match self.0.binary_search_by(|(name, _)| name.cmp(program)) {
            Ok(at) => self.0[at].1 = endpoint.clone(),
            Err(at) => self.0.insert(at, (program.clone(), endpoint.clone())),
        }
    }

    /// Forgets the programs that don't match.
    pub fn retain(&mut self, keep: impl Fn(&id::Program) -> bool) {
        self.0.retain(|(name, _)| keep(name));
    }
}
