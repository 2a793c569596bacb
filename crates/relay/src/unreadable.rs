//! Entries that name no runner, so that each is logged once and not each time that it is written.

/// The most keys that are remembered. Further entries are only counted.
const MAX_KEYS: usize = 256;

/// The keys of entries that name no runner.
#[derive(Debug, Default)]
pub struct Unreadable {
    /// Sorted.
    keys: Vec<String>,
}

impl Unreadable {
    /// Records that an entry names no runner. Returns whether that is to be logged.
    pub fn note(&mut self, key: &str) -> bool {
        match self.find(key) {
            Err(index) if self.keys.len() < MAX_KEYS => {
                self.keys.insert(index, key.to_owned());
                true
            }
            Ok(_) | Err(_) => false,
        }
    }

    /// Forgets an entry that names a runner, or is gone.
    pub fn forget(&mut self, key: &str) {
        if let Ok(index) = self.find(key) {
            self.keys.remove(index);
        }
    }

    /// Forgets the entries that aren't listed any more; `is_listed` tells which are.
    pub fn retain(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.keys.retain(|key| is_listed(key));
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.keys.binary_search_by(|known| known.as_str().cmp(key))
    }
}

#[cfg(test)]
mod tests;
