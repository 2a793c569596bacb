//! Counts events by workspace, for a bounded number of workspaces.

/// The most workspaces with counters of their own. With thousands of workspaces, a counter for each
/// would be most of what a scraper reads.
const MAX_NAMED: usize = 32;
/// Label of the counter of all others.
const OTHERS: &str = "others";

/// Counters by workspace.
#[derive(Debug, Default)]
pub(super) struct Counters {
    /// Sorted by workspace.
    named: Vec<(String, u64)>,
    others: u64,
}

impl Counters {
    /// Counts an event of a workspace. Those that come first have counters of their own.
    pub(super) fn count(&mut self, workspace: &str) {
        let found = self
            .named
            .binary_search_by(|(name, _)| name.as_str().cmp(workspace));
        match found {
            Ok(index) => self.named[index].1 += 1,
            Err(index) if self.named.len() < MAX_NAMED => {
                self.named.insert(index, (workspace.to_owned(), 1));
            }
            Err(_) => self.others += 1,
        }
    }

    /// Returns all counters with their labels.
    pub(super) fn all(&self) -> impl Iterator<Item = (&str, u64)> {
        let named = self.named.iter();
        let named = named.map(|(name, count)| (name.as_str(), *count));
        named.chain([(OTHERS, self.others)])
    }
}

#[cfg(test)]
mod tests;
