//! How a list of keys tells a member that copies the turns how old they are.
//!
//! Without it, a turn would count as new at each member that copies it, and be copied for ever. The message
//! has no field for ages, and a process that knows of none must be able to read it. So the keys stand in
//! the order of their turns' ages, and a key is repeated once for each step by which its turn is older than
//! the one before. Who doesn't know that copies a few turns twice.

use wire::clock::Millis;

use crate::ledger::RETENTION;
use crate::record::Key;

/// The difference of age that one repetition stands for.
pub const STEP: Millis = Millis::new(10_000);
/// How many steps are added to each age: one for the part of a step that is cut off, and one for the time
/// until the receiver reads it. An age that is told too low each time would never reach the retention.
const ADDED_STEPS: u64 = 2;
/// All ages from this number of steps on are told as the same one, which is past the retention.
const MAX_STEPS: u64 = RETENTION.as_u64() / STEP.as_u64() + ADDED_STEPS;

/// Lists the keys of turns, which are sorted by when they were stored, the newest first.
#[must_use]
pub fn encode(turns: impl Iterator<Item = (Key, Millis)>, now: Millis) -> Vec<Key> {
    let mut keys = Vec::new();
    let mut told = 0;
    for (key, stored_at) in turns {
        let steps = now.since(stored_at).as_u64() / STEP.as_u64() + ADDED_STEPS;
        let steps = steps.min(MAX_STEPS);
        keys.push(key);
        for _ in told..steps {
            keys.push(key);
        }
        told = told.max(steps);
    }
    keys
}

/// Returns each listed key once, in the order of the list, with the latest time at which its turn may have
/// been stored. A list without ages tells that all may have been stored now.
#[must_use]
pub fn decode(keys: &[Key], now: Millis) -> Vec<(Key, Millis)> {
    let mut turns = Vec::new();
    let mut age = Millis::ZERO;
    for same in keys.chunk_by(|key, next| key == next) {
        for _ in 1..same.len() {
            age = age.plus(STEP);
        }
        turns.push((same[0], now.since(age)));
    }
    turns
}

#[cfg(test)]
mod tests;
