//! Which attempt at a stream made an event that its caller has.
//!
//! Each attempt numbers its events as its runner does, so several attempts may have recorded an event of the
//! same number. The caller has the one of the last attempt that went on before it: whoever took the stream up
//! behind an event had it already. A later attempt whose record lacks the event proves nothing, as events may
//! be passed on unrecorded; so the attempt follows from where each of them went on, and never from which of
//! them has a record.
//!
//! A resumption is kept as reservations of no tokens in the account of the stream's program. All go into one
//! set, so that VMs which count the same number at once don't overwrite each other.

use replica::ledger::Entry;
use replica::record::Key;
use replica::record::Reservation;
use replica::record::Settlement;

/// The bits of a key that hold a value; those above tell what the value belongs to.
const VALUE_BITS: u32 = 64;

/// The keys of a stream's resumption of one number.
#[derive(Clone, Copy, Debug)]
pub struct Keys {
    /// The key of the number itself.
    pub number: Key,
    /// The lower half of these keys tells which attempt claims the number.
    pub claims: Key,
    /// The lower half of these keys tells after which event an attempt goes on.
    pub points: Key,
}

/// What is recorded of the attempts that claim the same number. There may be several, of which one at most
/// has gone on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// After which event they were to go on; the first one if that differs. `None` if a version of the software
    /// resumed the stream that doesn't record it.
    pub point: Option<u64>,
    /// Whether none of them brings the caller an event.
    pub is_withdrawn: bool,
}

/// A claim to be the attempt that resumes a stream for the n-th time.
#[derive(Clone, Copy, Debug)]
pub struct Claim {
    /// The key of the account.
    pub owner: Key,
    keys: Keys,
    mark: Key,
    point: Key,
}

/// Reads a stream's resumptions from its program's entries, the first one first. `keys` returns those of a
/// number.
pub fn read(entries: &[Entry], keys: impl Fn(usize) -> Keys) -> Vec<Resumption> {
    let resumption = |number| {
        let keys = keys(number);
        has(entries, keys.number).then(|| Resumption::read(entries, &keys))
    };
    (1..=entries.len()).map_while(resumption).collect()
}

/// Returns which attempt made an event that the caller has: zero for the first one, and n for the one that
/// resumed the stream for the n-th time.
///
/// Where it isn't certain that an attempt went on before the event, its record of the event proves it.
#[must_use]
pub fn origin(resumptions: &[Resumption], event: u64) -> usize {
    let may_have_made = |it: &Resumption| !it.is_withdrawn && it.point.is_none_or(|it| it < event);
    let last = resumptions.iter().rposition(may_have_made);
    last.map_or(0, |at| at + 1)
}

impl Resumption {
    fn read(entries: &[Entry], keys: &Keys) -> Self {
        let claims: Vec<&Entry> = of(entries, keys.claims).collect();
        Self {
            point: of(entries, keys.points)
                .next()
                .map(|entry| value(entry.turn)),
            is_withdrawn: !claims.is_empty() && claims.iter().all(|claim| claim.used.is_some()),
        }
    }
}

impl Claim {
    /// Creates the claim of an attempt, identified by a digest of its id, that goes on after `event`.
    #[must_use]
    pub const fn new(owner: Key, keys: Keys, attempt: Key, event: u64) -> Self {
        Self {
            owner,
            keys,
            mark: with_value(keys.claims, value(attempt)),
            point: with_value(keys.points, event),
        }
    }

    /// Returns what records the claim.
    #[must_use]
    pub fn reservations(&self) -> [Reservation; 3] {
        [self.keys.number, self.mark, self.point].map(|turn| Reservation {
            program: self.owner,
            turn,
            most: 0,
        })
    }

    /// Returns what withdraws the claim.
    #[must_use]
    pub const fn withdrawal(&self) -> Settlement {
        Settlement {
            program: self.owner,
            turn: self.mark,
            used: 0,
        }
    }

    /// Returns whether another attempt has claimed the same number and not withdrawn that.
    #[must_use]
    pub fn is_contested(&self, entries: &[Entry]) -> bool {
        let mut claims = of(entries, self.keys.claims);
        claims.any(|entry| entry.turn != self.mark && entry.used.is_none())
    }
}

fn has(entries: &[Entry], key: Key) -> bool {
    entries.iter().any(|entry| entry.turn == key)
}

/// Returns the entries whose keys differ from `key` in their values only, by value.
fn of(entries: &[Entry], key: Key) -> impl Iterator<Item = &Entry> {
    let first = entries.partition_point(|entry| entry.turn < with_value(key, 0));
    let is_of = move |entry: &&Entry| entry.turn <= with_value(key, u64::MAX);
    entries[first..].iter().take_while(is_of)
}

const fn with_value(key: Key, value: u64) -> Key {
    let Key(bits) = key;
    Key((bits >> VALUE_BITS) << VALUE_BITS | value as u128)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "the lower half of the key is the value"
)]
const fn value(key: Key) -> u64 {
    let Key(bits) = key;
    bits as u64
}

#[cfg(test)]
mod tests;
