//! The bounded prefix cache of a runner: records which prefix of each program's conversation need
//! not be computed again.

use serde_json::Value;
use wire::chat::Message;
use wire::id::Digest;

/// The digest and length of one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Digest of the role and the text.
    pub digest: Digest,
    /// Length in tokens.
    pub tokens: u64,
}

/// Returns the digest and length of each message of a conversation.
#[must_use]
pub fn parts(messages: &[Message]) -> Vec<Part> {
    messages.iter().map(part).collect()
}

/// Returns the digest and length of one message: one token for each word and one for the role.
#[must_use]
pub fn part(message: &Message) -> Part {
    let text = match &message.content {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let tokens = text.split_whitespace().count() as u64 + 1;
    let digest = Digest::of(format!("{}\n{text}", message.role).as_bytes());
    Part { digest, tokens }
}

struct Entry {
    program: String,
    parts: Vec<Part>,
    tokens: u64,
    /// Value of [`Cache::uses`] at the last use.
    last_use: u64,
}

/// The cache. `entries` is sorted by program.
pub struct Cache {
    capacity: u64,
    entries: Vec<Entry>,
    /// Counts lookups and insertions, to find the least recently used entry.
    uses: u64,
}

impl Cache {
    /// Creates an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            entries: Vec::new(),
            uses: 0,
        }
    }

    /// Returns how many tokens at the beginning of a program's conversation are cached, and marks
    /// the program as used.
    pub fn lookup(&mut self, program: &str, parts: &[Part]) -> u64 {
        let Ok(at) = self.find(program) else {
            return 0;
        };
        self.uses += 1;
        let entry = &mut self.entries[at];
        entry.last_use = self.uses;
        let common = entry.parts.iter().zip(parts).take_while(|(a, b)| a == b);
        common.map(|(part, _)| part.tokens).sum()
    }

    /// Caches a program's conversation in place of its previous one, and evicts the least recently
    /// used programs to make room. A conversation above the capacity of the cache isn't cached.
    pub fn insert(&mut self, program: &str, parts: Vec<Part>) {
        self.release(program);
        let tokens = parts.iter().map(|part| part.tokens).sum();
        if tokens > self.capacity {
            return;
        }
        while self.free() < tokens {
            let least_recent = self
                .entries
                .iter()
                .enumerate()
                .min_by_key(|(_, entry)| entry.last_use);
            let Some((at, _)) = least_recent else {
                return;
            };
            self.entries.remove(at);
        }
        self.uses += 1;
        let entry = Entry {
            program: program.to_owned(),
            parts,
            tokens,
            last_use: self.uses,
        };
        let at = self.find(program).unwrap_or_else(|at| at);
        self.entries.insert(at, entry);
    }

    /// Removes a program; returns `false` if it was not cached.
    pub fn release(&mut self, program: &str) -> bool {
        let Ok(at) = self.find(program) else {
            return false;
        };
        self.entries.remove(at);
        true
    }

    /// Returns the number of tokens for which there is room.
    #[must_use]
    pub fn free(&self) -> u64 {
        let used: u64 = self.entries.iter().map(|entry| entry.tokens).sum();
        self.capacity.saturating_sub(used)
    }

    /// Iterates over the cached programs and their lengths in tokens.
    pub fn programs(&self) -> impl Iterator<Item = (&str, u64)> {
        self.entries
            .iter()
            .map(|entry| (entry.program.as_str(), entry.tokens))
    }

    fn find(&self, program: &str) -> Result<usize, usize> {
        self.entries
            .binary_search_by(|entry| entry.program.as_str().cmp(program))
    }
}

#[cfg(test)]
mod tests;
