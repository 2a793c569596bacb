//! The bounded prefix cache of a runner: which beginnings of which programs needn't be computed
//! again.

use serde_json::Value;
use wire::chat::Message;
use wire::id::Digest;

/// One message as the cache knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// The digest of who speaks and what is said.
    pub digest: Digest,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Measures a conversation.
#[must_use]
pub fn parts(messages: &[Message]) -> Vec<Part> {
    messages.iter().map(part).collect()
}

/// Measures one message: a token for each word, and one for who speaks.
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

struct Held {
    program: String,
    parts: Vec<Part>,
    tokens: u64,
    used: u64,
}

/// The cache. Lines are sorted by program.
pub struct Cache {
    capacity: u64,
    held: Vec<Held>,
    uses: u64,
}

impl Cache {
    /// Makes an empty cache for `capacity` tokens.
    #[must_use]
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            held: Vec::new(),
            uses: 0,
        }
    }

    /// Counts the tokens at the beginning of a program's conversation that are held.
    pub fn lookup(&mut self, program: &str, parts: &[Part]) -> u64 {
        let Ok(at) = self.find(program) else {
            return 0;
        };
        self.uses += 1;
        let held = &mut self.held[at];
        held.used = self.uses;
        let same = held.parts.iter().zip(parts).take_while(|(a, b)| a == b);
        same.map(|(part, _)| part.tokens).sum()
    }

    /// Holds a program's conversation in place of what was held of it; the programs used longest
    /// ago make room. One that doesn't fit at all isn't held.
    pub fn hold(&mut self, program: &str, parts: Vec<Part>) {
        self.release(program);
        let tokens = parts.iter().map(|part| part.tokens).sum();
        if tokens > self.capacity {
            return;
        }
        while self.free() < tokens {
            let oldest = self.held.iter().enumerate().min_by_key(|(_, h)| h.used);
            let Some((at, _)) = oldest else {
                return;
            };
            self.held.remove(at);
        }
        self.uses += 1;
        let held = Held {
            program: program.to_owned(),
            parts,
            tokens,
            used: self.uses,
        };
        let at = self.find(program).unwrap_or_else(|at| at);
        self.held.insert(at, held);
    }

    /// Forgets a program; `false` where nothing of it was held.
    pub fn release(&mut self, program: &str) -> bool {
        let Ok(at) = self.find(program) else {
            return false;
        };
        self.held.remove(at);
        true
    }

    /// Counts the tokens for which there is room.
    #[must_use]
    pub fn free(&self) -> u64 {
        let used: u64 = self.held.iter().map(|held| held.tokens).sum();
        self.capacity.saturating_sub(used)
    }

    /// Walks the programs held, with their tokens.
    pub fn programs(&self) -> impl Iterator<Item = (&str, u64)> {
        self.held
            .iter()
            .map(|held| (held.program.as_str(), held.tokens))
    }

    fn find(&self, program: &str) -> Result<usize, usize> {
        self.held
            .binary_search_by(|held| held.program.as_str().cmp(program))
    }
}

#[cfg(test)]
mod tests;
